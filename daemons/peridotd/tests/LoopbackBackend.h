// A backend server on loopback that misbehaves as its paths say, and plain HTTP exchanges over sockets.

#pragma once

#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace peridot {

/**
 * Sends bytes to host:port on a new connection and returns what comes back until the other side closes. With
 * @p endsSending the other side sees the end of the input, so that it closes even if it waits for more.
 */
std::string exchangeBytes(const std::string& address, const std::string& bytes, bool endsSending = false);

inline constexpr std::array<std::string_view, 4> unknownCodings { "gzip, chunked", "chunked, gzip",
    "gzip\r\nContent-Length: 4", "xchunked" };

/**
 * Answers by the path's last segment: "close" reads the request and closes the connection, "truncated" sends half of
 * the announced body, "long-truncated" does so with 1 MB, "long-chunks-truncated" sends 500 kB without the last chunk,
 * "cut-N" sends the Nth of cutResponses(), "head-N" the Nth of brokenHeads(), "parted-head-N" does so in two parts,
 * "sound-N" the Nth of soundHeads(), "coding-N" a response with the Nth of unknownCodings, "other" answers with
 * another request's id, "unframed" sends a body without length, "late-refusal" sends a refusal without an id before the
 * response, "twice" sends the response once more 50 ms later, "slow" answers after two seconds; anything else is
 * answered with "done".
 */
class LoopbackBackend {
public:
    LoopbackBackend();
    ~LoopbackBackend();
    LoopbackBackend(const LoopbackBackend&) = delete;
    LoopbackBackend& operator=(const LoopbackBackend&) = delete;

    const std::string& address() const noexcept { return m_address; }
    /** Requests that were read completely, by path. */
    int runs(const std::string& path) const;
    /** Everything that was received. */
    std::string received() const;

private:
    void accept();
    void serve(int descriptor);
    bool answer(int descriptor, const std::string& request);

    int m_listener = -1;
    std::string m_address;
    std::atomic<bool> m_isStopping { false };
    mutable std::mutex m_mutex;
    std::map<std::string, int> m_runs;
    std::string m_received;
    std::vector<int> m_connections;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

}
