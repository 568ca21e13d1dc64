// Look-up answers of peridotd, kept for their time to live as callers do.

#pragma once

#include "base/Error.h"
#include "base/Time.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace peridot {

struct CachedLookup {
    std::vector<std::string> addresses; // Best first.
    TimePoint expires;
};

/** Parses a look-up answer that was asked for at @p now. */
Result<CachedLookup> parseLookup(const std::string& body, TimePoint now);

/** Thread-safe. One cache per workspace, as workspaces run on different machines. */
class LookupCache : public std::enable_shared_from_this<LookupCache> {
public:
    using Callback = std::function<void(Result<std::vector<std::string>>)>;

    LookupCache(std::vector<std::string> entryAddresses, std::string clientAddress);

    /** Calls back with the addresses for @p service, at once if they are cached. */
    void find(const std::string& service, Callback);
    /** Moves an address that could not be reached behind the others. */
    void demote(const std::string& service, const std::string& address);

    std::uint64_t lookups() const;
    std::uint64_t failedLookups() const;

private:
    struct Entry {
        CachedLookup cached;
        std::vector<Callback> waiting; // Not empty while a look-up is under way.
    };

    void ask(const std::string& service, std::size_t attempt);
    void answered(const std::string& service, std::size_t attempt, const Result<CachedLookup>&);

    const std::vector<std::string> m_entryAddresses;
    const std::string m_clientAddress;
    mutable std::mutex m_mutex;
    std::map<std::string, Entry> m_entries; // Guarded by m_mutex, as are the counts.
    std::size_t m_nextEntry = 0;
    std::uint64_t m_lookups = 0;
    std::uint64_t m_failedLookups = 0;
};

}
