// Decides whether this entry instance reaches backend servers at all, as opposed to some servers having failed.

#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <set>

namespace peridot {

struct ServerReachOptions {
    // Sends without a response for this long, at several servers, are a reason to probe.
    Duration silence = std::chrono::milliseconds { 400 };
    // Failed sends count together if they lie within this time.
    Duration failureMemory = std::chrono::seconds { 2 };
    Duration pauseAfterSuccess = std::chrono::milliseconds { 500 }; // Until the next probes, if one reached its server.
    Duration probeInterval = std::chrono::milliseconds { 200 }; // Between the rounds while no server is reached.
    // A server that accepts no connection may have failed. Rounds of probes that all fail, one after the other, until
    // the instance counts as detached.
    unsigned roundsToDetach = 2;
};

/**
 * Failed or unanswered sends at several servers lead to probes: connections to servers of any service. If none of them
 * opens, the instance is detached. It goes on probing, and is attached again as soon as one opens. Not thread-safe.
 */
class ServerReach {
public:
    static constexpr std::size_t s_probesPerRound = 3;

    explicit ServerReach(ServerReachOptions options)
        : m_options(options)
    {
    }

    bool isDetached() const noexcept { return m_isDetached; }
    /** Whether the last round reached no server, and one more has to decide. */
    bool isInDoubt() const noexcept { return m_failedRounds > 0 && !m_isDetached; }
    /** Whether a server has responded not long ago, although the instance may be unable to open connections. */
    bool hasResponses(TimePoint now) const noexcept { return now - m_lastResponse < m_options.silence; }
    Duration silence() const noexcept { return m_options.silence; }

    void sendFailed(const BackendServerId&, TimePoint now);
    /** A connection to a server was opened at @p at, which may be long ago. */
    void connected(TimePoint at);
    void responded(TimePoint now) noexcept { m_lastResponse = now; }
    /** @p silentServers is the number of servers at which a send has waited for its response for silence(). */
    void observeSilence(std::size_t silentServers, TimePoint now);

    /** Whether to probe s_probesPerRound servers now. */
    bool isRoundDue(TimePoint now) const noexcept;
    /** Whether probes of the last round have no result yet. */
    bool isProbing() const noexcept { return m_openProbes > 0; }
    /** Begins a round of @p probes. Returns its number, for probed(). */
    std::uint64_t beginRound(std::size_t probes, TimePoint now);
    void probed(std::uint64_t round, bool didConnect, TimePoint now);

private:
    void attach(TimePoint now);

    const ServerReachOptions m_options;
    std::set<BackendServerId> m_failed; // Servers with failed sends since m_failedSince.
    TimePoint m_failedSince {};
    TimePoint m_lastFailure {}; // Of a send or a probe.
    TimePoint m_lastResponse {};
    TimePoint m_nextRound {};
    std::uint64_t m_round = 0;
    std::size_t m_openProbes = 0; // Of the last round.
    unsigned m_failedRounds = 0; // In a row.
    bool m_isSuspected = false;
    bool m_isDetached = false;
};

}
