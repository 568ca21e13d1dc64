// JSON forms of the parts that versions and changes share.

#pragma once

#include "base/JsonReader.h"
#include "config/Configuration.h"

#include <nlohmann/json.hpp>

namespace peridot {

nlohmann::json classToJson(const TrafficClass&);
TrafficClass readClass(JsonReader&);
nlohmann::json workspaceToJson(const Workspace&);
Workspace readWorkspace(JsonReader&);
nlohmann::json keyToJson(const AccessKey&);
AccessKey readKey(JsonReader&);
nlohmann::json drainToJson(const Drain&);
Drain readDrain(JsonReader&);

Duration readTargetLatency(JsonReader&);
std::uint32_t readUnsigned(JsonReader&, const std::string& name, std::uint32_t lowest, std::uint32_t highest);

inline constexpr std::int64_t longestTargetMilliseconds = 3'600'000;
inline constexpr std::uint32_t highestImportance = 1000;
inline constexpr std::uint32_t highestRate = 100'000'000;

}
