// Connections to servers on loopback sockets: whole and broken responses, stray bytes, cancellation.

#include "http/ClientConnection.h"
#include "http/HttpServer.h"
#include "support/ManyReadableSockets.h"

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace peridot;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/** A server that sends raw bytes, and the connection under test. */
class Loopback {
public:
    explicit Loopback(const ClientConnectionOptions& options = {})
        : acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 })
        , peer(context)
    {
        connection = std::make_shared<ClientConnection>(
            context, acceptor.local_endpoint(), options, [this](ClientConnection&) { ++idle; },
            [this](ClientConnection&) { ++closed; });
    }

    void request(const std::string& path, http::verb method = http::verb::get)
    {
        result.reset();
        HttpRequest message(method, path, 11);
        message.set(http::field::host, "a");
        connection->send(
            std::move(message),
            [](const HttpResponse& response) {
                const auto id = headerValue(response, "X-Id");
                return !id || *id == "mine" ? ResponseVerdict::Accept
                    : *id == "other"        ? ResponseVerdict::Skip
                                            : ResponseVerdict::Reject;
            },
            [this](ExchangeResult it) { result = std::move(it); });
        if (!peer.is_open()) {
            context.restart();
            context.run_for(10ms);
            acceptor.accept(peer);
        }
        run();
        // Closing a socket with unread bytes would reset the connection.
        std::vector<char> unread(peer.available());
        asio::read(peer, asio::buffer(unread));
    }

    void answer(const std::string& bytes)
    {
        asio::write(peer, asio::buffer(bytes));
        run();
    }

    void run(std::chrono::milliseconds time = 30ms)
    {
        context.restart();
        context.run_for(time);
    }

    asio::io_context context;
    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::socket peer;
    std::shared_ptr<ClientConnection> connection;
    std::optional<ExchangeResult> result;
    int idle = 0;
    int closed = 0;
};

/** A request that the server has received. The process is paused until after its timeout. */
class PausedExchange {
public:
    PausedExchange()
    {
        loopback.connection->send(
            HttpRequest(http::verb::get, "/", 11), nullptr, [this](ExchangeResult it) { result = std::move(it); },
            s_timeout);
        loopback.run(20ms);
        loopback.acceptor.accept(loopback.peer);
        // Closing a socket with unread bytes would reset the connection.
        std::vector<char> unread(loopback.peer.available());
        asio::read(loopback.peer, asio::buffer(unread));
    }

    void respond(const std::string& headers, const std::string& body)
    {
        asio::write(loopback.peer, asio::buffer("HTTP/1.1 200 OK\r\n" + headers + "\r\n" + body));
    }

    void resumeAfterTimeout()
    {
        std::this_thread::sleep_for(s_timeout + 50ms);
        loopback.run(100ms);
    }

    static constexpr std::chrono::milliseconds s_timeout { 300 };

    Loopback loopback;
    std::optional<ExchangeResult> result;
};

}

class ClientConnectionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ClientConnectionTest);
    CPPUNIT_TEST(connectsFromTheSourceAddress);
    CPPUNIT_TEST(connectionIsReused);
    CPPUNIT_TEST(cutResponseIsNoResponse);
    CPPUNIT_TEST(endOfConnectionDelimitsABody);
    CPPUNIT_TEST(strayBytesRetireTheConnection);
    CPPUNIT_TEST(lateResponseOfAnotherRequestIsSkipped);
    CPPUNIT_TEST(malformedResponsesAreToldApart);
    CPPUNIT_TEST(refusedConnectionWasNotSent);
    CPPUNIT_TEST(serverThatClosesWasReached);
    CPPUNIT_TEST(cancelledRequestClosesTheConnection);
    CPPUNIT_TEST(headAndInformationalResponses);
    CPPUNIT_TEST(keepAliveTimeIsRead);
    CPPUNIT_TEST(secondCopyOfAResponseDoesNotAnswerTheNextRequest);
    CPPUNIT_TEST(bytesWithoutEndAreCutOff);
    CPPUNIT_TEST(silentServerEndsTheExchangeOnce);
    CPPUNIT_TEST(timeoutThatIsDueWithTheResponseSparesTheNextRequest);
    CPPUNIT_TEST(longResponseThatWaitsAtTheTimeoutIsTaken);
    CPPUNIT_TEST(responseBehindManyEventsIsTaken);
    CPPUNIT_TEST(responseWithoutLengthThatWaitsAtTheTimeoutIsTaken);
    CPPUNIT_TEST(brokenResponseThatWaitsAtTheTimeoutStaysBroken);
    CPPUNIT_TEST(serverThatKeepsSendingIsTimedOut);
    CPPUNIT_TEST(requestIsNotSentIfConnectingOutlastsItsTimeout);
    CPPUNIT_TEST(announcedLengthBeyondTheLimitEndsTheExchange);
    CPPUNIT_TEST(refusalsAreRememberedWithABound);
    CPPUNIT_TEST_SUITE_END();

