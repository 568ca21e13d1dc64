// The command line of peridot-trial.

#pragma once

#include "base/EnumNames.h"
#include "base/Error.h"
#include "base/Time.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace peridot::trial {

enum class Policy {
    Node, // The product.
    StaticSplit,
    LocalCounters,
    RoundRobin,
    LeastConnections,
    NearestOnly,
    StoreWrite,
};

enum class Scenario {
    Steady,
    Flash,
    RegionLoss,
    StoreOutage,
    RegionCut,
    RollingReplacement,
    LyingReports,
    ColdShift,
};

enum class Fault {
    MessageLoss,
    MessageDuplication,
    MessageReordering,
    RegionCut,
    Isolation,
    StoreOutage,
    StorePartialOutage,
    StoreSlow,
    StoreLostAnswers,
    BackendDeath,
    BackendDrain,
    BackendSlow,
    ReportsLie,
    ReportsStop,
    InstanceDeath,
    InstancePause,
    PlannedStop,
    ClockDrift,
    RegionLoss,
    DemandShift,
    FlashDemand,
    OperatorChanges,
};

/** Deliberate faults in the trial's own wiring that break one rule each, to prove that the judge reports it. */
enum class Mutation {
    None,
    DoubleGrant, // Doubles the units of each grant on its way.
    DoubleDispatch, // Sends each non-idempotent request to two backend servers.
    HideConfiguration, // Reads of the head row and messages hide a new version for 10 s.
    ForgeKey, // Presents a valid key in place of a wrong one.
    ClaimNotRun, // Rewrites `unknown` in refusals to `not_run`.
    HideLeaving, // Shows leaving backend servers as live.
    DropAnswer, // Loses every 50th final answer of an instance.
    RepeatAnswer, // Delivers every 50th final answer twice.
    CutStop, // Ends a leaving instance at once instead of waiting for hasDrained().
    RouteAway, // Replaces the chosen backend servers by those of the first region.
    ShiftLookups, // Answers all look-ups with the instances of the first region.
    RevertConfiguration, // Restarts an instance without telling the judge.
    ForgeChange, // Answers operators with success without a change.
    SwapReplay, // Replays the response of another request.
};

}

namespace peridot {

template <>
inline constexpr EnumNameTable<trial::Policy, 7> enumNames<trial::Policy> { {
    { trial::Policy::Node, "node" },
    { trial::Policy::StaticSplit, "static-split" },
    { trial::Policy::LocalCounters, "local-counters" },
    { trial::Policy::RoundRobin, "round-robin" },
    { trial::Policy::LeastConnections, "least-connections" },
    { trial::Policy::NearestOnly, "nearest-only" },
    { trial::Policy::StoreWrite, "store-write" },
} };

template <>
inline constexpr EnumNameTable<trial::Scenario, 8> enumNames<trial::Scenario> { {
    { trial::Scenario::Steady, "steady" },
    { trial::Scenario::Flash, "flash" },
    { trial::Scenario::RegionLoss, "region-loss" },
    { trial::Scenario::StoreOutage, "store-outage" },
    { trial::Scenario::RegionCut, "region-cut" },
    { trial::Scenario::RollingReplacement, "rolling-replacement" },
    { trial::Scenario::LyingReports, "lying-reports" },
    { trial::Scenario::ColdShift, "cold-shift" },
} };

template <>
inline constexpr EnumNameTable<trial::Fault, 22> enumNames<trial::Fault> { {
    { trial::Fault::MessageLoss, "message-loss" },
    { trial::Fault::MessageDuplication, "message-duplication" },
    { trial::Fault::MessageReordering, "message-reordering" },
    { trial::Fault::RegionCut, "region-cut" },
    { trial::Fault::Isolation, "isolation" },
    { trial::Fault::StoreOutage, "store-outage" },
    { trial::Fault::StorePartialOutage, "store-partial-outage" },
    { trial::Fault::StoreSlow, "store-slow" },
    { trial::Fault::StoreLostAnswers, "store-lost-answers" },
    { trial::Fault::BackendDeath, "backend-death" },
    { trial::Fault::BackendDrain, "backend-drain" },
    { trial::Fault::BackendSlow, "backend-slow" },
    { trial::Fault::ReportsLie, "reports-lie" },
    { trial::Fault::ReportsStop, "reports-stop" },
    { trial::Fault::InstanceDeath, "instance-death" },
    { trial::Fault::InstancePause, "instance-pause" },
    { trial::Fault::PlannedStop, "planned-stop" },
    { trial::Fault::ClockDrift, "clock-drift" },
    { trial::Fault::RegionLoss, "region-loss" },
    { trial::Fault::DemandShift, "demand-shift" },
    { trial::Fault::FlashDemand, "flash-demand" },
    { trial::Fault::OperatorChanges, "operator-changes" },
} };

template <>
inline constexpr EnumNameTable<trial::Mutation, 15> enumNames<trial::Mutation> { {
    { trial::Mutation::None, "none" },
    { trial::Mutation::DoubleGrant, "double-grant" },
    { trial::Mutation::DoubleDispatch, "double-dispatch" },
    { trial::Mutation::HideConfiguration, "hide-configuration" },
    { trial::Mutation::ForgeKey, "forge-key" },
    { trial::Mutation::ClaimNotRun, "claim-not-run" },
    { trial::Mutation::HideLeaving, "hide-leaving" },
    { trial::Mutation::DropAnswer, "drop-answer" },
    { trial::Mutation::RepeatAnswer, "repeat-answer" },
    { trial::Mutation::CutStop, "cut-stop" },
    { trial::Mutation::RouteAway, "route-away" },
    { trial::Mutation::ShiftLookups, "shift-lookups" },
    { trial::Mutation::RevertConfiguration, "revert-configuration" },
    { trial::Mutation::ForgeChange, "forge-change" },
    { trial::Mutation::SwapReplay, "swap-replay" },
} };

}

namespace peridot::trial {

/** What one run does. Built from the command line, or by a test. */
struct TrialOptions {
    std::string deployment = "plesni-caj";
    std::uint64_t seed = 1;
    Duration length = std::chrono::minutes { 2 };
    Policy policy = Policy::Node;
    Scenario scenario = Scenario::Steady;
    std::set<Fault> faults;
    Mutation mutation = Mutation::None;
    std::string logPath; // Empty: no log.
    double load = 0.3; // Part of the planned demand, which is 60% of the capacity.
    double slotScale = 0.25; // Part of the slots and of the link capacity that exists.
    double faultInterval = 20; // Mean seconds between two faults.
    double responseKilobytes = 100; // Mean size of a response.
    double burstSeconds = 0; // Burst as seconds of the rate; 0 takes as many units as at full size.
    double shiftCap = 0; // Look-ups per second; 0 takes the cap from the deployment.
    bool isVerbose = false; // Prints every violation instead of the first ones.
};

std::set<Fault> allFaults();

/** Parses "all", "none" or a comma-separated list of names. */
Result<std::set<Fault>> parseFaults(const std::string& text);

/** Parses the arguments of one run, without the program's name. */
Result<TrialOptions> parseTrialOptions(const std::vector<std::string>& arguments);

/** Returns the arguments that repeat a run. */
std::string describe(const TrialOptions&);

}
