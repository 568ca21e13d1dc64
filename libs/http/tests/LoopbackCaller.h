// A server on a loopback socket and a caller that sends raw bytes.

#pragma once

#include "http/HttpServer.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/TestAssert.h>

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace peridot {

inline HttpResponse ok(const std::string& body)
{
    HttpResponse response(boost::beast::http::status::ok, 11);
    response.body() = body;
    response.prepare_payload();
    return response;
}

/** A server with a handler of the test's choice, and a caller that sends raw bytes. */
class Loopback {
public:
    explicit Loopback(
        HttpServerLimits limits = {}, std::size_t connections = 100, std::shared_ptr<ByteAccount> bytes = {})
        : server(
            context, limits, connections,
            [this](const std::shared_ptr<HttpExchange>& exchange) {
                exchanges.push_back(exchange);
                exchange->onCallerGone = [this] { ++gone; };
                if (answersAtOnce)
                    exchange->respond(ok(std::string(exchange->request.target())));
            },
            {}, std::move(bytes))
        , caller(context)
    {
        CPPUNIT_ASSERT(server.listen("127.0.0.1:0"));
        connect();
    }

    void connect()
    {
        caller = boost::asio::ip::tcp::socket(context);
        caller.connect({ boost::asio::ip::make_address("127.0.0.1"), server.port() });
        caller.non_blocking(true);
    }

    void send(const std::string& bytes) { boost::asio::write(caller, boost::asio::buffer(bytes)); }

    void run(std::chrono::milliseconds time) { context.run_for(time); }

    /** Runs until the caller has received @p text or the connection has ended. */
    bool receives(const std::string& text, std::chrono::milliseconds limit = std::chrono::seconds { 2 })
    {
        return runUntil([&] { return received.find(text) != std::string::npos; }, limit);
    }

    bool ends(std::chrono::milliseconds limit = std::chrono::seconds { 2 })
    {
        return runUntil([&] { return hasEnded; }, limit);
    }

    boost::asio::io_context context;
    std::vector<std::shared_ptr<HttpExchange>> exchanges;
    bool answersAtOnce = true;
    int gone = 0;
    HttpServer server;
    boost::asio::ip::tcp::socket caller;
    std::string received;
    bool hasEnded = false;

    bool runUntil(const std::function<bool()>& isDone, std::chrono::milliseconds limit = std::chrono::seconds { 2 })
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!isDone() && std::chrono::steady_clock::now() < end) {
            context.run_for(std::chrono::milliseconds { 5 });
            char buf[4096];
            boost::system::error_code ec;
            const auto n = caller.read_some(boost::asio::buffer(buf), ec);
            received.append(buf, n);
            hasEnded = hasEnded || (ec && ec != boost::asio::error::would_block);
        }
        return isDone();
    }
};

inline std::string get(const std::string& path, const std::string& headers = {})
{
    return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n";
}

}
