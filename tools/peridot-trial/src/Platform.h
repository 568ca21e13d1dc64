// The platform as the instances meet it: the in-memory store behind delays, limited rates, outages and lost answers,
// and the list of instances with its lag.

#pragma once

#include "EventLoop.h"
#include "Network.h"
#include "Random.h"

#include "store/MemoryStore.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace peridot::trial {

/** Time after which the platform takes a silent instance for dead; the list follows with its lag. */
constexpr Duration deathDetection = std::chrono::seconds { 8 };

struct PlatformFaults {
    int outages = 0; // Outages in force, for everyone.
    std::map<std::size_t, int> blockedRegions; // Outages in force, for the instances of a region.
    Duration slowness { 0 }; // Added to each request.
    double lostAnswers = 0; // Part of the requests that take effect without an answer.
};

class Platform {
public:
    using Completion = std::function<void(const StoreResult&)>;
    using CommitObserver = std::function<void(const TableCommit&, VirtualTime)>;

    Platform(EventLoop&, Network&, std::uint64_t seed);

    /** Starts a request of an instance in @p domain. The completion runs once, at the latest after @p timeout. */
    void call(std::size_t domain, bool isIsolated, const StoreRequest&, Duration timeout, Completion);

    /** The list shows the instance after the lag; returns when. */
    VirtualTime list(const PlatformInstance&);
    VirtualTime unlist(const std::string& name);
    void setListLag(Duration lag) noexcept { m_listLag = lag; }
    /** Lists at once, for the start of a run. */
    void listNow(const PlatformInstance& instance) { m_store.putInstance(instance); }
    const MemoryStore& store() const noexcept { return m_store; }
    /** Direct access for the set-up of a run. */
    StoreResult apply(const StoreRequest& request) { return m_store.apply(request); }

    PlatformFaults& faults() noexcept { return m_faults; }
    bool isReachable(std::size_t region) const;
    /** Whether some requests are slow or lose their answers. */
    bool isImpaired() const noexcept { return m_faults.slowness.count() > 0 || m_faults.lostAnswers > 0; }
    /** Calls @p observer at each commit that took effect. */
    void observeCommits(CommitObserver observer) { m_observer = std::move(observer); }

    std::uint64_t reads() const noexcept { return m_reads; }
    std::uint64_t writes() const noexcept { return m_writes; }

private:
    Duration serviceDelay(bool isWrite);
    StoreResult applyObserved(const StoreRequest&);

    EventLoop& m_loop;
    Network& m_network;
    Random m_random;
    MemoryStore m_store;
    PlatformFaults m_faults;
    CommitObserver m_observer;
    Duration m_listLag = std::chrono::seconds { 1 };
    VirtualTime m_writesBusyUntil { 0 };
    VirtualTime m_readsBusyUntil { 0 };
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
};

}
