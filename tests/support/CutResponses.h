// Responses that a server breaks off, and servers that send raw bytes, for the tests of each way to the caller.

#pragma once

#include "support/LoopbackAddress.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace peridot {

enum class BreakOff {
    Close, // Orderly, after all bytes before it.
    Reset,
};

/** A response that is not whole. */
struct CutResponse {
    std::string bytes;
    BreakOff end = BreakOff::Close;

    std::string description() const { return (end == BreakOff::Close ? "closed after: " : "reset after: ") + bytes; }
};

/** Responses with status 200 and @p headers that break off at each byte, with their body framed in each way. An orderly
 *  close within a body that ends with its connection is left out, because such a response is whole. */
inline std::vector<CutResponse> cutResponses(const std::string& headers, const std::string& body = "one, two")
{
    const auto fields = " 200 OK\r\n" + headers;
    const auto head = "HTTP/1.1" + fields;
    const auto middle = body.size() / 2;
    const auto chunk = [](const std::string& data, const std::string& extension) {
        constexpr auto digits = "0123456789abcdef";
        return std::string { digits[data.size() / 16], digits[data.size() % 16] } + extension + "\r\n" + data + "\r\n";
    };
    const auto withLength = head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    const auto withChunks = head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body.substr(0, middle), ";a=b")
        + chunk(body.substr(middle), "") + "0\r\nX-Trailer: t\r\n\r\n";
    std::vector<CutResponse> cuts;
    const auto add = [&](const std::string& whole, BreakOff end, std::size_t size) {
        for (std::size_t n = 0; n < size; ++n)
            cuts.push_back({ whole.substr(0, n), end });
    };
    for (const auto end : { BreakOff::Close, BreakOff::Reset }) {
        add(withLength, end, withLength.size());
        add(withChunks, end, withChunks.size());
    }
    for (const std::string version : { "HTTP/1.0", "HTTP/1.1" }) {
        const auto untilClose = version + fields + "\r\n" + body;
        add(untilClose, BreakOff::Close, untilClose.size() - body.size());
        add(untilClose, BreakOff::Reset, untilClose.size() + 1);
    }
    return cuts;
}

/** Ends the connection. Unread input makes the end a reset. */
inline void breakOff(boost::asio::ip::tcp::socket& socket, BreakOff end)
{
    boost::system::error_code ec; // The other side may have closed the connection.
    if (end == BreakOff::Reset)
        socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
}

/** Reads whole requests and answers each with raw bytes. */
class RawServer {
public:
    struct Answer {
        std::string bytes;
        std::optional<BreakOff> end {}; // Otherwise the connection is kept.
        std::optional<std::size_t> cut {}; // The bytes behind it follow later, so that the reader needs two reads.
    };
    /** Returns the answer to a request, of which it gets the head and the body. */
    using Handler = std::function<Answer(const std::string& request)>;

    RawServer(boost::asio::io_context& context, Handler handler)
        : m_acceptor(context, { processLoopback(), 0 })
        , m_handler(std::move(handler))
    {
        accept();
    }

    ~RawServer() { *m_isAlive = false; }
    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    std::string address() const { return onProcessLoopback(port()); }

private:
    struct Connection {
        explicit Connection(boost::asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
            , pause(socket.get_executor())
        {
        }

        boost::asio::ip::tcp::socket socket;
        std::string input;
        boost::asio::steady_timer pause;
    };

    void accept()
    {
        m_acceptor.async_accept(
            [this, isAlive = m_isAlive](const boost::system::error_code& ec, boost::asio::ip::tcp::socket socket) {
                if (ec || !*isAlive)
                    return;
                readHead(std::make_shared<Connection>(std::move(socket)));
                accept();
            });
    }

    void readHead(const std::shared_ptr<Connection>& connection)
    {
        boost::asio::async_read_until(connection->socket, boost::asio::dynamic_buffer(connection->input), "\r\n\r\n",
            [this, isAlive = m_isAlive, connection](const boost::system::error_code& ec, std::size_t headSize) {
                if (!ec && *isAlive)
                    readBody(connection, headSize);
            });
    }

    void readBody(const std::shared_ptr<Connection>& connection, std::size_t headSize)
    {
        const std::string name = "Content-Length:";
        const auto at = connection->input.find(name);
        const auto size = headSize + (at < headSize ? std::stoul(connection->input.substr(at + name.size())) : 0);
        const auto missing = size - std::min(size, connection->input.size());
        boost::asio::async_read(connection->socket, boost::asio::dynamic_buffer(connection->input),
            boost::asio::transfer_exactly(missing),
            [this, isAlive = m_isAlive, connection, size](const boost::system::error_code& ec, std::size_t) {
                if (!ec && *isAlive)
                    answer(connection, size);
            });
    }

    void answer(const std::shared_ptr<Connection>& connection, std::size_t size)
    {
        auto answer = m_handler(connection->input.substr(0, size));
        connection->input.erase(0, size);
        if (!answer.cut) {
            finishAnswer(connection, answer);
            return;
        }
        boost::system::error_code ec; // The client may have closed the connection.
        boost::asio::write(connection->socket, boost::asio::buffer(answer.bytes, *answer.cut), ec);
        answer.bytes.erase(0, *answer.cut);
        connection->pause.expires_after(pauseInAnswer);
        connection->pause.async_wait([this, isAlive = m_isAlive, connection, answer = std::move(answer)](
                                         const boost::system::error_code& timerEc) {
            if (!timerEc && *isAlive)
                finishAnswer(connection, answer);
        });
    }

    void finishAnswer(const std::shared_ptr<Connection>& connection, const Answer& answer)
    {
        boost::system::error_code ec; // The client may have closed the connection.
        boost::asio::write(connection->socket, boost::asio::buffer(answer.bytes), ec);
        if (answer.end)
            breakOff(connection->socket, *answer.end);
        else
            readHead(connection);
    }

    // The reader runs in the same thread, so that it has read the first part by then.
    static constexpr std::chrono::milliseconds pauseInAnswer { 2 };

    boost::asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

/** A RawServer in a thread of its own. */
class ThreadedServer {
public:
    /** @p answer gets the number of the request, from 1 on. */
    explicit ThreadedServer(const std::function<RawServer::Answer(int)>& answer)
        : m_server(m_context, [this, answer](const std::string&) { return answer(++m_requests); })
        , m_address(m_server.address())
        , m_thread([this] { m_context.run(); })
    {
    }

    ~ThreadedServer()
    {
        m_context.stop();
        m_thread.join();
    }

    const std::string& address() const noexcept { return m_address; }
    int requests() const noexcept { return m_requests; }

private:
    std::atomic<int> m_requests = 0;
    boost::asio::io_context m_context;
    RawServer m_server;
    const std::string m_address;
    std::thread m_thread;
};

}
