// Sends requests that end backend servers, or lose their connections, through a RequestGateway over loopback sockets.

#include "GatewayHarness.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <list>
#include <map>
#include <memory>
#include <optional>

using namespace peridot;
namespace asio = boost::asio;
using boost::system::error_code;

namespace {

enum class Behaviour {
    Answer,
    Hold, // Answers nothing until the server ends.
    EndProcess, // Closes the listening socket and all connections, as the kernel does for a process that has crashed.
    EndProcessLate, // As EndProcess, but the listening socket is closed an instant after the connections.
    CloseConnection,
    ResetConnection,
    StopAccepting, // Closes the connection. The listening socket stays open, and its queue is full.
};

/** A backend server that reads one request at a time from each connection. */
class TestServer {
public:
    using Decision = std::function<Behaviour(const std::string& path)>;

    TestServer(asio::io_context& context, Decision decide)
        : m_acceptor(context, { processLoopback(), 0 })
        , m_end(context)
        , m_queued(context)
        , m_port(m_acceptor.local_endpoint().port())
        , m_decide(std::move(decide))
    {
        accept();
    }

    std::uint16_t port() const { return m_port; }
    /** Starts again at the same address. */
    void restart()
    {
        ++m_starts;
        m_acceptor.open(asio::ip::tcp::v4());
        m_acceptor.set_option(asio::socket_base::reuse_address(true));
        m_acceptor.bind({ processLoopback(), m_port });
        m_acceptor.listen();
        accept();
    }
    std::int64_t starts() const { return m_starts; }
    bool hasEnded() const { return !m_acceptor.is_open(); }
    bool isQueueFull() const { return m_queued.is_open(); }
    void end() { m_acceptor.close(); }
    void endWithConnections()
    {
        end();
        closeConnections();
    }

private:
    struct Connection {
        explicit Connection(asio::ip::tcp::socket it)
            : socket(std::move(it))
        {
        }

        asio::ip::tcp::socket socket;
        asio::streambuf input;
    };

    void accept()
    {
        m_acceptor.async_accept([this](const error_code& ec, asio::ip::tcp::socket socket) {
            if (ec)
                return;
            m_connections.push_back(std::make_shared<Connection>(std::move(socket)));
            read(m_connections.back());
            accept();
        });
    }

    void read(const std::shared_ptr<Connection>& connection)
    {
        asio::async_read_until(connection->socket, connection->input, "\r\n\r\n",
            [this, connection](const error_code& ec, std::size_t headBytes) {
                if (ec) {
                    m_connections.remove(connection);
                    return;
                }
                const std::string head(asio::buffers_begin(connection->input.data()),
                    asio::buffers_begin(connection->input.data()) + static_cast<std::ptrdiff_t>(headBytes));
                // The tests' bodies come in one segment with the head.
                connection->input.consume(connection->input.size());
                const auto start = head.find(' ') + 1;
                perform(connection, head.substr(start, head.find(' ', start) - start));
            });
    }

    void perform(const std::shared_ptr<Connection>& connection, const std::string& path)
    {
        switch (m_decide(path)) {
        case Behaviour::Answer: {
            const auto body = "from " + path;
            asio::write(connection->socket,
                asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body));
            read(connection);
            return;
        }
        case Behaviour::EndProcessLate:
            closeConnections();
            m_acceptor.cancel();
            m_end.expires_after(std::chrono::milliseconds { 5 });
            m_end.async_wait([this](const error_code&) { m_acceptor.close(); });
            return;
        case Behaviour::EndProcess:
            endWithConnections();
            return;
        case Behaviour::Hold:
            return;
        case Behaviour::StopAccepting:
            m_acceptor.cancel();
            m_acceptor.listen(0);
            // Linux admits one connection more than the backlog to the queue.
            m_queued.connect(m_acceptor.local_endpoint());
            connection->socket.close();
            m_connections.remove(connection);
            return;
        case Behaviour::ResetConnection:
            connection->socket.set_option(asio::socket_base::linger(true, 0));
            [[fallthrough]];
        case Behaviour::CloseConnection:
            connection->socket.close();
            m_connections.remove(connection);
            return;
        }
    }

    void closeConnections()
    {
        for (const auto& it : m_connections)
            it->socket.close();
        m_connections.clear();
    }

    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_end; // Of the process that ends late.
    std::int64_t m_starts = 1;
    asio::ip::tcp::socket m_queued; // Fills the queue of the acceptor.
    const std::uint16_t m_port;
    const Decision m_decide;
    std::list<std::shared_ptr<Connection>> m_connections;
};

