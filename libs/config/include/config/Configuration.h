// One version of the configuration: services, traffic classes, workspaces, keys and drains, with the version that last
// changed each field. Immutable; a change makes a new value.

#pragma once

#include "base/EnumNames.h"
#include "base/Error.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "config/KeyHash.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace peridot {

using ConfigurationVersion = std::uint64_t;

/** Requests to one service that share a target. A request belongs to the class with the longest matching prefix. */
struct TrafficClass {
    ClassId id;
    ServiceId service;
    std::vector<std::string> methods; // Upper case; not empty.
    std::string pathPrefix; // Starts with '/'; matches whole path segments. The service is not part of it.
    std::uint32_t importance = 0; // Higher is served longer when capacity is short.
    Duration targetLatency { 0 };
    bool isIdempotent = false;
    bool isOpen = false; // Served without a key.

    bool operator==(const TrafficClass&) const = default;
};

struct Workspace {
    WorkspaceId id;
    std::uint32_t ratePerSecond = 0;
    std::uint32_t burst = 0;

    bool operator==(const Workspace&) const = default;
};

struct AccessKey {
    KeyId id;
    KeyHash hash;
    WorkspaceId workspace;

    bool operator==(const AccessKey&) const = default;
};

enum class DrainKind {
    Region,
    Instance,
    BackendServer,
};

template <>
inline constexpr EnumNameTable<DrainKind, 3> enumNames<DrainKind> { {
    { DrainKind::Region, "region" },
    { DrainKind::Instance, "instance" },
    { DrainKind::BackendServer, "backend_server" },
} };

struct Drain {
    DrainKind kind = DrainKind::Region;
    std::string name;

    bool operator==(const Drain&) const = default;
    bool operator<(const Drain& other) const { return std::tie(kind, name) < std::tie(other.kind, other.name); }
};

/** The last change of a field. Fields never changed since the first version have none. */
struct FieldChange {
    ConfigurationVersion version = 0;
    std::string changeId;

    bool operator==(const FieldChange&) const = default;
};

/** The workspace on whose behalf a request runs. */
struct AuthenticatedKey {
    KeyId key;
    WorkspaceId workspace;

    bool operator==(const AuthenticatedKey&) const = default;
};

enum class KeyRefusal {
    Malformed, // Not of the form <key id>.<secret>.
    Unknown, // No such key id, or the secret is wrong. The two are not told apart towards the caller.
    Withdrawn,
};

template <>
inline constexpr EnumNameTable<KeyRefusal, 3> enumNames<KeyRefusal> { {
    { KeyRefusal::Malformed, "malformed_key" },
    { KeyRefusal::Unknown, "unknown_key" },
    { KeyRefusal::Withdrawn, "withdrawn_key" },
} };

/** The plain content of a configuration. Build a Configuration from it to have it checked. */
struct ConfigurationData {
    ConfigurationVersion version = 0;
    std::string changeId; // Of the change that made this version.
    std::set<ServiceId> services;
    std::map<ClassId, TrafficClass> classes;
    std::map<WorkspaceId, Workspace> workspaces;
    std::map<KeyId, AccessKey> keys;
    std::set<KeyId> withdrawnKeys; // Kept for good: a withdrawn id is never issued again.
    std::set<Drain> drains;
    std::map<std::string, FieldChange> fields; // By field name, such as "classes/booking/target_latency_ms".

    bool operator==(const ConfigurationData&) const = default;
};

class Configuration {
public:
    /** Checks @p data: names, ranges and references. Errors have code InvalidArgument and name the path. */
    static Result<Configuration> create(ConfigurationData data);
    /** Reads the JSON text of a version. Unknown members, wrong types and dangling references are errors. */
    static Result<Configuration> parse(std::string_view text, const std::string& source);

    /** The JSON text; equal configurations give equal texts. */
    std::string toJson() const;

    ConfigurationVersion version() const noexcept { return m_data.version; }
    const std::string& changeId() const noexcept { return m_data.changeId; }
    const ConfigurationData& data() const noexcept { return m_data; }

    const TrafficClass* findClass(const ClassId&) const noexcept;
    /**
     * Finds the class of a request by the longest prefix of @p path (without query) that matches whole segments. Paths
     * with dot segments, empty segments, backslashes or encoded dots and slashes belong to no class: the backend server
     * could resolve them to a path of another class.
     */
    const TrafficClass* findClass(const ServiceId&, std::string_view method, std::string_view path) const noexcept;
    const Workspace* findWorkspace(const WorkspaceId&) const noexcept;
    bool isDrained(DrainKind, const std::string& name) const;
    bool hasService(const ServiceId&) const;

    /** Identifies the workspace of a presented key `<key id>.<secret>`; the secret is compared in constant time. */
    tl::expected<AuthenticatedKey, KeyRefusal> authenticate(std::string_view presentedKey) const;

    /** The last change of @p field; version 0 if it is unchanged since the first version. */
    FieldChange lastChange(const std::string& field) const;

    bool operator==(const Configuration& other) const { return m_data == other.m_data; }

private:
    explicit Configuration(ConfigurationData data);

    ConfigurationData m_data;
    // Classes of each service, longest prefix first. Points into m_data.classes by id, so copies stay valid.
    std::map<ServiceId, std::vector<ClassId>> m_classesByService;
};

}
