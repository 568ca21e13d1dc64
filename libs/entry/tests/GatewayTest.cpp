// Requests through a gateway between a caller and a backend server on loopback sockets.

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

/** Plain headers: the request's id is its path. */
class TestProtocol final : public CallerProtocol {
public:
    tl::expected<CallerRequest, HttpResponse> read(const HttpRequest& request) const override
    {
        const std::string path(request.target());
        return CallerRequest { path, "a", path, {}, path, Duration { 800ms } };
    }
    HttpRequest requestToServer(const HttpRequest& request, const SendToServer&) const override { return request; }
    ResponseVerdict check(const HttpResponse&, const std::string&) const override { return ResponseVerdict::Accept; }
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

class Loopback {
public:
    Loopback()
        : backend(context, {}, 100, [this](const auto& exchange) { atBackend(exchange); })
        , steering({ RegionId("jadran"), {} }, 1, log)
        , connections(context, {})
        , gateway(context, steering, protocol, connections, log)
        , callers(context, {}, 100, [this](const auto& exchange) { gateway.handle(exchange); })
        , caller(context)
    {
        CPPUNIT_ASSERT(backend.listen("127.0.0.1:0"));
        CPPUNIT_ASSERT(callers.listen("127.0.0.1:0"));
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
        caller.connect({ asio::ip::make_address("127.0.0.1"), callers.port() });
        caller.non_blocking(true);
    }

    void send(const std::string& path)
    {
        asio::write(caller, asio::buffer("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"));
    }

    bool runUntil(const std::function<bool()>& isDone, std::chrono::milliseconds limit = 2s)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!isDone() && std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_for(5ms);
            char buf[4096];
            boost::system::error_code ec;
            received.append(buf, caller.is_open() ? caller.read_some(asio::buffer(buf), ec) : 0);
        }
        return isDone();
    }

    bool receives(const std::string& text)
    {
        return runUntil([&] { return received.find(text) != std::string::npos; });
    }

    asio::io_context context;
    NullEventLog log;
    TestProtocol protocol;
    std::function<void(const std::shared_ptr<HttpExchange>&)> atBackend = [](const auto& exchange) {
        HttpResponse response(http::status::ok, 11);
        response.body() = "from " + std::string(exchange->request.target());
        response.prepare_payload();
        exchange->respond(std::move(response));
    };
    HttpServer backend;
    TrafficSteering steering;
    ServerConnections connections;
    RequestGateway gateway;
    HttpServer callers;
    asio::ip::tcp::socket caller;
    std::string received;
};

}

class GatewayTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GatewayTest);
    CPPUNIT_TEST(pipelinedRequestsGetTheirOwnAnswers);
    CPPUNIT_TEST(serverConnectionsAreReused);
    CPPUNIT_TEST(callerThatLeavesClosesTheServerConnection);
    CPPUNIT_TEST(silentServerEndsAtTheDeadline);
    CPPUNIT_TEST(requestThatWasTurnedAwayIsRejectedAsNotRun);
    CPPUNIT_TEST(leavingInstanceTakesNothingThatItWouldCut);
    CPPUNIT_TEST_SUITE_END();

public:
    void pipelinedRequestsGetTheirOwnAnswers()
    {
        Loopback loopback;
        for (int i = 0; i < 6; ++i)
            loopback.send("/" + std::to_string(i));
        CPPUNIT_ASSERT(loopback.receives("from /5"));
        for (int i = 0; i < 5; ++i)
            CPPUNIT_ASSERT(loopback.received.find("from /" + std::to_string(i))
                < loopback.received.find("from /" + std::to_string(i + 1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, loopback.gateway.openRequests());
    }

    void serverConnectionsAreReused()
    {
        Loopback loopback;
        for (int i = 0; i < 5; ++i) {
            loopback.send("/" + std::to_string(i));
            CPPUNIT_ASSERT(loopback.receives("from /" + std::to_string(i)));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, loopback.connections.count());
    }

    /** A server must not work on for a caller that has gone. */
    void callerThatLeavesClosesTheServerConnection()
    {
        Loopback loopback;
        int gone = 0;
        std::vector<std::shared_ptr<HttpExchange>> held;
        loopback.atBackend = [&](const auto& exchange) {
            exchange->onCallerGone = [&] { ++gone; };
            held.push_back(exchange);
        };
        loopback.send("/1");
        CPPUNIT_ASSERT(loopback.runUntil([&] { return held.size() == 1; }));
        loopback.caller.close();
        CPPUNIT_ASSERT(loopback.runUntil([&] { return gone == 1; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, loopback.gateway.openRequests());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, loopback.connections.count());
    }

    void silentServerEndsAtTheDeadline()
    {
        Loopback loopback;
        std::vector<std::shared_ptr<HttpExchange>> held;
        loopback.atBackend = [&](const auto& exchange) { held.push_back(exchange); };
        const auto start = std::chrono::steady_clock::now();
        loopback.send("/1");
        CPPUNIT_ASSERT(loopback.receives("timed_out"));
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start >= 790ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, loopback.connections.count());
    }

    void requestThatWasTurnedAwayIsRejectedAsNotRun()
    {
        Loopback loopback;
        loopback.atBackend = [](const auto& exchange) {
            HttpResponse response(http::status::service_unavailable, 11);
            response.prepare_payload();
            exchange->respond(std::move(response));
        };
        loopback.send("/1");
        CPPUNIT_ASSERT(loopback.receives("not_executed"));
    }

    /** Load pattern: callers with an old lookup come until the process stops. A request that was taken long after
     *  SIGTERM was given up (trouble-2 of lithoplan-edge, seed 170661732006). */
    void leavingInstanceTakesNothingThatItWouldCut()
    {
        Loopback loopback;
        std::vector<std::shared_ptr<HttpExchange>> held;
        loopback.atBackend = [&](const auto& exchange) { held.push_back(exchange); };
        loopback.send("/1");
        CPPUNIT_ASSERT(loopback.runUntil([&] { return held.size() == 1; }));
        loopback.gateway.rejectNewRequests();
        loopback.send("/2");
        HttpResponse response(http::status::ok, 11);
        response.body() = "whole";
        response.prepare_payload();
        held[0]->respond(response);
        CPPUNIT_ASSERT(loopback.receives("leaving"));
        CPPUNIT_ASSERT(loopback.received.find("whole") < loopback.received.find("leaving"));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, held.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);
