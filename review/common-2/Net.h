// Blocking sockets and HTTP/1.1 messages for the stand-ins of the review. Loopback addresses only.

#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <random>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

inline void sleepFor(Milliseconds time) { std::this_thread::sleep_for(time); }

inline std::string lowerCase(std::string text)
{
    std::transform(
        text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

struct Message {
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool isWhole = false; // All that the head announces has come.

    std::string header(const std::string& name) const
    {
        for (const auto& [key, value] : headers) {
            if (lowerCase(key) == lowerCase(name))
                return value;
        }
        return {};
    }
    bool hasHeader(const std::string& name) const
    {
        return std::any_of(
            headers.begin(), headers.end(), [&](const auto& it) { return lowerCase(it.first) == lowerCase(name); });
    }
    std::string method() const { return startLine.substr(0, startLine.find(' ')); }
    std::string target() const
    {
        const auto begin = startLine.find(' ');
        return begin == std::string::npos ? "" : startLine.substr(begin + 1, startLine.rfind(' ') - begin - 1);
    }
    /** Of a response; 0 if there is none. */
    int status() const
    {
        const auto begin = startLine.find(' ');
        return begin == std::string::npos ? 0 : std::atoi(startLine.c_str() + begin + 1);
    }
};

/** One connection. Closes its descriptor when it is destroyed. */
class Connection {
public:
    explicit Connection(int descriptor)
        : m_descriptor(descriptor)
    {
        const int on = 1;
        ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection() { close(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    bool isOpen() const { return m_descriptor >= 0; }
    void close()
    {
        if (m_descriptor >= 0)
            ::close(std::exchange(m_descriptor, -1));
    }
    /** Ends the blocking calls of another thread. */
    void shutDown()
    {
        if (m_descriptor >= 0)
            ::shutdown(m_descriptor, SHUT_RDWR);
    }
    /** Closes with a reset. */
    void reset()
    {
        const linger atOnce { 1, 0 };
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
        close();
    }

    bool send(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const auto sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    /** Reads a message. It is not whole if the connection ended or the time was over within it. */
    Message read(Milliseconds limit, bool isToHead = false)
    {
        Message message;
        const auto end = Clock::now() + limit;
        std::size_t headEnd = 0;
        while ((headEnd = m_input.find("\r\n\r\n")) == std::string::npos) {
            if (!receive(end))
                return message;
        }
        parseHead(message, m_input.substr(0, headEnd));
        m_input.erase(0, headEnd + 4);
        if (isToHead || message.status() / 100 == 1 || message.status() == 204 || message.status() == 304) {
            message.isWhole = true;
        } else if (lowerCase(message.header("Transfer-Encoding")) == "chunked") {
            message.isWhole = readChunks(message, end);
        } else if (message.hasHeader("Content-Length") || !message.startLine.starts_with("HTTP/")) {
            const auto size = std::strtoull(message.header("Content-Length").c_str(), nullptr, 10);
            while (m_input.size() < size && receive(end)) { }
            message.isWhole = m_input.size() >= size;
            message.body = m_input.substr(0, size);
            m_input.erase(0, size);
        } else {
            while (receive(end)) { }
            message.isWhole = m_hasEnded && !m_wasReset;
            message.body = std::exchange(m_input, {});
        }
        return message;
    }

    /** Waits for the peer's end of the connection. Returns false if it did not come in time. */
    bool awaitEnd(Milliseconds limit)
    {
        const auto end = Clock::now() + limit;
        while (receive(end)) { }
        return m_hasEnded;
    }
    bool hasEnded() const { return m_hasEnded; }
    bool wasReset() const { return m_wasReset; }

private:
    bool receive(Clock::time_point end)
    {
        if (m_descriptor < 0 || m_hasEnded)
            return false;
        const auto left = std::chrono::duration_cast<Milliseconds>(end - Clock::now()).count();
        pollfd waiting { m_descriptor, POLLIN, 0 };
        if (left < 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0)
            return false;
        char buf[16'384];
        const auto received = ::recv(m_descriptor, buf, sizeof buf, 0);
        if (received <= 0) {
            m_hasEnded = true;
            m_wasReset = received < 0;
            return false;
        }
        m_input.append(buf, static_cast<std::size_t>(received));
        return true;
    }

    static void parseHead(Message& message, std::string_view head)
    {
        message.startLine = std::string(head.substr(0, head.find("\r\n")));
        while (true) {
            const auto begin = head.find("\r\n");
            if (begin == std::string_view::npos)
                return;
            head.remove_prefix(begin + 2);
            const auto line = head.substr(0, head.find("\r\n"));
            const auto colon = line.find(':');
            if (colon == std::string_view::npos)
                continue;
            auto value = line.substr(colon + 1);
            value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
            message.headers.emplace_back(line.substr(0, colon), value);
        }
    }

    bool readChunks(Message& message, Clock::time_point end)
    {
        while (true) {
            std::size_t lineEnd = 0;
            while ((lineEnd = m_input.find("\r\n")) == std::string::npos) {
                if (!receive(end))
                    return false;
            }
            const auto size = std::strtoull(m_input.c_str(), nullptr, 16);
            m_input.erase(0, lineEnd + 2);
            while (m_input.size() < size + 2) {
                if (!receive(end))
                    return false;
            }
            message.body += m_input.substr(0, size);
            m_input.erase(0, size + 2);
            if (size == 0)
                return true;
        }
    }

    int m_descriptor;
    std::string m_input;
    bool m_hasEnded = false;
    bool m_wasReset = false;
};

inline sockaddr_in loopbackAddress(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline std::string addressText(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

/** Null if nobody accepts. */
inline std::unique_ptr<Connection> connectTo(std::uint16_t port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopbackAddress(port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_unique<Connection>(descriptor);
}

/** Ports that nobody listens on now, outside of the range from which the kernel takes those of outgoing connections. */
inline std::vector<std::uint16_t> freePorts(std::size_t count)
{
    static std::mt19937 random { std::random_device {}() };
    std::uniform_int_distribution<std::uint16_t> draw(15'000, 32'000);
    std::vector<std::uint16_t> ports;
    for (int attempts = 0; ports.size() < count; ++attempts) {
        if (attempts > 1'000)
            throw std::runtime_error("no free port");
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto port = draw(random);
        const auto address = loopbackAddress(port);
        const bool isFree = ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        ::close(descriptor);
        if (isFree && std::find(ports.begin(), ports.end(), port) == ports.end())
            ports.push_back(port);
    }
    return ports;
}

/** Accepts connections and hands each to the handler, in a thread of its own. */
class Listener {
public:
    using Handler = std::function<void(Connection&)>;

    explicit Listener(Handler handler, std::uint16_t port = 0)
        : m_handler(std::move(handler))
        , m_port(port)
    {
        open();
    }
    ~Listener() { close(); }
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    std::uint16_t port() const { return m_port; }

    /** Listens again, on the same port. */
    void open()
    {
        if (m_descriptor >= 0)
            return;
        m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto address = loopbackAddress(m_port);
        socklen_t size = sizeof address;
        if (::bind(m_descriptor, reinterpret_cast<const sockaddr*>(&address), size) != 0
            || ::listen(m_descriptor, 512) != 0
            || ::getsockname(m_descriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0)
            throw std::runtime_error("cannot listen");
        m_port = ntohs(address.sin_port);
        m_isOpen = true;
        m_acceptor = std::thread([this] { accept(); });
    }

    /** Closes the listening socket and all connections, as the end of a process does. */
    void close()
    {
        if (m_descriptor < 0)
            return;
        m_isOpen = false;
        ::shutdown(m_descriptor, SHUT_RDWR);
        m_acceptor.join();
        ::close(std::exchange(m_descriptor, -1));
        std::list<Worker> workers;
        {
            const std::lock_guard lock(m_mutex);
            workers.swap(m_workers);
        }
        for (auto& it : workers)
            it.connection->shutDown();
        for (auto& it : workers)
            it.thread.join();
    }

private:
    struct Worker {
        std::shared_ptr<Connection> connection;
        std::thread thread;
    };

    void accept()
    {
        while (m_isOpen) {
            const int descriptor = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) {
                if (!m_isOpen)
                    return;
                continue;
            }
            auto connection = std::make_shared<Connection>(descriptor);
            const std::lock_guard lock(m_mutex);
            m_workers.push_back({ connection, std::thread([this, connection] {
                                     m_handler(*connection);
                                     connection->shutDown();
                                 }) });
        }
    }

    Handler m_handler;
    std::uint16_t m_port;
    int m_descriptor = -1;
    std::atomic<bool> m_isOpen { false };
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::list<Worker> m_workers;
};

}
