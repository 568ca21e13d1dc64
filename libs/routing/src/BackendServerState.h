// What an instance knows of one backend server: its own requests there, the last report and how far it is trusted, the
// concurrency limit, ejection and slow start.

#pragma once

#include "routing/BackendPool.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace peridot {

/** Figures of the whole pool that one server is compared with. */
struct PoolFigures {
    double latency = 0; // Recent mean, seconds per unit of cost; 0 if unknown.
    double baseline = 0; // Of an uncongested pool.
    double meanForeignLoad = 0; // Per slot, from other instances.
    double fairShare = 1; // Slots of this server that belong to this instance.
};

class BackendServerState {
public:
    BackendServerState(const BackendServerInfo&, double initialLimit);

    const BackendServerInfo& info() const noexcept { return m_info; }
    void setInfo(const BackendServerInfo& info) { m_info = info; }
    void setLeaving() noexcept { m_info.isLeaving = true; }
    bool isStaying() const noexcept { return !m_info.isLeaving; }
    std::uint32_t slots() const noexcept { return m_info.slots; }
    std::uint32_t inFlight() const noexcept { return m_inFlight; }

    void setConnectionLimit(std::uint32_t limit) noexcept { m_connectionLimit = limit; }
    std::uint32_t connectionLimit() const noexcept { return m_connectionLimit; }
    double concurrencyLimit() const noexcept { return m_limit; }
    /** Whether this instance may have one more request there. */
    bool hasRoom(TimePoint now, const BackendPoolOptions&) const;

    void started(TimePoint now, double cost);
    void finished(TimePoint now, double cost, BackendOutcome, double latencyPerCost, const PoolFigures&);
    void report(TimePoint now, const LoadReport&, Duration age);

    /** Weight of the report: its trust, halved with every half-life of its age. */
    double reportWeight(TimePoint now, const BackendPoolOptions&) const;
    /** Load from other instances as reported. */
    double reportedForeignLoad() const noexcept { return m_foreignLoad; }
    double trust() const noexcept { return m_trust; }
    /** Expected work on the server, from all instances. */
    double estimatedLoad(TimePoint now, double meanForeignLoad, const BackendPoolOptions&) const;
    /** Share of recent requests that the server refused. */
    double shedShare(TimePoint now) const;
    /** Latency relative to the mean of the pool; 1 if unknown. */
    double relativeLatency(double poolLatency) const noexcept;

    double turn() const noexcept { return m_turn; }
    void setTurn(double turn) noexcept { m_turn = turn; }

    void beginSlowStart(TimePoint now) noexcept { m_slowStartBegin = now; }
    double slowStartShare(TimePoint now, const BackendPoolOptions&) const;

    bool shouldEject(const BackendPoolOptions&, bool isPoolShedding) const noexcept;
    void probeFailed() noexcept { ++m_probeFailures; }
    void probeSucceeded() noexcept { m_probeFailures = 0; }
    void eject(TimePoint now, const BackendPoolOptions&, double jitter);
    /** Ends the ejection now; the server starts slowly. */
    void restore(TimePoint now) noexcept;
    bool isEjected(TimePoint now) const noexcept { return now < m_ejectedUntil; }
    TimePoint ejectedUntil() const noexcept { return m_ejectedUntil; }

private:
    struct Sample {
        TimePoint time;
        std::uint32_t inFlight = 0; // From then on.
    };

    std::uint32_t lowestInFlightAround(TimePoint) const;
    void record(TimePoint now);
    void adjustTrust(BackendOutcome, const PoolFigures&, TimePoint now);
    void adjustLimit(TimePoint now, BackendOutcome, const PoolFigures&);

    BackendServerInfo m_info;
    std::uint32_t m_inFlight = 0;
    double m_inFlightCost = 0;
    std::uint32_t m_connectionLimit = 0;

    // Invariant: 1 <= m_limit <= max(1, slots).
    double m_limit = 1;
    TimePoint m_limitCut; // Last reduction; one congestion event causes one.

    bool m_hasReport = false;
    TimePoint m_reportTime;
    double m_reportedLoad = 0; // Per slot.
    double m_foreignLoad = 0;
    double m_trust = 1;

    double m_turn = 0; // Position in the order in which the pool offers its servers.

    double m_latency = 0; // Recent mean, seconds per unit of cost.
    double m_shedShare = 0; // As of m_shedTime; fades with time.
    TimePoint m_shedTime;

    unsigned m_failures = 0; // Consecutive.
    unsigned m_sheds = 0; // Consecutive.
    unsigned m_probeFailures = 0; // Consecutive.
    unsigned m_ejections = 0; // Since the server last worked for a full slow start.
    TimePoint m_ejectedUntil;
    std::optional<TimePoint> m_slowStartBegin;

    std::array<Sample, 64> m_history {}; // Ring of own in-flight counts, to compare with reports about the past.
    std::size_t m_historyNext = 0;
};

}
