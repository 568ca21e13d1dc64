// The row `config/head`, which names the version in force, and the keys of configuration objects.

#pragma once

#include "base/Error.h"
#include "config/Configuration.h"

#include <string>
#include <vector>

namespace peridot {

inline constexpr const char* configurationHeadKey = "config/head";

/** A change that took effect. */
struct AppliedChange {
    std::string id;
    ConfigurationVersion version = 0;

    bool operator==(const AppliedChange&) const = default;
};

struct HeadRow {
    // A writer looks for its change here if an answer was lost. At 3,900 changes a day with peaks of some per second,
    // 64 entries cover the longest time that a writer keeps a change open (30 s).
    static constexpr std::size_t s_recentChangeLimit = 64;

    ConfigurationVersion version = 0;
    std::string objectKey;
    std::string changeId;
    std::vector<AppliedChange> recent; // Oldest first; the last one made this version.

    std::string toJson() const;
    static Result<HeadRow> parse(std::string_view text);

    const AppliedChange* findChange(const std::string& id) const noexcept;
};

/** `config/<version>-<change id>`: racing writers of one version never overwrite each other's object. */
std::string configurationObjectKey(ConfigurationVersion, const std::string& changeId);

}
