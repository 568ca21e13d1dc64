// Servers that send without end, in a head, a body, trailers or responses to nothing: the memory of the process is
// bounded over all connections, whatever each of them may take, and other exchanges go on.

#include "http/ClientConnection.h"

#include "support/LoopbackAddress.h"

#include <boost/asio/write.hpp>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <malloc.h>

#include <chrono>
#include <list>
#include <map>
#include <string>
#include <vector>

using namespace peridot;
namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t limit = 4'000'000;
constexpr std::size_t connections = 24;

/** Sends the start once and then the rest, if there is one, again and again, on each connection until that closes. */
class EndlessServer {
public:
    EndlessServer(asio::io_context& context, std::string start, std::string rest)
        : m_acceptor(context, { processLoopback(), 0 })
        , m_start(std::move(start))
        , m_rest(std::move(rest))
    {
        accept();
    }

    ~EndlessServer() { *m_isAlive = false; }
    EndlessServer(const EndlessServer&) = delete;
    EndlessServer& operator=(const EndlessServer&) = delete;

    asio::ip::tcp::endpoint endpoint() const { return { processLoopback(), m_acceptor.local_endpoint().port() }; }
    std::size_t openConnections() const { return m_sockets.size(); }

private:
    using Sockets = std::list<asio::ip::tcp::socket>;

    void accept()
    {
        m_acceptor.async_accept(
            [this, isAlive = m_isAlive](const boost::system::error_code& ec, asio::ip::tcp::socket socket) {
                if (ec || !*isAlive)
                    return;
                m_sockets.push_back(std::move(socket));
                awaitRequest(std::prev(m_sockets.end()));
                accept();
            });
    }

    void awaitRequest(Sockets::iterator it)
    {
        it->async_wait(asio::ip::tcp::socket::wait_read, [this, isAlive = m_isAlive, it](const auto& ec) {
            if (!ec && *isAlive)
                write(it, m_start);
        });
    }

    void write(Sockets::iterator it, const std::string& text)
    {
        asio::async_write(*it, asio::buffer(text), [this, isAlive = m_isAlive, it](const auto& ec, std::size_t) {
            if (!*isAlive)
                return;
            if (ec)
                m_sockets.erase(it);
            else if (!m_rest.empty())
                write(it, m_rest);
        });
    }

    asio::ip::tcp::acceptor m_acceptor;
    const std::string m_start;
    const std::string m_rest;
    Sockets m_sockets;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

std::size_t heapBytes()
{
    const auto info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

HttpRequest request()
{
    HttpRequest request(http::verb::get, "/", 11);
    request.set(http::field::host, "a");
    return request;
}

}

class EndlessResponseTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EndlessResponseTest);
    CPPUNIT_TEST(bodiesWithoutEndAreBoundedTogether);
    CPPUNIT_TEST(otherWaysToSendWithoutEndAreBounded);
    CPPUNIT_TEST(smallResponseArrivesBesideThem);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Each response may take 8 MiB. Faulty servers that sent bodies without end on many connections exceeded the
     * memory of the process, and the requests of all callers ended with it. */
    void bodiesWithoutEndAreBoundedTogether()
    {
        play("HTTP/1.1 200 OK\r\n\r\n", std::string(50'000, 'x'));
        play("HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n", std::string(50'000, 'x'));
        play("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "c350\r\n" + std::string(50'000, 'x') + "\r\n");
    }

    void otherWaysToSendWithoutEndAreBounded()
    {
        play("HTTP/1.1 200 OK\r\n", "X-Field: " + std::string(1'000, 'x') + "\r\n");
        play("HTTP/1.1 200 OK\r\nX-Field: ", std::string(50'000, 'x'));
        play("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", std::string(50'000, 'x'));
        play("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            "X-Field: " + std::string(1'000, 'x') + "\r\n");
        play("HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n");
        play("x", std::string(50'000, 'x'));
        // Behind a whole response.
        play("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", std::string(50'000, 'x'));
    }

    void smallResponseArrivesBesideThem()
    {
        CPPUNIT_ASSERT(play("HTTP/1.1 200 OK\r\n\r\n", std::string(50'000, 'x')) > 0);
    }

private:
    /** Returns how many small exchanges ended while responses without end were read. All of them have to succeed. */
    static std::size_t play(const std::string& start, const std::string& rest)
    {
        asio::io_context context;
        EndlessServer endless(context, start, rest);
        EndlessServer sound(context, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwhole", "");
        const auto account = std::make_shared<ByteAccount>(limit);
        ClientConnectionOptions options;
        options.bytes = account;
        std::vector<std::shared_ptr<ClientConnection>> opened;
        std::size_t ended = 0;
        std::size_t smallEnded = 0;
        const auto connect = [&](const EndlessServer& server, const std::function<void(const ExchangeResult&)>& onEnd) {
            opened.push_back(std::make_shared<ClientConnection>(
                context, server.endpoint(), options, [](auto&) {}, [](auto&) {}));
            opened.back()->send(request(), nullptr, onEnd, std::chrono::milliseconds { 1'500 });
        };
        const auto heapBefore = heapBytes();
        std::size_t mostHeap = 0;
        for (std::size_t i = 0; i < connections; ++i)
            connect(endless, [&](const ExchangeResult&) { ++ended; });
        std::size_t smallStarted = 0;
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds { 5 };
        while (ended < connections && std::chrono::steady_clock::now() < end) {
            if (smallStarted == smallEnded) {
                ++smallStarted;
                connect(sound, [&](const ExchangeResult& result) {
                    CPPUNIT_ASSERT(result && result->body() == "whole");
                    ++smallEnded;
                });
            }
            context.restart();
            context.run_one_for(std::chrono::milliseconds { 5 });
            mostHeap = std::max(mostHeap, heapBytes());
        }
        CPPUNIT_ASSERT_EQUAL(connections, ended);
        // One string may have grown to twice its size, and holds both while it is copied.
        CPPUNIT_ASSERT_MESSAGE(start, mostHeap - heapBefore < 2 * limit + connections * 200'000);
        // The connections of the faulty server have ended; the sound ones close with the test.
        for (int i = 0; endless.openConnections() > 0 && i < 1'000; ++i)
            context.run_one_for(std::chrono::milliseconds { 5 });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, endless.openConnections());
        for (const auto& connection : opened)
            connection->close();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, account->held());
        context.poll();
        return smallEnded;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessResponseTest);
