// The callers of one workspace: arrival of requests, attempts, and the judgement of responses.

#pragma once

#include "LoadSettings.h"
#include "LoadStatistics.h"
#include "LookupCache.h"
#include "ReferenceBucket.h"
#include "ResponseCheck.h"
#include "RunAudit.h"
#include "base/EventLog.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <random>

namespace peridot {

struct CallerRun {
    // Part of every request's id. It must differ between runs: a repeated idempotency key gets the response of the
    // earlier run.
    std::string id;
    std::uint64_t randomSeed = 0; // Of arrivals and mix.
};

/** Thread-safe. */
class WorkspaceCallers : public std::enable_shared_from_this<WorkspaceCallers> {
public:
    WorkspaceCallers(const LoadSettings&, const CallerSettings&, const CallerRun&, RunAudit&, EventLog&);

    void start();
    /** Returns once the time is over and every request has its outcome. */
    void wait();

    const std::string& workspace() const noexcept { return m_caller.workspace; }
    LoadStatistics statistics() const;
    nlohmann::json toJson() const;

private:
    /** One request with its further attempts. */
    struct Work {
        const RequestKind* kind = nullptr;
        std::shared_ptr<LookupCache> lookups; // Of the client that sends the request.
        std::string id;
        std::uint32_t attempt = 1;
        std::uint32_t reconnects = 0;
        bool isInsideRate = false;
        TimePoint started;

        std::string echo() const;
    };
    using WorkPointer = std::shared_ptr<Work>;

    void scheduleArrival();
    void arrivalsDue();
    void begin();
    void startAttempt(const WorkPointer&);
    void send(const WorkPointer&, const std::string& address);
    void responded(const WorkPointer&, const std::string& address, const HttpOutcome&);
    void logOutcome(const Work&, const std::string& address, const Judgement&, const HttpOutcome&);
    void finishAttempt(const WorkPointer&, Outcome, const std::string& code);
    void end();
    const RequestKind& drawKind();

    RunAudit& m_audit;
    EventLog& m_log;
    const std::string m_runId;
    const LoadSettings m_settings;
    const CallerSettings m_caller;
    const std::vector<std::shared_ptr<LookupCache>> m_clients; // One cache for each client; never empty.

    mutable std::mutex m_mutex;
    std::condition_variable m_ended;
    std::mt19937_64 m_random; // Guarded by m_mutex, as are all members below.
    std::discrete_distribution<std::size_t> m_mix;
    ReferenceBucket m_reference;
    LoadStatistics m_statistics;
    TimePoint m_end;
    TimePoint m_nextArrival;
    std::uint64_t m_count = 0;
    std::uint32_t m_open = 0; // Requests without an outcome.
    bool m_isArriving = false; // More requests will come.
};

}
