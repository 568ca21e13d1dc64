// Keeps each workspace within its rate and burst over all entry instances, by the demand that they tell each other.

#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "steering/QuotaGate.h"
#include "steering/RouteTable.h"

#include <deque>
#include <map>

namespace peridot {

struct QuotaControllerOptions {
    // The platform counts what runs in any window of this length against (rate * window + burst) * (1 + overage) +
    // slack.
    Duration window = std::chrono::seconds { 5 };
    double overage = 0.1;
    double slack = 20;
    // Time until all instances know a demand, on average. The own demand enters the division as late as it reaches the
    // others.
    Duration propagationDelay = std::chrono::milliseconds { 1'000 };
    double smoothing = 0.9; // Of the demand, per measurement; a surge has to show at once.
    double usualSmoothing = 0.2; // Of the demand that an instance is prepared for.
    // What was admitted beyond rate and burst during the propagation delay is made up for in this time, less than half
    // of the window.
    Duration debtTime = std::chrono::seconds { 2 };
    Duration burstTime = std::chrono::seconds { 1 }; // In which a full burst may be used.
    // Until the others know its demand, an instance may admit this many times its part of the rate and its usual
    // demand. QuotaControllerTest has surges to 7.5 times the usual; the users' sites have no larger ones.
    double surgeFactor = 1.3;
    // But at least this many times its part of what the bound leaves beyond the demand, within limits: small workspaces
    // have far less than one request per instance and window, and seldom more than four.
    double spareFactor = 1.4;
    double smallestAllowance = 2;
    double largestSpareAllowance = 4;
};

/**
 * Every instance simulates the same bucket of each workspace from the demand on all instances, as it was one
 * propagation delay ago. While it holds units, all requests are admitted; otherwise a part of them, chosen at random.
 * So a workspace may spread its requests over the instances in any way, also over more instances than its rate has
 * units. Not thread-safe.
 */
class QuotaController {
public:
    explicit QuotaController(QuotaControllerOptions options)
        : m_options(options)
    {
    }

    /** The platform's bound may change while the controller runs. */
    void setOptions(const QuotaControllerOptions& options) { m_options = options; }
    /** Measures the own demand from what the gate counted since the last call. */
    const std::map<WorkspaceId, double>& measure(QuotaGate&, TimePoint now);
    /** Sets the gate's admissions. @p totals are the demands of all instances as far as they are known. */
    void apply(QuotaGate&, const std::vector<WorkspaceQuota>&, const std::map<WorkspaceId, double>& totals,
        std::size_t instances, TimePoint now);

private:
    struct Sample {
        TimePoint time;
        std::map<WorkspaceId, double> usual;
    };

    struct Probability {
        TimePoint since;
        double value = 1;
    };

    struct State {
        double level = 0; // Units in the bucket; below 0 if more was admitted. A restart hands out no second burst.
        std::deque<Probability> probabilities; // Oldest first; the first one was in force one propagation delay ago.
    };

    double updateLevel(const WorkspaceQuota&, State&, double total, double passedSeconds, TimePoint now) const;
    double allowance(const WorkspaceQuota&, double usual, double total, std::size_t instances, TimePoint now) const;

    QuotaControllerOptions m_options;
    std::map<WorkspaceId, double> m_demands; // Per second, smoothed.
    std::map<WorkspaceId, double> m_usual; // The same, smoothed over about a second.
    std::deque<Sample> m_history; // Oldest first; the first one is about `propagationDelay` old.
    std::map<WorkspaceId, State> m_states;
    TimePoint m_measured {};
    TimePoint m_started {};
    TimePoint m_applied {};
};

}
