// Keeps reports of ended backend servers until there is evidence that the server has ended, and not the connection to
// it only.

#pragma once

#include "base/EnumNames.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "steering/ConnectOutcome.h"
#include "steering/CrashRegistry.h"
#include "steering/ListedServer.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridot {

struct CrashSuspicionsOptions {
    Duration checkInterval = std::chrono::seconds { 1 }; // Between the rounds of connection attempts.
    std::size_t checksPerRound = 8; // Addresses of suspected servers.
    // A server that has started again is listed as such this long after it accepts connections, at the latest.
    Duration listingTime = std::chrono::seconds { 5 };
    // Time for a server to start again, or for another one to be reached.
    Duration longestWait = std::chrono::seconds { 30 };
    std::size_t maximumReports = 1'000; // Beyond it, the oldest is dropped.
};

/** Why a report came to nothing. */
enum class CrashDropReason {
    ServerLives,
    NoEvidence,
    TooMany,
};

template <>
inline constexpr EnumNameTable<CrashDropReason, 3> enumNames<CrashDropReason> { {
    { CrashDropReason::ServerLives, "server_lives" },
    { CrashDropReason::NoEvidence, "no_evidence" },
    { CrashDropReason::TooMany, "too_many" },
} };

/**
 * To an instance that has lost its links, all servers seem to have ended. A report is confirmed by either of these:
 * - The list of servers names a later start of the server, or of another one at its address.
 * - Of connection attempts that began together, the one to the server is refused and one to another address succeeds.
 * It is dropped if the server accepts connections and no later start of it is listed. Not thread-safe.
 */
class CrashSuspicions {
public:
    struct Dropped {
        CrashReport report;
        CrashDropReason reason = CrashDropReason::NoEvidence;
    };

    explicit CrashSuspicions(CrashSuspicionsOptions options)
        : m_options(options)
    {
    }

    /** A request had been sent to the server at @p address when the connection ended. */
    void add(const CrashReport&, const std::string& address, TimePoint now);
    /** Forgets a request, because one of its runs has ended with a response. */
    void completed(std::uint64_t content);

    bool isEmpty() const noexcept { return m_reports.empty(); }
    std::size_t size() const noexcept { return m_reports.size(); }
    /** Of the suspected servers. */
    std::set<std::string> addresses() const;
    /** Whether it is time for connection attempts to suspected servers and, together with them, to others. */
    bool isRoundDue(TimePoint now) const noexcept { return !m_reports.empty() && now >= m_nextRound; }
    /** Begins a round. Returns the addresses of suspected servers to try in it. */
    std::vector<std::string> beginRound(std::uint64_t round, TimePoint now);
    /** Takes the outcome of an attempt to any address. It counts during the round only. */
    void connectEnded(std::uint64_t round, const std::string& address, ConnectOutcome, TimePoint now);
    /** Takes the entries of servers that are in force. */
    void listed(const std::vector<ListedServer>&);

    std::vector<CrashReport> takeConfirmed();
    std::vector<Dropped> takeDropped(TimePoint now);

private:
    struct Suspicion {
        std::string address;
        TimePoint since;
        // Since when the server is known to accept connections. A later refusal says nothing about the request.
        std::optional<TimePoint> acceptsSince {};
    };
    using Reports = std::map<CrashReport, Suspicion>;

    void takeEntry(const ListedServer&);
    Reports::iterator confirm(Reports::iterator);
    void compareOutcomes();

    const CrashSuspicionsOptions m_options;
    Reports m_reports;
    TimePoint m_nextRound {};
    std::uint64_t m_round = 0;
    std::set<std::string> m_accepting; // Addresses, in the round.
    std::set<std::string> m_refusing;
    std::string m_lastChecked; // Address; the next round goes on behind it.
    std::vector<CrashReport> m_confirmed;
    std::vector<Dropped> m_dropped;
};

}
