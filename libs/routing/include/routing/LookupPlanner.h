// Builds the plan from which lookups are answered. A plan is immutable and may be read by many threads; the planner
// makes a new one when the live view, a drain or a region's headroom changes.

#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "membership/Messages.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace peridot {

/** What a plan is built from. */
struct LookupInputs {
    RegionId localRegion; // Region of the answering instance; home of clients without one.
    std::vector<MemberInfo> instances; // The live view; instances that are not ready are never listed.
    std::set<RegionId> drainedRegions;
    std::set<FailureDomainId> drainedFailureDomains;
    std::set<InstanceId> drainedInstances;
    /** Free share of a region's capacity for a service, 0 to 1. A missing entry counts as 0. */
    std::map<std::pair<RegionId, ServiceId>, double> headroom;
    /** One-way delay between regions. A missing pair counts as longer than all known ones. */
    std::map<std::pair<RegionId, RegionId>, Duration> delays;
};

/** Says that the answer sends a client to another region than its home; needs `shiftIn` units of the home region. */
struct RegionShift {
    RegionId from; // The home region; also the subject of the `shiftIn` budget.
    RegionId to; // The region that receives the client and grants the units.

    bool operator==(const RegionShift&) const = default;
};

struct LookupEntry {
    InstanceId name;
    RegionId region;
    FailureDomainId failureDomain;
    std::string address;

    bool operator==(const LookupEntry&) const = default;
};

struct LookupAnswer {
    std::vector<LookupEntry> instances; // Ordered; empty if no region has a usable instance.
    std::optional<RegionShift> shift; // Set if the home region cannot serve; to be backed with units or refused.
    // With a shift: instances of a home region that is drained but still serves. They are the answer while no units are
    // to be had, since a drain is planned and refuses nobody.
    std::vector<LookupEntry> stay;
};

/** Immutable; all calls are thread-safe. */
class LookupPlan {
public:
    /** Returns the entry instances for a client: those of its home region first, with two failure domains among the
     *  first three where the region has two, then other regions by delay and headroom.
     *  @p seed identifies the client block or workspace: equal seeds get the same order, so that a small client meets
     *  few instances, and different seeds spread evenly. */
    LookupAnswer answer(const std::optional<RegionId>& home, const ServiceId&, std::uint64_t seed) const;

    /** Whether the region is not drained and has at least one instance that may be listed. */
    bool isServing(const RegionId&) const;

private:
    friend class LookupPlanner;
    struct RegionEntries {
        RegionId id;
        std::vector<LookupEntry> instances;
        std::vector<std::uint64_t> hashes; // Of the instance names, in the order of `instances`.
    };
    std::vector<const RegionEntries*> orderRegions(const RegionId& origin, const ServiceId&, std::uint64_t seed) const;
    static void append(const RegionEntries&, std::size_t count, std::uint64_t seed, std::vector<LookupEntry>&);

    RegionId m_localRegion;
    std::map<RegionId, RegionEntries> m_regions; // Only regions that serve.
    std::map<RegionId, RegionEntries> m_drainedRegions; // Instances that are listed in none of m_regions.
    std::map<std::pair<RegionId, ServiceId>, double> m_headroom;
    std::map<std::pair<RegionId, RegionId>, Duration> m_delays;
};

class LookupPlanner {
public:
    std::shared_ptr<const LookupPlan> build(const LookupInputs&) const;
};

}
