// Requests to the platform and their results as values: the transactional table, the object store and the list of
// instances. Decision libraries return requests and take results; they never call the platform themselves.

#pragma once

#include "base/Error.h"
#include "base/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace peridot {

/** Version of a table row. 0 stands for a row that does not exist. */
using RowVersion = std::uint64_t;

struct TableRow {
    std::string key;
    std::string value;
    RowVersion version = 0;
};

struct TableRead {
    std::vector<std::string> keys;
};

/** Reads the rows whose keys start with a prefix, in key order. */
struct TableScan {
    std::string prefix;
    std::uint32_t limit = 1000;
};

/** The commit takes effect only if the row has this version. */
struct TableCondition {
    std::string key;
    RowVersion expectedVersion = 0;
};

struct TableWrite {
    std::string key;
    std::optional<std::string> value; // No value deletes the row.
};

/** All writes take effect together if all conditions hold, otherwise none does. */
struct TableCommit {
    std::vector<TableCondition> conditions;
    std::vector<TableWrite> writes;
};

struct ObjectPut {
    std::string key;
    std::string value;
};

struct ObjectGet {
    std::string key;
};

struct ListInstances { };

using StoreRequest = std::variant<TableRead, TableScan, TableCommit, ObjectPut, ObjectGet, ListInstances>;

/** Rows that exist, in the order of the request. */
struct TableRows {
    std::vector<TableRow> rows;
};

struct CommitResult {
    bool isCommitted = false;
    std::vector<TableRow> current; // Rows named in the conditions, after the commit or as they stood at the refusal.
};

struct ObjectStored { };

struct ObjectValue {
    std::optional<std::string> value; // Empty if there is no such object.
};

enum class PlatformInstanceKind {
    Entry,
    BackendServer,
};

template <>
inline constexpr EnumNameTable<PlatformInstanceKind, 2> enumNames<PlatformInstanceKind> { {
    { PlatformInstanceKind::Entry, "entry" },
    { PlatformInstanceKind::BackendServer, "backend_server" },
} };

enum class PlatformInstanceState {
    Live,
    Leaving,
};

template <>
inline constexpr EnumNameTable<PlatformInstanceState, 2> enumNames<PlatformInstanceState> { {
    { PlatformInstanceState::Live, "live" },
    { PlatformInstanceState::Leaving, "leaving" },
} };

/** One entry of the platform's lagging list. */
struct PlatformInstance {
    PlatformInstanceKind kind = PlatformInstanceKind::Entry;
    std::string name;
    RegionId region;
    FailureDomainId failureDomain;
    ServiceId service; // Backend servers only.
    std::string address; // host:port for callers (entry) or for requests (backend server).
    std::string peerAddress; // host:port for messages between instances (entry only).
    std::uint32_t slots = 0; // Backend servers only: requests run at once.
    std::uint32_t maximumConnections = 0; // Backend servers only.
    PlatformInstanceState state = PlatformInstanceState::Live;
};

struct InstanceList {
    std::vector<PlatformInstance> instances;
};

using StoreValue = std::variant<TableRows, CommitResult, ObjectStored, ObjectValue, InstanceList>;

/** Errors: Unavailable if the request certainly took no effect, OutcomeUnknown if it may have taken effect. */
using StoreResult = Result<StoreValue>;

}
