// Connections to servers on loopback sockets: which idle ones are reused, and checks whether the process behind an
// address has ended.

#include "entry/ServerConnections.h"

#include "support/ManyReadableSockets.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <linux/filter.h>
#include <sys/socket.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace peridot;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

const tcp::endpoint anyPort { asio::ip::make_address("127.0.0.1"), 0 };

std::string addressOf(const tcp::acceptor& acceptor)
{
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

/** Runs tryConnect() and returns its result; nothing if there is none within two seconds. */
std::optional<ConnectOutcome> resultOf(
    asio::io_context& context, ServerConnections& connections, const std::string& address, Duration settleTime = 0ms)
{
    std::optional<ConnectOutcome> result;
    connections.tryConnect(address, settleTime, [&](ConnectOutcome outcome) { result = outcome; });
    const auto end = std::chrono::steady_clock::now() + 2s;
    while (!result && std::chrono::steady_clock::now() < end) {
        context.restart();
        context.run_for(5ms);
    }
    return result;
}

/** A server that the test plays by itself, with idle connections to it. */
class ServerWithIdleConnections {
public:
    explicit ServerWithIdleConnections(std::size_t count)
        : connections(context, {})
        , acceptor(context, anyPort)
    {
        for (std::size_t i = 0; i < count; ++i)
            idle.push_back(acquire());
        for (const auto& connection : idle) {
            std::optional<ExchangeResult> result;
            connection->send(HttpRequest(boost::beast::http::verb::get, "/", 11), nullptr,
                [&](ExchangeResult it) { result = std::move(it); });
            run();
            peers.push_back(acceptor.accept());
            run();
            std::vector<char> request(peers.back().available()); // A socket that closes with unread bytes resets.
            asio::read(peers.back(), asio::buffer(request));
            asio::write(peers.back(), asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
            run();
            CPPUNIT_ASSERT(result && *result);
        }
    }

    std::shared_ptr<ClientConnection> acquire()
    {
        return connections.acquire(BackendServerId("s"), addressOf(acceptor), false, "r");
    }

    void run()
    {
        context.restart();
        context.run_for(10ms);
    }

    asio::io_context context;
    ServerConnections connections;
    tcp::acceptor acceptor;
    std::vector<std::shared_ptr<ClientConnection>> idle; // In the order in which they became idle.
    std::vector<tcp::socket> peers; // The server's ends of them.
};

/** Accepts connections a second late: the kernel drops the first attempt and takes the repeated one. */
class LateListener {
public:
    explicit LateListener(asio::io_context& context)
        : acceptor(context, anyPort)
    {
        sock_filter drop[] = { BPF_STMT(BPF_RET | BPF_K, 0) };
        const sock_fprog filter { 1, drop };
        CPPUNIT_ASSERT_EQUAL(
            0, ::setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter));
    }

    void accept()
    {
        const int unused = 0;
        CPPUNIT_ASSERT_EQUAL(
            0, ::setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof unused));
    }

    tcp::acceptor acceptor;
};

}

class ServerConnectionsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ServerConnectionsTest);
    CPPUNIT_TEST(connectionThatTheServerHasClosedIsNotReused);
    CPPUNIT_TEST(connectionWithUnreadBytesIsNotReused);
    CPPUNIT_TEST(refusedConnectionMeansEnded);
    CPPUNIT_TEST(serverThatListensHasNotEnded);
    CPPUNIT_TEST(connectionThatBreaksAtOnceHasFailed);
    CPPUNIT_TEST(serverThatDoesNotRespondHasNotEnded);
    CPPUNIT_TEST(connectionThatOpenedInTimeIsFoundBehindManyEvents);
    CPPUNIT_TEST(connectionThatBreaksBehindManyEventsHasFailed);
    CPPUNIT_TEST(checksOfOneAddressShareOneConnection);
    CPPUNIT_TEST(noResultAfterDestruction);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Load pattern: a busy process sends a request before it has handled the close of the connection. The server never
     *  read the request, but it counted as one that may have run. */
    void connectionThatTheServerHasClosedIsNotReused()
    {
        for (const bool isReset : { false, true }) {
            ServerWithIdleConnections server(3);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, server.connections.count());
            for (const auto i : { 1, 2 }) {
                if (isReset)
                    server.peers[i].set_option(asio::socket_base::linger(true, 0));
                server.peers[i].close();
            }
            CPPUNIT_ASSERT(server.acquire() == server.idle[0]);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, server.connections.count());
            const auto opened = server.acquire();
            CPPUNIT_ASSERT(opened && !opened->isOpen());
        }
    }

    /** Bytes that no request asked for would be taken for the response to the next one. */
    void connectionWithUnreadBytesIsNotReused()
    {
        ServerWithIdleConnections server(2);
        asio::write(server.peers[1], asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
        CPPUNIT_ASSERT(server.acquire() == server.idle[0]);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, server.connections.count());
    }

    void refusedConnectionMeansEnded()
    {
        asio::io_context context;
        ServerConnections connections(context, {});
        tcp::acceptor acceptor(context, anyPort);
        const auto address = addressOf(acceptor);
        acceptor.close();
        CPPUNIT_ASSERT(resultOf(context, connections, address) == ConnectOutcome::Refused);
        // The check has ended, so a new one begins.
        CPPUNIT_ASSERT(resultOf(context, connections, address) == ConnectOutcome::Refused);
        CPPUNIT_ASSERT(resultOf(context, connections, "no address") == ConnectOutcome::Failed);
    }

    /** The connection of the check must not stay open, because it would take up one of the server's. */
    void serverThatListensHasNotEnded()
    {
        asio::io_context context;
        ServerConnections connections(context, {});
        tcp::acceptor acceptor(context, anyPort);
        CPPUNIT_ASSERT(resultOf(context, connections, addressOf(acceptor)) == ConnectOutcome::Connected);
        CPPUNIT_ASSERT(resultOf(context, connections, addressOf(acceptor), 30ms) == ConnectOutcome::Connected);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, connections.count());
        auto accepted = acceptor.accept();
        char byte = 0;
        boost::system::error_code ec;
        accepted.read_some(asio::buffer(&byte, 1), ec);
        CPPUNIT_ASSERT(ec == asio::error::eof);
    }

    /** Something on the way, such as a proxy, may accept connections for a server that it does not reach. */
    void connectionThatBreaksAtOnceHasFailed()
    {
        asio::io_context context;
        ServerConnections connections(context, {});
        tcp::acceptor acceptor(context, anyPort);
        acceptor.async_accept([](const boost::system::error_code&, tcp::socket socket) {
            socket.set_option(asio::socket_base::linger(true, 0));
        });
        CPPUNIT_ASSERT(resultOf(context, connections, addressOf(acceptor), 30ms) == ConnectOutcome::Broken);
    }

    /** A paused process answers nothing once its queue of connections is full. It must not count as ended. */
    void serverThatDoesNotRespondHasNotEnded()
    {
        asio::io_context context;
        ServerConnections connections(context, {});
        tcp::acceptor acceptor(context);
        acceptor.open(tcp::v4());
        acceptor.bind(anyPort);
        acceptor.listen(0);
        // Linux admits one connection more than the backlog to the queue.
        tcp::socket queued(context);
        queued.connect(acceptor.local_endpoint());
        const auto start = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT(resultOf(context, connections, addressOf(acceptor)) == ConnectOutcome::Failed);
        const auto passed = std::chrono::steady_clock::now() - start;
        CPPUNIT_ASSERT(passed >= 290ms);
    }

    /** Load pattern: after a pause the process has many connections with input, and its timers run before the event of
     * the check's connection. Two rounds of such checks detached the instance from servers that had accepted in time.
     */
    void connectionThatOpenedInTimeIsFoundBehindManyEvents()
    {
        ServerConnectionsOptions options;
        options.attemptTimeout = 1'500ms;
        options.connection.connectTimeout = 1'500ms;
        asio::io_context context;
        ServerConnections connections(context, options);
        LateListener listener(context);
        std::optional<ConnectOutcome> checked;
        connections.tryConnect(addressOf(listener.acceptor), 0ms, [&](ConnectOutcome it) { checked = it; });
        std::optional<ExchangeResult> result;
        connections.acquire(BackendServerId("s"), addressOf(listener.acceptor), false, "r")
            ->send(HttpRequest(boost::beast::http::verb::get, "/", 11), nullptr,
                [&](ExchangeResult it) { result = std::move(it); });
        context.run_for(10ms);
        listener.accept();
        const ManyReadableSockets others(context);
        std::this_thread::sleep_for(1'700ms);
        context.restart();
        context.run_for(100ms);
        CPPUNIT_ASSERT(checked == ConnectOutcome::Connected);
        CPPUNIT_ASSERT(result && !*result && result->error().wasOpenedLate);
    }

    /** Load pattern: as above, but something on the way closes the connection within the settle time. A check that
     *  missed that would take the instance for attached. */
    void connectionThatBreaksBehindManyEventsHasFailed()
    {
        asio::io_context context;
        ServerConnections connections(context, {});
        tcp::acceptor acceptor(context, anyPort);
        std::optional<ConnectOutcome> checked;
        connections.tryConnect(addressOf(acceptor), 200ms, [&](ConnectOutcome it) { checked = it; });
        context.run_for(10ms);
        const ManyReadableSockets others(context);
        acceptor.accept().close();
        std::this_thread::sleep_for(300ms);
        context.restart();
        context.run_for(100ms);
        CPPUNIT_ASSERT(checked == ConnectOutcome::Broken);
    }

    /** Many requests may be at a server that ends. They must not open a connection each. */
    void checksOfOneAddressShareOneConnection()
    {
        asio::io_context context;
        ServerConnections connections(context, {});
        tcp::acceptor acceptor(context, anyPort);
        int results = 0;
        for (int i = 0; i < 10; ++i)
            connections.tryConnect(addressOf(acceptor), 0ms, [&](ConnectOutcome) { ++results; });
        CPPUNIT_ASSERT(resultOf(context, connections, addressOf(acceptor)) == ConnectOutcome::Connected);
        CPPUNIT_ASSERT_EQUAL(10, results);
        acceptor.non_blocking(true);
        boost::system::error_code ec;
        const auto first = acceptor.accept(ec);
        CPPUNIT_ASSERT(!ec);
        const auto second = acceptor.accept(ec);
        CPPUNIT_ASSERT(ec == asio::error::would_block);
    }

    void noResultAfterDestruction()
    {
        asio::io_context context;
        tcp::acceptor acceptor(context, anyPort);
        const auto address = addressOf(acceptor);
        acceptor.close();
        int results = 0;
        {
            ServerConnections connections(context, {});
            connections.tryConnect(address, 0ms, [&](ConnectOutcome) { ++results; });
            connections.tryConnect("no address", 0ms, [&](ConnectOutcome) { ++results; });
        }
        context.run_for(400ms);
        CPPUNIT_ASSERT_EQUAL(0, results);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerConnectionsTest);
