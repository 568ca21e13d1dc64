// Keeps the admitted requests of each workspace within its rate and burst over all entry instances, based on the demand
// that the instances exchange.

#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "steering/QuotaGate.h"
#include "steering/RouteTable.h"

#include <deque>
#include <map>

namespace peridot {

struct QuotaControllerOptions {
    // The platform limits the requests of a workspace that run in any window of this length to
    // (rate * window + burst) * (1 + overage) + slack.
    Duration window = std::chrono::seconds { 5 };
    double overage = 0.1;
    double slack = 20;
    // Mean time until all instances have received a demand. An instance uses its own demand with the same delay as the
    // others do.
    Duration propagationDelay = std::chrono::milliseconds { 1'000 };
    // Weight of the newest measurement in the demand; high, so that a surge shows immediately.
    double demandSmoothing = 0.9;
    double baselineSmoothing = 0.2; // Weight of the newest measurement in the baseline demand.
    // Time over which requests that were admitted beyond rate and burst during the propagation delay are compensated by
    // fewer admissions. It is less than half of the window.
    Duration deficitRecoveryTime = std::chrono::seconds { 2 };
    Duration burstTime = std::chrono::seconds { 1 }; // Time over which a full burst may be used.
    // Until the other instances have received its demand, an instance may admit this many times the sum of its share of
    // the rate and its baseline demand. QuotaControllerTest covers surges to 7.5 times the baseline; the users' sites
    // have no larger ones.
    double surgeFactor = 1.3;
    // An instance may in any case admit this many times its share of the requests that the platform's limit leaves
    // beyond the demand, clamped to the next two values. Small workspaces have far less than one request per instance
    // and QuotaGate::s_window, and seldom more than four.
    double spareFactor = 1.4;
    double minimumAllowance = 2;
    double maximumSpareAllowance = 4;
};

/**
 * Every instance simulates the same bucket of each workspace from the demand on all instances, as it was one
 * propagation delay ago. While the bucket holds units, all requests are admitted; otherwise a fraction of them, chosen
 * at random. Therefore a workspace may spread its requests over the instances in any way, also over more instances than
 * its rate has units. Not thread-safe.
 */
class QuotaController {
public:
    explicit QuotaController(QuotaControllerOptions options)
        : m_options(options)
    {
    }

    /** Replaces the options. The platform's limit may change while the controller runs. */
    void setOptions(const QuotaControllerOptions& options) { m_options = options; }
    /** Measures this instance's demand per second from the requests that the gate has counted since the last call. */
    const std::map<WorkspaceId, double>& measure(QuotaGate&, TimePoint now);
    /** Sets the gate's admissions. @p totals are the demands of all instances as far as they are known. */
    void apply(QuotaGate&, const std::vector<WorkspaceQuota>&, const std::map<WorkspaceId, double>& totals,
        std::size_t instances, TimePoint now);

private:
    struct Sample {
        TimePoint time;
        std::map<WorkspaceId, double> baseline;
    };

    struct AppliedProbability {
        TimePoint since;
        double value = 1;
    };

    struct BucketState {
        // Units in the bucket; negative after excess admissions. Starts at 0, so that a restart grants no second burst.
        double level = 0;
        std::deque<AppliedProbability> probabilities; // Oldest first; the first one applied one propagation delay ago.
    };

    double updateLevel(const WorkspaceQuota&, BucketState&, double total, double passedSeconds, TimePoint now) const;
    double allowance(const WorkspaceQuota&, double baseline, double total, std::size_t instances, TimePoint now) const;

    QuotaControllerOptions m_options;
    std::map<WorkspaceId, double> m_demands; // Of this instance, in requests per second, smoothed.
    std::map<WorkspaceId, double> m_baselines; // The values of m_demands, smoothed over about a second.
    std::deque<Sample> m_history; // Oldest first; the first one is about `propagationDelay` old.
    std::map<WorkspaceId, BucketState> m_states;
    TimePoint m_measuredAt {};
    TimePoint m_startedAt {};
    TimePoint m_appliedAt {};
};

}
