// Counts how often each request was run, over all servers of the process.

#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace peridot {

struct RunStart {
    std::string requestId; // X-Request-Id.
    std::string echo; // The caller's own id; the same for all attempts of one piece of work.
    std::string method;
    std::string path;
    std::string server;
};

/** Thread-safe. */
class RunRegistry {
public:
    explicit RunRegistry(std::size_t trackedIds);

    void record(const RunStart&);

    /** Totals, ids that ran more than once, and with @p isFull all ids. @p method restricts it to one method. */
    nlohmann::json report(bool isFull, const std::string& method) const;
    void clear();

private:
    struct Runs {
        std::uint32_t count = 0;
        std::string method;
        std::string path;
        std::vector<std::string> servers; // One for each run.
    };

    /** Counts by one kind of id. */
    struct Index {
        std::unordered_map<std::string, Runs> runs;
        std::deque<std::string> order; // Oldest first, each id once.
        std::uint64_t forgotten = 0;
    };

    void add(Index&, const std::string& id, const RunStart&) const;
    static nlohmann::json report(const Index&, bool isFull, const std::string& method);

    const std::size_t m_trackedIds;
    mutable std::mutex m_mutex;
    std::uint64_t m_total = 0; // Guarded by m_mutex, as are the indexes.
    std::uint64_t m_withoutId = 0;
    Index m_byRequestId;
    Index m_byEcho;
};

}
