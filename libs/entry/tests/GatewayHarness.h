// A caller and a gateway that are connected over loopback sockets, for the tests of the gateway.

#pragma once

#include "entry/RequestGateway.h"

#include "support/LoopbackAddress.h"

#include "base/SteadyTime.h"

#include <boost/asio/write.hpp>

#include <cppunit/TestAssert.h>

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace peridot {

/** Uses the request's path as its id and its object. Status 503 of a server means that it shed the request. */
class TestProtocol final : public CallerProtocol {
public:
    tl::expected<CallerRequest, HttpResponse> read(const HttpRequest& request) const override
    {
        const std::string path(request.target());
        CallerRequest caller { path, "a", path, {}, path, Duration { std::chrono::milliseconds { 800 } } };
        if (request.count("Passed-On") > 0)
            caller.passedAfter = Duration { 0 };
        return caller;
    }
    HttpRequest requestToServer(const HttpRequest& request, const SendToServer&) const override { return request; }
    HttpRequest requestToInstance(const HttpRequest& request, const PassToInstance&) const override
    {
        HttpRequest passed = request;
        passed.set("Passed-On", "1");
        return passed;
    }
    ResponseVerdict checkFromInstance(const HttpResponse&, const std::string&) const override
    {
        return ResponseVerdict::Accept;
    }
    DispatchResult inspectInstanceResponse(const HttpResponse& response) const override
    {
        return response.count("Unable") > 0 ? DispatchResult::Shed : DispatchResult::Succeeded;
    }
    HttpResponse instanceResponseToCaller(HttpResponse response) const override { return response; }
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
        HttpResponse response(boost::beast::http::status::service_unavailable, 11);
        response.body() = std::string(enumName(reject.reason));
        if (isInstanceUnable(reject.reason))
            response.set("Unable", "1");
        response.prepare_payload();
        return response;
    }
};

/** A caller and a gateway with one route. The context runs in runUntil() only. */
class CallerAndGateway {
public:
    explicit CallerAndGateway(const SteeringOptions& options = { RegionId("jadran"), {} },
        const ServerConnectionsOptions& connectionsOptions = {})
        : steering(options, 1, log)
        , connections(context, connectionsOptions)
        , peers(context, {})
        , gateway(context, steering, protocol, connections, peers, log)
        , callerServer(context, {}, 100,
              [this](const auto& exchange) {
                  gateway.handle(exchange);
                  if (onHandled)
                      onHandled();
              })
        , callerSocket(context)
    {
        CPPUNIT_ASSERT(callerServer.listen(onProcessLoopback()));
        callerSocket.connect({ processLoopback(), callerServer.port() });
        callerSocket.non_blocking(true);
    }

    void setRoute(bool isIdempotent, unsigned maximumAttempts)
    {
        RouteTableData data;
        data.version = 1;
        data.services = { { ServiceId("salonik"), "/health", 100, {}, 0 } };
        Route route;
        route.name = "r";
        route.host = "a";
        route.pathPrefix = "/";
        route.services = { { ServiceId("salonik"), 1 } };
        route.timeout = std::chrono::seconds { 1 };
        route.targetLatency = std::chrono::milliseconds { 500 };
        route.isIdempotent = isIdempotent;
        route.maximumAttempts = maximumAttempts;
        data.routes = { route };
        steering.setRoutes(*RouteTable::create(data));
    }

    /** Lists a server for each port. The port determines the id of the server. */
    void setServers(const std::vector<std::uint16_t>& ports)
    {
        std::vector<ListedServer> servers;
        for (const auto port : ports) {
            ListedServer server;
            server.id = BackendServerId("i-" + std::to_string(port));
            server.service = ServiceId("salonik");
            server.address = onProcessLoopback(port);
            server.region = RegionId("jadran");
            server.slots = 4;
            servers.push_back(server);
        }
        steering.setServers(servers, steadyNow());
    }

    void send(const std::string& path, const std::string& body = {}, const std::string& method = "GET")
    {
        const auto length = body.empty() ? std::string() : "Content-Length: " + std::to_string(body.size()) + "\r\n";
        boost::asio::write(callerSocket,
            boost::asio::buffer(method + " " + path + " HTTP/1.1\r\nHost: a\r\n" + length + "\r\n" + body));
    }

    /** Runs the context until @p isDone returns true or @p limit has passed. Returns the last value of @p isDone. */
    bool runUntil(
        const std::function<bool()>& isDone, std::chrono::milliseconds limit = std::chrono::milliseconds { 2'000 })
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!isDone() && std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_for(std::chrono::milliseconds { 5 });
            char buf[4096];
            boost::system::error_code ec;
            received.append(buf, callerSocket.is_open() ? callerSocket.read_some(boost::asio::buffer(buf), ec) : 0);
        }
        return isDone();
    }

    /** Returns whether the caller receives @p text within the time limit of runUntil(). */
    bool receives(const std::string& text)
    {
        return runUntil([&] { return received.find(text) != std::string::npos; });
    }

    boost::asio::io_context context;
    NullEventLog log;
    TestProtocol protocol;
    TrafficSteering steering;
    ServerConnections connections;
    ServerConnections peers;
    RequestGateway gateway;
    HttpServer callerServer; // Accepts the callers' connections of the gateway.
    boost::asio::ip::tcp::socket callerSocket;
    std::string received; // All bytes that the caller has read.
    std::function<void()> onHandled; // Called when the gateway has taken a request.
};

/** A caller, a gateway and a backend server that the test plays by itself. */
class GatewayAndRawServer : public CallerAndGateway {
public:
    explicit GatewayAndRawServer(const ServerConnectionsOptions& options = {})
        : CallerAndGateway({ RegionId("jadran"), {} }, options)
        , acceptor(context, { processLoopback(), 0 })
        , server(context)
    {
        setRoute(false, 1);
        setServers({ acceptor.local_endpoint().port() });
    }

    /** Accepts the connection of a request, if it has a new one, and reads the request. */
    bool serverReceives(const std::string& path)
    {
        acceptor.non_blocking(true);
        std::string text;
        return runUntil([&] {
            boost::system::error_code ec;
            if (auto accepted = acceptor.accept(ec); !ec)
                server = std::move(accepted);
            char buf[4096];
            if (server.is_open() && server.available(ec) > 0)
                text.append(buf, server.read_some(boost::asio::buffer(buf), ec));
            return text.find(path) != std::string::npos;
        });
    }

    void answer(const std::string& body)
    {
        boost::asio::write(server,
            boost::asio::buffer(
                "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body));
    }

    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::ip::tcp::socket server; // The server's end of the newest connection.
};

}