/** Options with which a check lasts until the kernel has repeated its connection attempt, which it does after 1 s. */
ServerConnectionsOptions optionsWithLongChecks()
{
    ServerConnectionsOptions options;
    options.attemptTimeout = std::chrono::seconds { 4 };
    return options;
}

SteeringOptions optionsWithRetries()
{
    SteeringOptions options { RegionId("jadran"), {} };
    options.bounds.retrySlack = 100; // The retry budget must not hide that requests are repeated.
    return options;
}

/** A caller, a gateway and backend servers. Each request may run at two servers. */
class CrashHarness : public CallerAndGateway {
public:
    explicit CrashHarness(const ServerConnectionsOptions& connectionsOptions = {}, int count = 10)
        : CallerAndGateway(optionsWithRetries(), connectionsOptions)
    {
        for (int i = 0; i < count; ++i) {
            servers.push_back(std::make_unique<TestServer>(context, [this](const std::string& path) {
                ++arrivals[path];
                return decide(path);
            }));
        }
        setRoute(true, 2);
        listServers();
    }

    std::size_t endedServers() const
    {
        return static_cast<std::size_t>(
            std::count_if(servers.begin(), servers.end(), [](const auto& it) { return it->hasEnded(); }));
    }

    /** Lists the servers that have not ended, as the platform does after their health checks have failed. */
    void listServers()
    {
        std::vector<std::uint16_t> ports;
        for (const auto& server : servers) {
            if (!server->hasEnded())
                ports.push_back(server->port());
        }
        setServers(ports);
    }

    /** Lists all servers under ids that they keep, also those that have ended. */
    void listStarts()
    {
        std::vector<ListedServer> listed;
        for (const auto& server : servers) {
            ListedServer entry;
            entry.id = BackendServerId("i-" + std::to_string(listed.size()));
            entry.service = ServiceId("salonik");
            entry.address = onProcessLoopback(server->port());
            entry.region = RegionId("jadran");
            entry.slots = 4;
            entry.incarnation = server->starts();
            listed.push_back(std::move(entry));
        }
        steering.setServers(listed, steadyNow());
    }

    void restartServers()
    {
        for (const auto& server : servers) {
            if (server->hasEnded())
                server->restart();
        }
        listStarts();
    }

    /** Sends a request and returns all that the caller has received as the answer. */
    std::string exchange(const std::string& path, const std::string& body = {}, const std::string& method = "GET")
    {
        received.clear();
        send(path, body, method);
        CPPUNIT_ASSERT(runUntil([&] {
            const auto end = received.find("\r\n\r\n");
            return end != std::string::npos && received.size() > end + 4;
        }));
        listServers();
        return received;
    }

    std::function<Behaviour(const std::string& path)> decide = [](const std::string&) { return Behaviour::Answer; };
    std::map<std::string, int> arrivals; // Requests that servers have read, by their path.
    std::vector<std::unique_ptr<TestServer>> servers;
};

bool hasStatus(const std::string& answer, int status)
{
    return answer.starts_with("HTTP/1.1 " + std::to_string(status) + " ");
}

}

class CrashIsolationTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CrashIsolationTest);
    CPPUNIT_TEST(requestThatEndsServersIsIsolated);
    CPPUNIT_TEST(otherRequestsOfTheCallerAreNotIsolated);
    CPPUNIT_TEST(requestsWhoseRepeatsSucceedAreNotIsolated);
    CPPUNIT_TEST(lateResultOfCheckIsDroppedAfterResponse);
    CPPUNIT_TEST(lostConnectionsDoNotIsolateRequests);
    CPPUNIT_TEST(requestThatEndsAllServersIsIsolated);
    CPPUNIT_TEST(requestsOfServersThatAreBackWithTheirStartAreNotIsolated);
    CPPUNIT_TEST(popularRequestIsNotIsolatedWhenAllServersEnd);
    CPPUNIT_TEST_SUITE_END();

