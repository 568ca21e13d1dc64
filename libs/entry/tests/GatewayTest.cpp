// Sends requests through a RequestGateway, from a caller's socket to a backend server, over loopback sockets.

#include "entry/RequestGateway.h"

#include "base/SteadyTime.h"

#include <boost/asio/write.hpp>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <functional>

using namespace peridot;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/** Uses the request's path as its id and its object. Status 503 of a server means that it shed the request. */
class TestProtocol final : public CallerProtocol {
public:
    tl::expected<CallerRequest, HttpResponse> read(const HttpRequest& request) const override
    {
        const std::string path(request.target());
        return CallerRequest { path, "a", path, {}, path, Duration { 800ms } };
    }
    HttpRequest requestToServer(const HttpRequest& request, const SendToServer&) const override { return request; }
    ResponseVerdict check(const HttpResponse&, const std::string&, bool) const override
    {
        return ResponseVerdict::Accept;
    }
    ServerResponseInfo inspectResponse(const HttpResponse& response) const override
    {
        return { response.result_int() == 503 ? DispatchResult::Shed : DispatchResult::Succeeded, {} };
    }
    HttpResponse responseToCaller(HttpResponse response) const override { return response; }
    HttpResponse rejection(const RejectRequest& reject) const override
    {
        HttpResponse response(http::status::service_unavailable, 11);
        response.body() = std::string(enumName(reject.reason));
        response.prepare_payload();
        return response;
    }
};

/** A caller, a gateway and one backend server with one route. The context runs in runUntil() only. */
class GatewayHarness {
public:
    GatewayHarness()
        : backend(context, {}, 100, [this](const auto& exchange) { onBackendRequest(exchange); })
        , steering({ RegionId("jadran"), {} }, 1, log)
        , connections(context, {})
        , gateway(context, steering, protocol, connections, log)
        , callerServer(context, {}, 100, [this](const auto& exchange) { gateway.handle(exchange); })
        , callerSocket(context)
    {
        CPPUNIT_ASSERT(backend.listen("127.0.0.1:0"));
        CPPUNIT_ASSERT(callerServer.listen("127.0.0.1:0"));
        RouteTableData data;
        data.version = 1;
        data.services = { { ServiceId("salonik"), "/health", 100, {}, 0 } };
        Route route;
        route.name = "r";
        route.host = "a";
        route.pathPrefix = "/";
        route.services = { { ServiceId("salonik"), 1 } };
        route.timeout = 1s;
        route.targetLatency = 500ms;
        data.routes = { route };
        steering.setRoutes(*RouteTable::create(data));
        ListedServer server;
        server.id = BackendServerId("i-1");
        server.service = ServiceId("salonik");
        server.address = "127.0.0.1:" + std::to_string(backend.port());
        server.region = RegionId("jadran");
        server.slots = 4;
        steering.setServers({ server }, steadyNow());
        callerSocket.connect({ asio::ip::make_address("127.0.0.1"), callerServer.port() });
        callerSocket.non_blocking(true);
    }

    void send(const std::string& path)
    {
        asio::write(callerSocket, asio::buffer("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"));
    }

    /** Runs the context until @p isDone returns true or @p limit has passed. Returns the last value of @p isDone. */
    bool runUntil(const std::function<bool()>& isDone, std::chrono::milliseconds limit = 2s)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!isDone() && std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_for(5ms);
            char buf[4096];
            boost::system::error_code ec;
            received.append(buf, callerSocket.is_open() ? callerSocket.read_some(asio::buffer(buf), ec) : 0);
        }
        return isDone();
    }

    /** Returns whether the caller receives @p text within the time limit of runUntil(). */
    bool receives(const std::string& text)
    {
        return runUntil([&] { return received.find(text) != std::string::npos; });
    }

    asio::io_context context;
    NullEventLog log;
    TestProtocol protocol;
    std::function<void(const std::shared_ptr<HttpExchange>&)> onBackendRequest = [](const auto& exchange) {
        HttpResponse response(http::status::ok, 11);
        response.body() = "from " + std::string(exchange->request.target());
        response.prepare_payload();
        exchange->respond(std::move(response));
    };
    HttpServer backend;
    TrafficSteering steering;
    ServerConnections connections;
    RequestGateway gateway;
    HttpServer callerServer; // Accepts the callers' connections of the gateway.
    asio::ip::tcp::socket callerSocket;
    std::string received; // All bytes that the caller has read.
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
