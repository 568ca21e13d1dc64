#include "steering/ServerReach.h"

namespace peridot {

namespace {

    // With fewer servers, the cause is more likely with the servers.
    constexpr std::size_t serversToSuspect = 2;

}

void ServerReach::sendFailed(const BackendServerId& server, TimePoint now)
{
    if (m_failed.empty() || now - m_failedSince > m_options.failureMemory) {
        m_failed.clear();
        m_failedSince = now;
    }
    m_failed.insert(server);
    m_lastFailure = now;
    if (m_failed.size() >= serversToSuspect)
        m_isSuspected = true;
}

void ServerReach::connected(TimePoint at)
{
    if (at > m_lastFailure)
        attach(at);
}

void ServerReach::attach(TimePoint now)
{
    m_failed.clear();
    m_isSuspected = false;
    m_isDetached = false;
    m_failedRounds = 0;
    m_openProbes = 0;
    m_nextRound = now + m_options.pauseAfterSuccess;
}

void ServerReach::observeSilence(std::size_t silentServers, TimePoint now)
{
    if (silentServers >= serversToSuspect && !hasResponses(now))
        m_isSuspected = true;
}

bool ServerReach::isRoundDue(TimePoint now) const noexcept
{
    return (m_isSuspected || m_isDetached) && m_openProbes == 0 && now >= m_nextRound;
}

std::uint64_t ServerReach::beginRound(std::size_t probes, TimePoint now)
{
    m_openProbes = probes;
    m_nextRound = now + (m_isDetached ? m_options.probeInterval : Duration { 0 });
    return ++m_round;
}

void ServerReach::probed(std::uint64_t round, bool didConnect, TimePoint now)
{
    if (didConnect) {
        attach(now);
        return;
    }
    m_lastFailure = now;
    if (round != m_round || m_openProbes == 0 || --m_openProbes > 0)
        return;
    if (++m_failedRounds >= m_options.roundsToDetach)
        m_isDetached = true;
}

}
