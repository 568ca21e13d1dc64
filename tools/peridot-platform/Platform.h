// Behaviour of the platform's stand-in without I/O: the store, its rate limits, its faults and its counts.

#pragma once

#include "InstanceRegistry.h"
#include "PlatformFaults.h"
#include "PlatformSettings.h"
#include "store/MemoryStore.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>

namespace peridot {

/** What happens to a store request before it runs. */
enum class Admission {
    Run, // After Platform::delay().
    RefuseDown,
    RefuseRate,
    Hang, // Never runs.
};

struct Execution {
    StoreResult result;
    bool isAnswerLost = false; // The request took effect, and the caller must not learn of it.
};

/** Operations per second with a burst of one second. */
class RateLimit {
public:
    RateLimit(double perSecond, TimePoint now);
    bool take(TimePoint now);

private:
    double m_perSecond;
    double m_tokens; // At most m_perSecond.
    TimePoint m_refilled;
};

/** Not thread-safe. */
class Platform {
public:
    Platform(const PlatformSettings&, TimePoint now);

    Admission admit(const StoreRequest&, const std::string& caller, TimePoint now);
    Duration delay() const noexcept { return m_faults.delay; }
    Execution execute(const StoreRequest&, TimePoint now);

    void setFaults(const PlatformFaults&, TimePoint now);
    const PlatformFaults& faults() const noexcept { return m_faults; }

    InstanceRegistry& instances() noexcept { return m_instances; }
    nlohmann::json statistics() const;

private:
    struct Counts {
        std::uint64_t run = 0;
        std::uint64_t refusedDown = 0;
        std::uint64_t refusedRate = 0;
        std::uint64_t hanging = 0;
        std::uint64_t lostAnswers = 0;
    };

    bool isLost(const StoreRequest&);
    Duration listLag() const noexcept { return m_listLag + m_faults.listLag; }

    const Duration m_listLag;
    MemoryStore m_store;
    InstanceRegistry m_instances;
    PlatformFaults m_faults;
    RateLimit m_writes;
    RateLimit m_reads;
    std::mt19937_64 m_random;
    std::map<std::string, Counts> m_counts; // By type of request.
    std::map<std::string, std::uint64_t> m_callers; // Admitted requests by caller.
    std::uint64_t m_committedRows = 0;
    std::uint64_t m_refusedCommits = 0;
};

}
