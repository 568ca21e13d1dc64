// Sends requests through a RequestGateway, from a caller's socket to a backend server, over loopback sockets.

#include "GatewayHarness.h"

#include <boost/asio/read_until.hpp>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <thread>

using namespace peridot;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace {

/** A caller, a gateway and one backend server with one route. The context runs in runUntil() only. */
class GatewayHarness : public CallerAndGateway {
public:
    GatewayHarness()
        : backend(context, {}, 100, [this](const auto& exchange) { onBackendRequest(exchange); })
    {
        CPPUNIT_ASSERT(backend.listen(onProcessLoopback()));
        setRoute(false, 1);
        setServers({ backend.port() });
    }

    std::function<void(const std::shared_ptr<HttpExchange>&)> onBackendRequest = [](const auto& exchange) {
        HttpResponse response(http::status::ok, 11);
        response.body() = "from " + std::string(exchange->request.target());
        response.prepare_payload();
        exchange->respond(std::move(response));
    };
    HttpServer backend;
};

/** A backend server that refuses requests while it is full. A faulty one writes the last refusal of a connection again
 *  when the next request runs there, before the response. */
class RefusingServer {
public:
    explicit RefusingServer(boost::asio::io_context& context)
        : m_acceptor(context, { processLoopback(), 0 })
    {
        accept();
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    bool isFull = true;
    bool repeatsRefusals = true;
    int connections = 0;
    int runs = 0;

private:
    struct Connection {
        boost::asio::ip::tcp::socket socket;
        std::string input {};
        std::string refusal {};
    };

    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code& ec, boost::asio::ip::tcp::socket socket) {
            if (ec)
                return;
            ++connections;
            read(std::make_shared<Connection>(Connection { std::move(socket) }));
            accept();
        });
    }

    void read(const std::shared_ptr<Connection>& connection)
    {
        boost::asio::async_read_until(connection->socket, boost::asio::dynamic_buffer(connection->input), "\r\n\r\n",
            [this, connection](const boost::system::error_code& ec, std::size_t length) {
                if (ec)
                    return;
                connection->input.erase(0, length);
                answer(*connection);
                read(connection);
            });
    }

    void answer(Connection& connection)
    {
        std::string bytes;
        if (isFull) {
            bytes = connection.refusal = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
        } else {
            ++runs;
            bytes = (repeatsRefusals ? connection.refusal : "") + "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nran";
        }
        boost::asio::write(connection.socket, boost::asio::buffer(bytes));
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
};

}

class GatewayTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GatewayTest);
    CPPUNIT_TEST(pipelinedRequestsAreAnsweredInOrder);
    CPPUNIT_TEST(serverConnectionsAreReused);
    CPPUNIT_TEST(callerDisconnectClosesServerConnection);
    CPPUNIT_TEST(requestTimesOutIfServerDoesNotAnswer);
    CPPUNIT_TEST(shedRequestIsRejectedAsNotExecuted);
    CPPUNIT_TEST(leavingInstanceRejectsNewRequests);
    CPPUNIT_TEST(newRequestsAreRejectedFromAGivenTime);
    CPPUNIT_TEST(openRequestsAreAnsweredAtTheEnd);
    CPPUNIT_TEST(repeatedRefusalDoesNotCountForARequestSentAgain);
    CPPUNIT_TEST(refusalKeepsTheConnectionForOtherRequests);
    CPPUNIT_TEST(requestIsNotSentOnAConnectionThatTheServerHasClosed);
    CPPUNIT_TEST(responseThatArrivesWhileAnotherHandlerRunsIsDelivered);
    CPPUNIT_TEST(longResponseThatWaitsInTheSocketIsDelivered);
    CPPUNIT_TEST(serverThatKeepsSendingDoesNotPutOffTheTimeout);
    CPPUNIT_TEST(connectionThatIsFoundOpenLateIsNotTheServersFault);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Pipelined requests run at the same time on several server connections. Their responses must reach the caller in
     *  the order of the requests. */
    void pipelinedRequestsAreAnsweredInOrder()
    {
        GatewayHarness harness;
        for (int i = 0; i < 6; ++i)
            harness.send("/" + std::to_string(i));
        CPPUNIT_ASSERT(harness.receives("from /5"));
        for (int i = 0; i < 5; ++i)
            CPPUNIT_ASSERT(harness.received.find("from /" + std::to_string(i))
                < harness.received.find("from /" + std::to_string(i + 1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, harness.gateway.openRequests());
    }

    /** Sequential requests must share one connection to the server instead of opening one each. */
    void serverConnectionsAreReused()
    {
        GatewayHarness harness;
        for (int i = 0; i < 5; ++i) {
            harness.send("/" + std::to_string(i));
            CPPUNIT_ASSERT(harness.receives("from /" + std::to_string(i)));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, harness.connections.count());
    }

    /** A server must not continue a request whose caller has disconnected. The gateway cancels the request by closing
     *  the connection to the server. */
    void callerDisconnectClosesServerConnection()
    {
        GatewayHarness harness;
        int disconnects = 0;
        std::vector<std::shared_ptr<HttpExchange>> pending;
        harness.onBackendRequest = [&](const auto& exchange) {
            exchange->onCallerGone = [&] { ++disconnects; };
            pending.push_back(exchange);
        };
        harness.send("/1");
        CPPUNIT_ASSERT(harness.runUntil([&] { return pending.size() == 1; }));
        harness.callerSocket.close();
        CPPUNIT_ASSERT(harness.runUntil([&] { return disconnects == 1; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, harness.gateway.openRequests());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, harness.connections.count());
    }

    /** A server that accepts a request and does not answer must not hold it beyond the caller's deadline of 800 ms, and
     *  the connection must be closed, because a late response could arrive on it. */
    void requestTimesOutIfServerDoesNotAnswer()
    {
        GatewayHarness harness;
        std::vector<std::shared_ptr<HttpExchange>> pending;
        harness.onBackendRequest = [&](const auto& exchange) { pending.push_back(exchange); };
        const auto start = std::chrono::steady_clock::now();
        harness.send("/1");
        CPPUNIT_ASSERT(harness.receives("timed_out"));
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start >= 790ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, harness.connections.count());
    }

    /** The caller may repeat a request only if no server ran it. A request that the server shed must therefore be
     *  rejected as not executed. */
    void shedRequestIsRejectedAsNotExecuted()
    {
        GatewayHarness harness;
        harness.onBackendRequest = [](const auto& exchange) {
            HttpResponse response(http::status::service_unavailable, 11);
            response.prepare_payload();
            exchange->respond(std::move(response));
        };
        harness.send("/1");
        CPPUNIT_ASSERT(harness.receives("not_executed"));
    }

    /** Load pattern: callers that use an old lookup result send requests until the process stops. A request that was
     *  accepted long after SIGTERM was aborted when the process stopped (trouble-2 of lithoplan-edge, seed
     *  170661732006). An open request is still answered. */
    void leavingInstanceRejectsNewRequests()
    {
        GatewayHarness harness;
        std::vector<std::shared_ptr<HttpExchange>> pending;
        harness.onBackendRequest = [&](const auto& exchange) { pending.push_back(exchange); };
        harness.send("/1");
        CPPUNIT_ASSERT(harness.runUntil([&] { return pending.size() == 1; }));
        harness.gateway.rejectNewRequestsFrom(steadyNow());
        harness.send("/2");
        HttpResponse response(http::status::ok, 11);
        response.body() = "whole";
        response.prepare_payload();
        pending[0]->respond(response);
        CPPUNIT_ASSERT(harness.receives("leaving"));
        CPPUNIT_ASSERT(harness.received.find("whole") < harness.received.find("leaving"));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, pending.size());
    }

    /** A periodic check that ran late let a leaving instance take requests that it could not finish. */
    void newRequestsAreRejectedFromAGivenTime()
    {
        GatewayAndRawServer harness;
        harness.gateway.rejectNewRequestsFrom(steadyNow() + 300ms);
        harness.send("/1", "a seat", "POST");
        CPPUNIT_ASSERT(harness.serverReceives("/1"));
        std::this_thread::sleep_for(400ms);
        harness.send("/2", "a seat", "POST");
        harness.answer("first");
        CPPUNIT_ASSERT(harness.receives("leaving"));
        CPPUNIT_ASSERT(harness.received.find("first") < harness.received.find("leaving"));
    }

    /** A process that ran late stopped before the periodic check that answers the requests which are open at its end.
     */
    void openRequestsAreAnsweredAtTheEnd()
    {
        GatewayAndRawServer harness;
        harness.send("/1", "a seat", "POST");
        CPPUNIT_ASSERT(harness.serverReceives("/1"));
        harness.gateway.endRequests();
        harness.context.restart();
        harness.context.poll(); // No time passes.
        char buf[4096];
        harness.callerSocket.non_blocking(false);
        const auto n = harness.callerSocket.read_some(boost::asio::buffer(buf));
        CPPUNIT_ASSERT_MESSAGE(std::string(buf, n), std::string(buf, n).find("timed_out") != std::string::npos);
    }

    /** A caller sends a refused request again with its id, and the refusal's copy comes over the same connection. */
    void repeatedRefusalDoesNotCountForARequestSentAgain()
    {
        for (const std::size_t count : { 1U, 2U }) {
            SteeringOptions options { RegionId("jadran"), {} };
            options.bounds.retrySlack = 10; // Each refused request is sent to all servers.
            CallerAndGateway harness(options);
            harness.setRoute(false, 1);
            std::list<RefusingServer> servers;
            std::vector<std::uint16_t> ports;
            for (std::size_t i = 0; i < count; ++i)
                ports.push_back(servers.emplace_back(harness.context).port());
            harness.setServers(ports);
            harness.send("/1");
            CPPUNIT_ASSERT_MESSAGE(harness.received, harness.receives("503 Service Unavailable"));
            CPPUNIT_ASSERT(harness.runUntil([&] { return harness.gateway.openRequests() == 0; }));
            harness.received.clear();
            for (auto& server : servers)
                server.isFull = false;
            harness.send("/1");
            harness.runUntil([&] { return harness.gateway.openRequests() == 0 && !harness.received.empty(); });
            int runs = 0;
            for (const auto& server : servers)
                runs += server.runs;
            CPPUNIT_ASSERT_EQUAL(1, runs);
            CPPUNIT_ASSERT_MESSAGE(harness.received, harness.receives("\r\n\r\nran"));
        }
    }

    /** Full servers refuse many requests. Opening a connection after each refusal would load them further. */
    void refusalKeepsTheConnectionForOtherRequests()
    {
        CallerAndGateway harness;
        harness.setRoute(false, 1);
        RefusingServer server(harness.context);
        server.repeatsRefusals = false;
        harness.setServers({ server.port() });
        harness.send("/1");
        CPPUNIT_ASSERT_MESSAGE(harness.received, harness.receives("not_executed"));
        server.isFull = false;
        harness.send("/2");
        CPPUNIT_ASSERT_MESSAGE(harness.received, harness.receives("\r\n\r\nran"));
        CPPUNIT_ASSERT_EQUAL(1, server.connections);
    }

    /** Load pattern: a server closes an idle connection, and a process with little processor time handles a caller's
     *  request first. The server never read that request, but the caller was told that it may have run. */
    void requestIsNotSentOnAConnectionThatTheServerHasClosed()
    {
        GatewayAndRawServer harness;
        harness.send("/1", "a seat", "POST");
        CPPUNIT_ASSERT(harness.serverReceives("/1"));
        harness.answer("first");
        CPPUNIT_ASSERT(harness.receives("first"));
        harness.send("/2", "a seat", "POST");
        harness.server.close();
        CPPUNIT_ASSERT_MESSAGE(harness.received, harness.serverReceives("/2"));
        harness.answer("second");
        CPPUNIT_ASSERT(harness.receives("second"));
    }

    /** Load pattern: the process gets no processor time for a while in the middle of its work. The periodic check took
     *  the time of its own run for the time up to which responses had been read, and ended a request whose response
     *  had arrived before the deadline. */
    void responseThatArrivesWhileAnotherHandlerRunsIsDelivered()
    {
        GatewayAndRawServer harness;
        harness.send("/1");
        CPPUNIT_ASSERT(harness.serverReceives("/1"));
        std::this_thread::sleep_for(30ms); // The periodic check is due.
        boost::asio::steady_timer before(harness.context, std::chrono::steady_clock::now() - 1s);
        before.async_wait([&](const boost::system::error_code&) {
            harness.answer("in time");
            std::this_thread::sleep_for(1s);
        });
        CPPUNIT_ASSERT_MESSAGE(harness.received, harness.receives("in time"));
    }

    /** Load pattern: the process is paused until after the deadline of a request whose whole response has arrived. The
     *  response takes several reads, and the periodic check ran after the first of them. */
    void longResponseThatWaitsInTheSocketIsDelivered()
    {
        GatewayAndRawServer harness;
        harness.send("/1");
        CPPUNIT_ASSERT(harness.serverReceives("/1"));
        harness.answer(std::string(50'000, '-') + "end");
        std::this_thread::sleep_for(900ms);
        CPPUNIT_ASSERT(harness.receives("end"));
    }

    /** A faulty server may send bytes without an end. Each look at its connection finds some. */
    void serverThatKeepsSendingDoesNotPutOffTheTimeout()
    {
        GatewayAndRawServer harness;
        harness.send("/1");
        CPPUNIT_ASSERT(harness.serverReceives("/1"));
        harness.server.non_blocking(true);
        boost::system::error_code ec;
        harness.server.write_some(
            boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n")), ec);
        std::function<void()> sendMore = [&] {
            harness.server.write_some(boost::asio::buffer("-", 1), ec);
            if (!ec)
                boost::asio::post(harness.context, sendMore);
        };
        sendMore();
        CPPUNIT_ASSERT(harness.receives("timed_out"));
    }

    /** Load pattern: the process is paused while it opens a connection. The server accepted it at once, but it was
     *  ejected, and a server that is the only one could not be used. */
    void connectionThatIsFoundOpenLateIsNotTheServersFault()
    {
        ServerConnectionsOptions options;
        options.connection.connectTimeout = 100ms;
        GatewayAndRawServer harness(options);
        harness.onHandled = [] { std::this_thread::sleep_for(150ms); };
        harness.send("/1");
        CPPUNIT_ASSERT_MESSAGE(harness.received, harness.serverReceives("/1"));
        harness.answer("whole");
        CPPUNIT_ASSERT(harness.receives("whole"));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, harness.steering.counters().results.count(DispatchResult::NotSent));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);
