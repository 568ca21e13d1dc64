// Collects the judge's checks and violations of one run.

#pragma once

#include "EventLoop.h"

#include "base/EnumNames.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace peridot::trial {

enum class Rule {
    Rate, // admitted <= rate * w + burst in every window.
    DoubleRun, // A non-idempotent request runs at most once.
    FalseNotRun, // A refusal that says not_run is true.
    Workspace, // A request runs only for the workspace of its key.
    Withdrawal, // No dispatch with a key later than 5 s after its withdrawal.
    StaleConfiguration, // A version is in force 5 s after its acceptance.
    RevertedConfiguration, // No instance goes back to an older version.
    LostChange, // A change answered with success is in the store.
    Leaving, // A leaving backend server gets no new work after 3 s.
    FinalAnswer, // Exactly one final answer, or a broken connection if the instance died.
    PlannedStop, // A planned stop interrupts no request and comes to its end.
    RegionOverload, // Steering fills no region beyond its slots for longer than a second.
    Link, // Traffic between two regions stays below the capacity of the link.
    ShiftCap, // Shifted look-ups grow no faster than the cap.
    Replay, // A replayed response belongs to the request's idempotency key.
    SteadyRefusal, // Steady demand below 90% of the rate is never refused for its rate.
    Recovery, // Some time after the last fault requests within their rate are served again.
    Assertion, // PERIDOT_ASSERT threw.
};

}

namespace peridot {

template <>
inline constexpr EnumNameTable<trial::Rule, 18> enumNames<trial::Rule> { {
    { trial::Rule::Rate, "rate" },
    { trial::Rule::DoubleRun, "double_run" },
    { trial::Rule::FalseNotRun, "false_not_run" },
    { trial::Rule::Workspace, "workspace" },
    { trial::Rule::Withdrawal, "withdrawal" },
    { trial::Rule::StaleConfiguration, "stale_configuration" },
    { trial::Rule::RevertedConfiguration, "reverted_configuration" },
    { trial::Rule::LostChange, "lost_change" },
    { trial::Rule::Leaving, "leaving" },
    { trial::Rule::FinalAnswer, "final_answer" },
    { trial::Rule::PlannedStop, "planned_stop" },
    { trial::Rule::RegionOverload, "region_overload" },
    { trial::Rule::Link, "link" },
    { trial::Rule::ShiftCap, "shift_cap" },
    { trial::Rule::Replay, "replay" },
    { trial::Rule::SteadyRefusal, "steady_refusal" },
    { trial::Rule::Recovery, "recovery" },
    { trial::Rule::Assertion, "assertion" },
} };

}

namespace peridot::trial {

class Verdict {
public:
    /** @p printLimit bounds the violations of one rule that keep their text. */
    explicit Verdict(std::size_t printLimit = 3)
        : m_printLimit(printLimit)
    {
    }

    /** Counts a check; @p detail is called only for a violation. */
    template <typename Detail> bool check(Rule rule, bool holds, VirtualTime now, const Detail& detail)
    {
        ++m_checks;
        if (!holds)
            violate(rule, now, detail());
        return holds;
    }
    void violate(Rule rule, VirtualTime now, const std::string& detail);

    std::uint64_t checks() const noexcept { return m_checks; }
    std::uint64_t violations() const noexcept;
    std::uint64_t violations(Rule rule) const noexcept { return m_violations[static_cast<std::size_t>(rule)]; }
    /** Lines that describe the first violations of each rule. */
    const std::vector<std::string>& texts() const noexcept { return m_texts; }

private:
    std::size_t m_printLimit;
    std::uint64_t m_checks = 0;
    std::array<std::uint64_t, enumNames<Rule>.size()> m_violations {};
    std::vector<std::string> m_texts;
};

}