public:
    /** A caller repeats a request that ends each server that begins to run it. It must not end one server after the
     *  other: after it has ended three servers, at most three repeats may reach servers (rule BUDGET). */
    void requestThatEndsServersIsIsolated()
    {
        CrashHarness harness;
        int arrivalsAtThirdEnd = 0;
        harness.decide = [&](const std::string& path) {
            if (path != "/crash")
                return Behaviour::Answer;
            if (harness.endedServers() == 2)
                arrivalsAtThirdEnd = harness.arrivals["/crash"];
            return Behaviour::EndProcess;
        };
        std::string answer;
        for (int i = 0; i < 8; ++i) {
            answer = harness.exchange("/crash");
            CPPUNIT_ASSERT_MESSAGE(answer, hasStatus(answer, 503));
        }
        CPPUNIT_ASSERT(harness.endedServers() >= 3);
        const auto repeats = harness.arrivals["/crash"] - arrivalsAtThirdEnd;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(repeats) + " repeats reached servers after three had ended, "
                + std::to_string(harness.endedServers()) + " of 10 servers ended",
            repeats <= 3);
        // Not because no server is left.
        CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with("ends_servers"));
        CPPUNIT_ASSERT(hasStatus(harness.exchange("/other"), 200));
    }

    /** Requests with another method, query or body than the isolated one must still reach servers. */
    void otherRequestsOfTheCallerAreNotIsolated()
    {
        CrashHarness harness;
        bool endsServers = true;
        harness.decide = [&](const std::string&) { return endsServers ? Behaviour::EndProcess : Behaviour::Answer; };
        for (int i = 0; i < 3; ++i)
            harness.exchange("/crash?n=1", "first", "PUT");
        endsServers = false;
        const auto answer = harness.exchange("/crash?n=1", "first", "PUT");
        CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with("ends_servers"));
        CPPUNIT_ASSERT(hasStatus(harness.exchange("/crash?n=1", "second", "PUT"), 200));
        CPPUNIT_ASSERT(hasStatus(harness.exchange("/crash?n=2", "first", "PUT"), 200));
        CPPUNIT_ASSERT(hasStatus(harness.exchange("/crash?n=1", "first", "POST"), 200));
    }

    /** An ordinary request may be at servers that end for other reasons, here five times. Its repeats succeed, so it
     *  must not be isolated. */
    void requestsWhoseRepeatsSucceedAreNotIsolated()
    {
        CrashHarness harness;
        bool endsNext = false;
        harness.decide = [&](const std::string&) {
            return std::exchange(endsNext, false) ? Behaviour::EndProcess : Behaviour::Answer;
        };
        for (int i = 0; i < 5; ++i) {
            endsNext = true;
            const auto answer = harness.exchange("/ordinary");
            CPPUNIT_ASSERT_MESSAGE(answer, hasStatus(answer, 200));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 5 }, harness.endedServers());
        CPPUNIT_ASSERT_EQUAL(10, harness.arrivals["/ordinary"]);
    }

    /** The response of a repeat may come before it is known that the first server has ended, for example if that one is
     *  in another region. A report recorded after the response would count against the request until its next run. */
    void lateResultOfCheckIsDroppedAfterResponse()
    {
        CrashHarness harness(optionsWithLongChecks());
        TestServer* first = nullptr;
        harness.decide = [&](const std::string&) {
            return harness.arrivals["/ordinary"] == 1 ? Behaviour::StopAccepting : Behaviour::Answer;
        };
        const auto answer = harness.exchange("/ordinary");
        CPPUNIT_ASSERT_MESSAGE(answer, hasStatus(answer, 200));
        for (const auto& server : harness.servers) {
            if (server->isQueueFull())
                first = server.get();
        }
        CPPUNIT_ASSERT(first);
        first->end();
        // Shares the check that runs since the connection broke.
        std::optional<ConnectOutcome> result;
        harness.connections.tryConnect(
            onProcessLoopback(first->port()), Duration { 0 }, [&](ConnectOutcome outcome) { result = outcome; });
        CPPUNIT_ASSERT(harness.runUntil([&] { return result.has_value(); }, std::chrono::milliseconds { 5'000 }));
        CPPUNIT_ASSERT(result == ConnectOutcome::Refused);
        CPPUNIT_ASSERT(harness.steering.crashes().takeChanges(steadyNow()).added.empty());
    }

    /** A connection that breaks is no sign that the server has ended, as long as the server goes on listening. Requests
     *  must not be isolated then, however often their connections break. */
    void lostConnectionsDoNotIsolateRequests()
    {
        CrashHarness harness;
        bool breaks = true;
        harness.decide = [&](const std::string&) {
            if (!breaks)
                return Behaviour::Answer;
            return harness.arrivals["/lost"] % 2 == 0 ? Behaviour::CloseConnection : Behaviour::ResetConnection;
        };
        for (int i = 0; i < 12; ++i) {
            const auto arrivals = harness.arrivals["/lost"];
            const auto answer = harness.exchange("/lost");
            CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with("server_failed"));
            CPPUNIT_ASSERT(harness.arrivals["/lost"] > arrivals);
        }
        breaks = false;
        const auto answer = harness.exchange("/lost");
        CPPUNIT_ASSERT_MESSAGE(answer, hasStatus(answer, 200));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, harness.endedServers());
    }

    /** With all servers down, refused connections prove nothing, and the reports were dropped. Servers that start again
     *  under their ids counted once. So a request that ends all servers of a small deployment was never isolated
     * (BUDGET, review/8). */
    void requestThatEndsAllServersIsIsolated()
    {
        for (const auto behaviour : { Behaviour::EndProcess, Behaviour::EndProcessLate }) {
            for (const int count : { 1, 2, 3, 5 }) {
                CrashHarness harness({}, count);
                harness.listStarts();
                harness.decide
                    = [&](const std::string& path) { return path == "/crash" ? behaviour : Behaviour::Answer; };
                int repeats = 0;
                std::string answer;
                for (int i = 0; i < 10 && !answer.ends_with("ends_servers"); ++i) {
                    const auto arrivals = harness.arrivals["/crash"];
                    if (arrivals >= 3)
                        ++repeats;
                    harness.send("/crash");
                    CPPUNIT_ASSERT(harness.runUntil([&] { return !harness.received.empty(); }));
                    answer = std::exchange(harness.received, {});
                    harness.runUntil([] { return false; }, std::chrono::milliseconds { 60 });
                    harness.restartServers();
                    harness.runUntil(
                        [&] { return !harness.steering.isDetached(); }, std::chrono::milliseconds { 1'000 });
                }
                const auto description = std::to_string(count) + " servers, "
                    + std::to_string(harness.arrivals["/crash"]) + " arrivals, " + answer;
                CPPUNIT_ASSERT_MESSAGE(description, answer.ends_with("ends_servers"));
                CPPUNIT_ASSERT_MESSAGE(description, repeats <= 3);
                harness.send("/other");
                CPPUNIT_ASSERT(harness.runUntil([&] { return !harness.received.empty(); }));
                CPPUNIT_ASSERT_MESSAGE(harness.received, hasStatus(harness.received, 200));
            }
        }
    }

    /** An instance that is cut off finds all addresses refused while its requests are open. When its links are back,
     * the servers have not started again. */
    void requestsOfServersThatAreBackWithTheirStartAreNotIsolated()
    {
        for (const int count : { 1, 2, 3, 5 }) {
            CrashHarness harness({}, count);
            harness.listStarts();
            bool isCut = true;
            harness.decide = [&](const std::string&) {
                if (!isCut)
                    return Behaviour::Answer;
                for (const auto& server : harness.servers)
                    server->end();
                return Behaviour::EndProcess;
            };
            for (int i = 0; i < 4; ++i) {
                harness.received.clear();
                harness.send("/innocent");
                CPPUNIT_ASSERT(harness.runUntil([&] { return !harness.received.empty(); }));
                harness.runUntil([] { return false; }, std::chrono::milliseconds { 60 });
                for (const auto& server : harness.servers) {
                    if (server->hasEnded())
                        server->restart(); // The list keeps the start that it had.
                }
                harness.runUntil([&] { return !harness.steering.isDetached(); }, std::chrono::milliseconds { 1'000 });
            }
            CPPUNIT_ASSERT(harness.arrivals["/innocent"] >= 3);
            harness.received.clear();
            isCut = false;
            harness.send("/innocent");
            CPPUNIT_ASSERT(harness.runUntil([&] { return !harness.received.empty(); }));
            CPPUNIT_ASSERT_MESSAGE(std::to_string(count) + harness.received, hasStatus(harness.received, 200));
        }
    }

    /** All servers lose power, and start again, while copies of a request are open at each. */
    void popularRequestIsNotIsolatedWhenAllServersEnd()
    {
        constexpr int count = 5;
        constexpr int copies = 15;
        CrashHarness harness({}, count);
        harness.listStarts();
        harness.decide = [](const std::string&) { return Behaviour::Hold; };
        for (int i = 0; i < copies; ++i)
            harness.send("/popular");
        CPPUNIT_ASSERT(harness.runUntil([&] { return harness.arrivals["/popular"] == copies; }));
        for (const auto& server : harness.servers)
            server->endWithConnections();
        CPPUNIT_ASSERT(harness.runUntil([&] { return harness.gateway.openRequests() == 0; }));
        harness.decide = [](const std::string&) { return Behaviour::Answer; };
        harness.runUntil([] { return false; }, std::chrono::milliseconds { 100 });
        harness.restartServers();
        CPPUNIT_ASSERT(harness.runUntil([&] { return !harness.steering.isDetached(); }));
        CPPUNIT_ASSERT(!harness.steering.crashes().takeChanges(steadyNow()).added.empty());
        harness.received.clear();
        harness.send("/popular");
        CPPUNIT_ASSERT(harness.runUntil([&] { return !harness.received.empty(); }));
        CPPUNIT_ASSERT_MESSAGE(harness.received, hasStatus(harness.received, 200));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashIsolationTest);
