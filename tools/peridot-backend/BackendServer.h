// Capacity of one backend server without I/O: slots, the queue in front of them, shedding, cold start and reports.

#pragma once

#include "BackendSettings.h"
#include "ServerControl.h"

#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <random>

namespace peridot {

using JobId = std::uint64_t;

enum class Arrival {
    Run,
    Wait,
    Shed,
};

/** Not thread-safe. */
class BackendServer {
public:
    BackendServer(const BackendServerSettings&, const ServiceBehaviour&, std::uint64_t randomSeed);

    const BackendServerSettings& settings() const noexcept { return m_settings; }
    const ServiceBehaviour& behaviour() const noexcept { return m_behaviour; }

    /** Decides about a request. A job that runs or waits must be ended with leave(). */
    Arrival arrive(JobId, TimePoint now);
    /** Draws the service time of a run that starts now. */
    Duration drawServiceTime();
    /** Ends a job that runs or waits. Returns the waiting job that starts in its place. */
    std::optional<JobId> leave(JobId, TimePoint now);

    void setControl(const ServerControl&, TimePoint now);
    const ServerControl& control() const noexcept { return m_control; }
    void startCold() noexcept { m_runs = 0; }
    /** True with the given probability. */
    bool draw(double probability);

    LoadReport report(TimePoint now);

private:
    struct Snapshot {
        TimePoint since;
        LoadReport report;
    };

    LoadReport truth() const noexcept;
    LoadReport lagged(TimePoint now);
    void record(TimePoint now);

    const BackendServerSettings m_settings;
    const ServiceBehaviour m_behaviour;
    const std::size_t m_longestQueue;
    ServerControl m_control;
    std::list<JobId> m_running; // At most as many as there are slots.
    std::list<JobId> m_waiting; // At most m_longestQueue.
    std::uint64_t m_runs = 0; // Since the last cold start.
    std::deque<Snapshot> m_history; // Oldest first; never empty. Reaches back by the reports' lag.
    std::optional<LoadReport> m_frozen;
    std::mt19937_64 m_random;
};

}
