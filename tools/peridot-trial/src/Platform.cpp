#include "Platform.h"

#include <algorithm>
#include <memory>

namespace peridot::trial {

namespace {

    // Several hundred writes and about 2,000 reads per second.
    constexpr Duration timePerWrite = std::chrono::microseconds { 2500 };
    constexpr Duration timePerRead = std::chrono::microseconds { 500 };
    constexpr std::size_t storeDomain = 0;

    bool isWrite(const StoreRequest& request)
    {
        return std::holds_alternative<TableCommit>(request) || std::holds_alternative<ObjectPut>(request);
    }

    StoreResult unavailable() { return makeError(ErrorCode::Unavailable, "call store", "store", "connection refused"); }

    StoreResult noAnswer(bool wasWrite)
    {
        return makeError(
            wasWrite ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable, "call store", "store", "no answer");
    }

    /** Runs the completion at the first of the answer and the timeout. */
    struct PendingCall {
        Platform::Completion completion;
        void complete(const StoreResult& result)
        {
            if (Platform::Completion run = std::exchange(completion, nullptr))
                run(result);
        }
    };

}

Platform::Platform(EventLoop& loop, Network& network, std::uint64_t seed)
    : m_loop(loop)
    , m_network(network)
    , m_random(seed, "platform")
{
}

bool Platform::isReachable(std::size_t region) const
{
    return m_faults.outages == 0 && m_faults.blockedRegions.count(region) == 0
        && m_network.isConnected(region, Network::regionOf(storeDomain));
}

Duration Platform::serviceDelay(bool write)
{
    VirtualTime& busyUntil = write ? m_writesBusyUntil : m_readsBusyUntil;
    busyUntil = std::max(busyUntil, m_loop.now()) + (write ? timePerWrite : timePerRead);
    const Duration work = m_random.between(std::chrono::milliseconds { 1 }, std::chrono::milliseconds { 5 });
    Duration slow { 0 };
    if (m_faults.slowness.count() > 0)
        slow = m_random.between(m_faults.slowness / 2, m_faults.slowness);
    return busyUntil - m_loop.now() + work + slow;
}

StoreResult Platform::applyObserved(const StoreRequest& request)
{
    ++(isWrite(request) ? m_writes : m_reads);
    StoreResult result = m_store.apply(request);
    if (const auto* commit = std::get_if<TableCommit>(&request); commit && result && m_observer) {
        if (std::get<CommitResult>(*result).isCommitted)
            m_observer(*commit, m_loop.now());
    }
    return result;
}

void Platform::call(
    std::size_t domain, bool isIsolated, const StoreRequest& request, Duration timeout, Completion completion)
{
    const std::size_t region = Network::regionOf(domain);
    const bool write = isWrite(request);
    auto pending = std::make_shared<PendingCall>(PendingCall { std::move(completion) });
    const Duration limit = timeout.count() > 0 ? timeout : std::chrono::seconds { 2 };
    m_loop.after(limit, [pending, write] { pending->complete(noAnswer(write)); });
    if (isIsolated)
        return;
    if (!isReachable(region)) {
        // Half of the calls are refused at once, the others get no answer.
        if (m_network.isConnected(region, 0) && m_random.chance(0.5))
            m_loop.after(m_network.delay(domain, storeDomain) * 2, [pending] { pending->complete(unavailable()); });
        return;
    }
    const bool isAnswerLost = m_random.chance(m_faults.lostAnswers);
    const Duration back = m_network.delay(storeDomain, domain);
    const Duration toEffect = m_network.delay(domain, storeDomain) + serviceDelay(write);
    m_loop.after(toEffect, [this, region, request, pending, isAnswerLost, back] {
        if (!isReachable(region))
            return;
        const StoreResult result = applyObserved(request);
        if (!isAnswerLost)
            m_loop.after(back, [pending, result] { pending->complete(result); });
    });
}

VirtualTime Platform::list(const PlatformInstance& instance)
{
    m_loop.after(m_listLag, [this, instance] { m_store.putInstance(instance); });
    return m_loop.now() + m_listLag;
}

VirtualTime Platform::unlist(const std::string& name)
{
    m_loop.after(m_listLag, [this, name] { m_store.removeInstance(name); });
    return m_loop.now() + m_listLag;
}

}
