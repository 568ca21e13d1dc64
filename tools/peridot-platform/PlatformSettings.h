// Settings of the platform's stand-in.

#pragma once

#include "base/JsonReader.h"
#include "store/StoreTypes.h"

#include <cstdint>
#include <string>
#include <vector>

namespace peridot {

struct PlatformSettings {
    DeploymentId deployment;
    std::string listen; // host:port
    double writesPerSecond = 400;
    double readsPerSecond = 2000;
    Duration listLag = std::chrono::seconds { 1 };
    std::uint64_t randomSeed = 1; // Decides which answers are lost.
    std::vector<PlatformInstance> instances; // The list at the start.
    std::vector<TableWrite> initialRows;
    std::vector<ObjectPut> initialObjects; // Read from files beside the settings file.
};

Result<PlatformSettings> readPlatformSettings(const std::string& path);
Result<PlatformSettings> parsePlatformSettings(const nlohmann::json&, const std::string& source);

}
