// Sends requests through a RequestGateway, from a caller's socket to a backend server, over loopback sockets.

#include "GatewayHarness.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <functional>

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

}

class GatewayTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GatewayTest);
    CPPUNIT_TEST(pipelinedRequestsAreAnsweredInOrder);
    CPPUNIT_TEST(serverConnectionsAreReused);
    CPPUNIT_TEST(callerDisconnectClosesServerConnection);
    CPPUNIT_TEST(requestTimesOutIfServerDoesNotAnswer);
    CPPUNIT_TEST(shedRequestIsRejectedAsNotExecuted);
    CPPUNIT_TEST(leavingInstanceRejectsNewRequests);
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
        harness.gateway.rejectNewRequests();
        harness.send("/2");
        HttpResponse response(http::status::ok, 11);
        response.body() = "whole";
        response.prepare_payload();
        pending[0]->respond(response);
        CPPUNIT_ASSERT(harness.receives("leaving"));
        CPPUNIT_ASSERT(harness.received.find("whole") < harness.received.find("leaving"));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, pending.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);
