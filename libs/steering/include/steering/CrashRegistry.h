// Remembers requests during which backend servers ended, and isolates those that ended too many of them.

#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <tuple>
#include <vector>

namespace peridot {

/** Times of a send that ended without a response, since the Unix epoch and by the clock of the instance. */
struct LostSend {
    std::chrono::milliseconds sentAt { 0 };
    std::chrono::milliseconds lostAt { 0 };

    bool operator==(const LostSend&) const = default;
};

/** A backend server ended while a request ran there. */
struct CrashReport {
    std::uint64_t content = 0; // Hash of the request's caller, method, path and body.
    BackendServerId server;
    // The start that ended, as in ListedServer. 0 if it is unknown, as in reports of earlier builds.
    std::int64_t incarnation = 0;
    std::optional<LostSend> send {}; // Unset in reports of earlier builds. It makes no other report.

    auto identity() const noexcept { return std::tie(content, server, incarnation); }
    bool operator==(const CrashReport& other) const { return identity() == other.identity(); }
    auto operator<=>(const CrashReport& other) const { return identity() <=> other.identity(); }
};

/** Changes for the other instances. */
struct CrashReportChanges {
    std::vector<CrashReport> added;
    std::vector<CrashReport> removed;
};

struct CrashRegistryOptions {
    // Ends of servers. Any request may run at a server that ends for another reason. It is rarely there three times
    // without a response.
    std::size_t isolationThreshold = 3;
    // Reports are kept for a random time within these bounds, so that not all instances remove them at once.
    Duration minimumRetention = std::chrono::minutes { 30 };
    Duration maximumRetention = std::chrono::minutes { 60 };
    std::size_t maximumRequests = 10'000; // Beyond it, the one without a report for the longest time is forgotten.
};

/**
 * A request is isolated while at least CrashRegistryOptions::isolationThreshold ends of servers are known and none of
 * its runs has ended with a response since. A server that starts again under its id can end again. Sends that were open
 * at the same time count once, because one cause may have ended several servers, or the links to them. Not thread-safe.
 */
class CrashRegistry {
public:
    CrashRegistry(CrashRegistryOptions, std::uint64_t seed);

    /** Records a crash that this instance has observed. */
    void observe(const CrashReport&, TimePoint now);
    /** Removes all reports of a request, because one of its runs has ended with a response. */
    void completed(std::uint64_t content);
    /** Applies a change that another instance has made. */
    void add(const CrashReport&, TimePoint now);
    void remove(const CrashReport&);

    bool isIsolated(std::uint64_t content) const;
    std::size_t isolatedRequests() const noexcept;
    /** Removes reports whose retention has ended, and returns all changes by this instance since the last call. A
     * report that was removed and observed again is in both lists. */
    CrashReportChanges takeChanges(TimePoint now);

private:
    struct Entry {
        std::map<CrashReport, TimePoint> reports; // With the end of their retention, those of a server in a row.
        TimePoint newest {};

        /** Whether there is another report of the same server. */
        bool hasOtherReport(const CrashReport&) const;
        std::size_t ends() const;
    };

    bool insert(const CrashReport&, TimePoint now);
    void limitSize();

    const CrashRegistryOptions m_options;
    std::mt19937_64 m_random;
    std::map<std::uint64_t, Entry> m_entries; // By content. No entry is without reports.
    CrashReportChanges m_changes;
};

}
