// Typed changes of the configuration, their JSON form, and how they are applied to a version.

#pragma once

#include "config/Configuration.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <variant>
#include <vector>

namespace peridot {

struct SetTarget {
    ClassId trafficClass;
    Duration targetLatency { 0 };

    bool operator==(const SetTarget&) const = default;
};

/** Adds a class or replaces one. Adds its service if it is new. */
struct PutClass {
    TrafficClass trafficClass;

    bool operator==(const PutClass&) const = default;
};

struct AddWorkspace {
    Workspace workspace;

    bool operator==(const AddWorkspace&) const = default;
};

struct SetRate {
    WorkspaceId workspace;
    std::uint32_t ratePerSecond = 0;
    std::uint32_t burst = 0;

    bool operator==(const SetRate&) const = default;
};

/** Issues a key by its hash; the secret never reaches the store. */
struct IssueKey {
    AccessKey key;

    bool operator==(const IssueKey&) const = default;
};

struct WithdrawKey {
    KeyId key;

    bool operator==(const WithdrawKey&) const = default;
};

/** Opens the routes of a class to callers without a key, or closes them. */
struct SetRouteOpen {
    ClassId trafficClass;
    bool isOpen = false;

    bool operator==(const SetRouteOpen&) const = default;
};

struct SetDrain {
    Drain drain;
    bool isDrained = false;

    bool operator==(const SetDrain&) const = default;
};

using Change = std::variant<SetTarget, PutClass, AddWorkspace, SetRate, IssueKey, WithdrawKey, SetRouteOpen, SetDrain>;

/** {"type": "set_target", "class": ..., "target_latency_ms": ...} and so on; the member names are those of versions. */
nlohmann::json changeToJson(const Change&);
/** Strict; @p path names the change in errors, such as "changes[0]". */
Result<Change> changeFromJson(const nlohmann::json&, const std::string& path);

/** Names of the fields that a change touches. Changes that share a field conflict. */
std::vector<std::string> touchedFields(const Change&);

/** The field that kept a change from being applied, and the change that won it. */
struct FieldConflict {
    std::string field;
    ConfigurationVersion version = 0;
    std::string changeId;
};

/** The first field of @p changes that was changed after @p baseVersion, if any. */
std::optional<FieldConflict> findConflict(
    const Configuration&, ConfigurationVersion baseVersion, const std::vector<Change>& changes);

/**
 * Makes the next version of @p configuration with all @p changes, or none of them. Error codes: Conflict if a field was
 * changed after @p baseVersion, InvalidArgument if the result would not be valid.
 */
Result<Configuration> applyChanges(const Configuration& configuration, ConfigurationVersion baseVersion,
    const std::vector<Change>& changes, const std::string& changeId);

}