public:
    void connectsFromTheSourceAddress()
    {
        ClientConnectionOptions options;
        options.source = asio::ip::make_address("127.0.0.9");
        Loopback loopback(options);
        loopback.request("/");
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.9"), loopback.peer.remote_endpoint().address().to_string());
    }

    void connectionIsReused()
    {
        Loopback loopback;
        for (int i = 1; i <= 3; ++i) {
            loopback.request("/" + std::to_string(i));
            loopback.answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            CPPUNIT_ASSERT(loopback.result && *loopback.result);
            CPPUNIT_ASSERT_EQUAL(i, loopback.idle);
        }
        CPPUNIT_ASSERT_EQUAL(0, loopback.closed);
    }

    /** An answer that ends early must not look complete. */
    void cutResponseIsNoResponse()
    {
        for (const std::string bytes : { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", "HTTP/1.1 200 OK\r\nConte" }) {
            Loopback loopback;
            loopback.request("/");
            loopback.answer(bytes);
            CPPUNIT_ASSERT(!loopback.result);
            loopback.peer.close();
            loopback.run();
            CPPUNIT_ASSERT(loopback.result && !*loopback.result);
            CPPUNIT_ASSERT(loopback.result->error().wasSent);
        }
    }

    /** A body without a length ends with its connection; one that is reset on the way is not complete. */
    void endOfConnectionDelimitsABody()
    {
        for (const bool isReset : { false, true }) {
            Loopback loopback;
            loopback.request("/");
            loopback.answer("HTTP/1.1 200 OK\r\n\r\nbody");
            if (isReset)
                loopback.peer.set_option(asio::socket_base::linger(true, 0));
            loopback.peer.close();
            loopback.run();
            CPPUNIT_ASSERT(loopback.result);
            CPPUNIT_ASSERT_EQUAL(!isReset, loopback.result->has_value());
        }
    }

    /** Bytes behind an answer belong to no request. */
    void strayBytesRetireTheConnection()
    {
        Loopback loopback;
        loopback.request("/");
        loopback.answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");
        CPPUNIT_ASSERT(loopback.result && *loopback.result);
        CPPUNIT_ASSERT_EQUAL(0, loopback.idle);
        CPPUNIT_ASSERT_EQUAL(1, loopback.closed);

        Loopback late;
        late.request("/");
        late.answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        late.answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno");
        CPPUNIT_ASSERT_EQUAL(1, late.closed);
    }

    /** A second answer to an earlier request must not reach the next caller. */
    void lateResponseOfAnotherRequestIsSkipped()
    {
        Loopback loopback;
        loopback.request("/");
        loopback.answer("HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nnot"
                        "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 4\r\n\r\nmine");
        CPPUNIT_ASSERT(loopback.result && *loopback.result);
        CPPUNIT_ASSERT_EQUAL(std::string("mine"), (*loopback.result)->body());
        CPPUNIT_ASSERT_EQUAL(1, loopback.closed);
    }

    /** A second copy that arrives while the connection is in use again must not become the next caller's answer. */
    void secondCopyOfAResponseDoesNotAnswerTheNextRequest()
    {
        const std::string first = "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nnot";
        Loopback loopback;
        loopback.request("/");
        loopback.answer("HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 5\r\n\r\nfirst");
        loopback.request("/");
        loopback.answer(first);
        CPPUNIT_ASSERT(!loopback.result);
        loopback.answer("HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 4\r\n\r\nmine");
        CPPUNIT_ASSERT(loopback.result && *loopback.result);
        CPPUNIT_ASSERT_EQUAL(std::string("mine"), (*loopback.result)->body());
        CPPUNIT_ASSERT_EQUAL(1, loopback.closed);
    }

    /** A server in trouble may send bytes that are no response until the connection closes. Each exchange must fail
     *  with bounded memory; without a limit, one such server could use up the memory of the instance. */
    void bytesWithoutEndAreCutOff()
    {
        const std::string kilobyte(1'024, 'x');
        const std::string head = "HTTP/1.1 200 OK\r\nX-Id: mine\r\n";
        for (const std::string& begin : { std::string(), std::string("HTTP/1.1 200 "), head + "X-Long: ", head,
                 head + "Content-Length: 1000000000000\r\n\r\n", head + "\r\n",
                 head + "Transfer-Encoding: chunked\r\n\r\n", head + "Transfer-Encoding: chunked\r\n\r\n4;",
                 head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: " }) {
            Loopback loopback;
            loopback.request("/");
            loopback.answer(begin);
            error_code ec;
            std::size_t sent = 0;
            while (!loopback.result && sent < 16'384 && !ec) {
                loopback.peer.write_some(asio::buffer(kilobyte), ec);
                loopback.run(1ms);
                ++sent;
            }
            CPPUNIT_ASSERT(loopback.result && !*loopback.result);
            CPPUNIT_ASSERT(loopback.result->error().isMalformed);
            CPPUNIT_ASSERT_EQUAL(1, loopback.closed);
        }
        // Responses that belong to no request, without end.
        for (const std::string bytes :
            { "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n" }) {
            Loopback loopback;
            loopback.request("/");
            for (int i = 0; i < 100 && !loopback.result; ++i)
                loopback.answer(bytes);
            CPPUNIT_ASSERT(loopback.result && !*loopback.result);
            CPPUNIT_ASSERT_EQUAL(1, loopback.closed);
        }
    }

    void silentServerEndsTheExchangeOnce()
    {
        Loopback loopback;
        int results = 0;
        loopback.connection->send(
            HttpRequest(http::verb::get, "/", 11), nullptr, [&](const ExchangeResult&) { ++results; }, 50ms);
        loopback.run(200ms);
        CPPUNIT_ASSERT_EQUAL(1, results);
        CPPUNIT_ASSERT_EQUAL(1, loopback.closed);
    }

    /** After a pause of the process, the response and its timeout are due at the same time. The timeout of the answered
     *  request must not end the next request on the connection. */
    void timeoutThatIsDueWithTheResponseSparesTheNextRequest()
    {
        Loopback loopback;
        const auto send = [&](const std::string& path, Duration timeout, ClientConnection::ResultHandler handler) {
            loopback.connection->send(HttpRequest(http::verb::get, path, 11), nullptr, std::move(handler), timeout);
        };
        std::optional<ExchangeResult> second;
        send("/1", 100ms,
            [&](const ExchangeResult&) { send("/2", 1s, [&](ExchangeResult it) { second = std::move(it); }); });
        loopback.run(20ms);
        loopback.acceptor.accept(loopback.peer);
        asio::write(loopback.peer, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
        std::this_thread::sleep_for(150ms);
        loopback.run();
        CPPUNIT_ASSERT(!second);
        CPPUNIT_ASSERT_EQUAL(0, loopback.closed);
        loopback.answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        CPPUNIT_ASSERT(second && *second);
    }

    /** Load pattern: the process is paused until after the timeout of a request whose whole response has arrived. The
     *  response takes several reads, and the timer ran after the first of them. */
    void longResponseThatWaitsAtTheTimeoutIsTaken()
    {
        PausedExchange exchange;
        exchange.respond("Content-Length: 50000\r\n", std::string(50'000, '-'));
        exchange.resumeAfterTimeout();
        CPPUNIT_ASSERT(exchange.result && *exchange.result);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 50'000 }, (*exchange.result)->body().size());
    }

    /** Load pattern: after a pause, more connections have input than one wait for events reports. Timers come before
     * the rest of them. */
    void responseBehindManyEventsIsTaken()
    {
        PausedExchange exchange;
        const ManyReadableSockets others(exchange.loopback.context);
        exchange.respond("Content-Length: 2\r\n", "ok");
        exchange.resumeAfterTimeout();
        CPPUNIT_ASSERT(exchange.result && *exchange.result);
    }

    /** The end of the connection is part of such a response. */
    void responseWithoutLengthThatWaitsAtTheTimeoutIsTaken()
    {
        PausedExchange exchange;
        exchange.respond("", std::string(50'000, '-'));
        exchange.loopback.peer.close();
        exchange.resumeAfterTimeout();
        CPPUNIT_ASSERT(exchange.result && *exchange.result);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 50'000 }, (*exchange.result)->body().size());
    }

    /** A look at the socket must not take the reset from it: what follows would look like the regular end. */
    void brokenResponseThatWaitsAtTheTimeoutStaysBroken()
    {
        PausedExchange exchange;
        exchange.respond("", std::string(50'000, '-'));
        exchange.loopback.peer.set_option(asio::socket_base::linger(true, 0));
        exchange.loopback.peer.close();
        exchange.resumeAfterTimeout();
        CPPUNIT_ASSERT(exchange.result && !*exchange.result);
        CPPUNIT_ASSERT(exchange.result->error().wasSent);
    }

    /** A faulty server may send bytes without an end. Each look at its connection finds some. */
    void serverThatKeepsSendingIsTimedOut()
    {
        PausedExchange exchange;
        exchange.respond("Content-Length: 8000000\r\n", "-");
        exchange.loopback.peer.non_blocking(true);
        std::size_t sent = 0;
        error_code ec;
        std::function<void()> sendMore = [&] {
            sent += exchange.loopback.peer.write_some(asio::buffer("-", 1), ec);
            if (!exchange.result)
                asio::post(exchange.loopback.context, sendMore);
        };
        sendMore();
        exchange.resumeAfterTimeout();
        CPPUNIT_ASSERT(exchange.result && !*exchange.result);
        CPPUNIT_ASSERT(sent < 1'000);
    }

    /** A faulty server may announce any length. Memory for the announced length must not be reserved (found by
     *  fuzz-responses). */
    void announcedLengthBeyondTheLimitEndsTheExchange()
    {
        for (const std::string head : { "HTTP/1.1 200 OK\r\n", "\r\nHTTP/1.1 200 OK\r\n" }) {
            Loopback loopback;
            loopback.request("/");
            loopback.answer(head + "Content-Length: 3000000000000000\r\nKeep-Alive: timeout=5\r\n\r\nabc");
            CPPUNIT_ASSERT(loopback.result && !*loopback.result);
            CPPUNIT_ASSERT(loopback.result->error().isMalformed);
        }
    }

    /** A process that is paused while it connects finds the connection open when it resumes. The request must not be
     *  sent then: the home regions, the server list and the remaining time by which it was decided are old. */
    void requestIsNotSentIfConnectingOutlastsItsTimeout()
    {
        Loopback loopback;
        std::optional<ExchangeResult> result;
        loopback.connection->send(
            HttpRequest(http::verb::get, "/", 11), nullptr, [&](ExchangeResult it) { result = std::move(it); });
        std::this_thread::sleep_for(ClientConnectionOptions {}.connectTimeout + 100ms);
        loopback.run();
        CPPUNIT_ASSERT(result && !*result);
        CPPUNIT_ASSERT(!result->error().wasSent);
        loopback.acceptor.accept(loopback.peer);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, loopback.peer.available());
    }

    /** A connection to a server that is often full may live for days and would use up the memory of the instance. */
    void refusalsAreRememberedWithABound()
    {
        Loopback loopback;
        loopback.request("/");
        loopback.answer("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        int refusals = 0;
        while (loopback.closed == 0 && refusals < 10'000) {
            const auto id = std::to_string(refusals++);
            CPPUNIT_ASSERT(!loopback.connection->hasRefused(id));
            loopback.connection->noteRefusal(id);
            CPPUNIT_ASSERT(loopback.connection->hasRefused("0") && loopback.connection->hasRefused(id));
        }
        CPPUNIT_ASSERT_EQUAL(1, loopback.closed);
        // A new connection costs a server the time of some requests, so that it must be rare.
        CPPUNIT_ASSERT(refusals >= 100);
    }

    void malformedResponsesAreToldApart()
    {
        for (const std::string bytes :
            { "not http at all\r\n\r\n", "HTTP/1.1 200 OK\r\nX-Id: wrong\r\nContent-Length: 0\r\n\r\n" }) {
            Loopback loopback;
            loopback.request("/");
            loopback.answer(bytes);
            CPPUNIT_ASSERT(loopback.result && !*loopback.result);
            CPPUNIT_ASSERT(loopback.result->error().isMalformed);
        }
    }

    /** Only a request of which no byte left may be sent elsewhere whatever its kind. */
    void refusedConnectionWasNotSent()
    {
        asio::io_context context;
        asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
        const auto endpoint = acceptor.local_endpoint();
        acceptor.close();
        auto connection
            = std::make_shared<ClientConnection>(context, endpoint, ClientConnectionOptions {}, nullptr, nullptr);
        std::optional<ExchangeResult> result;
        connection->send(
            HttpRequest(http::verb::get, "/", 11), nullptr, [&](ExchangeResult it) { result = std::move(it); });
        context.run_for(200ms);
        CPPUNIT_ASSERT(result && !*result && !result->error().wasSent);
    }

    /** A pooled connection that the server closes as the request leaves: the request may have run. */
    void serverThatClosesWasReached()
    {
        Loopback loopback;
        loopback.request("/1");
        loopback.answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        loopback.request("/2");
        loopback.peer.close();
        loopback.run();
        CPPUNIT_ASSERT(loopback.result && !*loopback.result);
        CPPUNIT_ASSERT(loopback.result->error().wasSent && loopback.result->error().wasReused);
    }

    void cancelledRequestClosesTheConnection()
    {
        Loopback loopback;
        loopback.request("/");
        loopback.connection->close();
        loopback.run();
        CPPUNIT_ASSERT(!loopback.result);
        CPPUNIT_ASSERT_EQUAL(1, loopback.closed);
        char byte = 0;
        error_code ec;
        while (!ec)
            loopback.peer.read_some(asio::buffer(&byte, 1), ec);
        CPPUNIT_ASSERT(ec == asio::error::eof || ec == asio::error::connection_reset);
    }

    void headAndInformationalResponses()
    {
        Loopback loopback;
        loopback.request("/", http::verb::head);
        loopback.answer("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
        CPPUNIT_ASSERT(loopback.result && *loopback.result);
        loopback.request("/");
        loopback.answer("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
        CPPUNIT_ASSERT(loopback.result && *loopback.result);
        CPPUNIT_ASSERT_EQUAL(std::string("x"), (*loopback.result)->body());
    }

    void keepAliveTimeIsRead()
    {
        Loopback loopback;
        loopback.request("/");
        loopback.answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=10, max=5\r\n\r\n");
        CPPUNIT_ASSERT(loopback.connection->keepAlive() == Duration { 10s });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientConnectionTest);
