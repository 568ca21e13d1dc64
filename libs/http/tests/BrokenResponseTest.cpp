// Responses that break off or are framed ambiguously, of servers and to callers: none may be taken for a whole one.

#include "LoopbackCaller.h"
#include "support/BrokenHeads.h"
#include "support/CutResponses.h"

#include "http/ClientConnection.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <linux/filter.h>
#include <sys/socket.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

using namespace peridot;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/** A connection with one open request, and the server's end of it. */
class OpenRequest {
public:
    OpenRequest(asio::io_context& context, asio::ip::tcp::acceptor& acceptor,
        HttpRequest request = HttpRequest(http::verb::get, "/", 11), const ClientConnectionOptions& options = {})
        : m_context(context)
        , m_connection(
              std::make_shared<ClientConnection>(context, acceptor.local_endpoint(), options, nullptr, nullptr))
        , server(context)
    {
        m_connection->send(std::move(request), nullptr, [this](ExchangeResult it) { result = std::move(it); });
        acceptor.accept(server);
        runReady();
    }

    ~OpenRequest()
    {
        m_connection->close();
        runReady();
    }

    /** Reads the request, so that closing the socket doesn't reset the connection. */
    void readRequest()
    {
        runUntil([this] { return server.available() > 0; });
        std::string head;
        asio::read_until(server, asio::dynamic_buffer(head), "\r\n\r\n");
    }

    void send(const std::string& bytes) { asio::write(server, asio::buffer(bytes)); }

    void sendIfOpen(const std::string& bytes)
    {
        error_code ec; // The connection may have refused the bytes before these.
        asio::write(server, asio::buffer(bytes), ec);
    }

    void runReady()
    {
        m_context.restart();
        m_context.poll();
    }

    bool runUntil(const std::function<bool()>& isDone)
    {
        const auto end = std::chrono::steady_clock::now() + 5s;
        while (!isDone() && std::chrono::steady_clock::now() < end) {
            m_context.restart();
            m_context.run_one_for(1ms);
        }
        return isDone();
    }

    bool isWhole()
    {
        CPPUNIT_ASSERT(runUntil([this] { return result.has_value(); }));
        return result->has_value();
    }

private:
    asio::io_context& m_context;
    std::shared_ptr<ClientConnection> m_connection;

public:
    asio::ip::tcp::socket server;
    std::optional<ExchangeResult> result;
};

/** A request that doesn't fit into the buffers of the sockets, so that the rest of it waits to be written. */
HttpRequest longRequest()
{
    HttpRequest request(http::verb::post, "/", 11);
    std::string body;
    body.resize(16'777'216, 'x');
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
}

}

class BrokenResponseTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BrokenResponseTest);
    CPPUNIT_TEST(responseCutAtAnyByteIsNotWhole);
    CPPUNIT_TEST(resetFoundByTheWriteDoesNotEndABody);
    CPPUNIT_TEST(lostConnectionFoundByTheWriteDoesNotEndABody);
    CPPUNIT_TEST(earlyResponseIsWholeIfItsConnectionWasClosed);
    CPPUNIT_TEST(ambiguousFramingIsRefused);
    CPPUNIT_TEST(brokenHeadIsRefused);
    CPPUNIT_TEST(headBeyondTheLimitIsRefusedHoweverItIsCut);
    CPPUNIT_TEST(soundHeadIsTakenAsItIs);
    CPPUNIT_TEST(answerThatBreaksOffIsShorterThanAnnounced);
    CPPUNIT_TEST_SUITE_END();

public:
    /** A server that ends within its response left a status with an empty or short body. */
    void responseCutAtAnyByteIsNotWhole()
    {
        for (const auto& cut : cutResponses("X-Id: 1\r\n")) {
            // The end arrives with the bytes, or after them.
            for (const bool isLater : { false, true }) {
                OpenRequest request(m_context, m_acceptor);
                request.readRequest();
                request.send(cut.bytes);
                if (isLater)
                    request.runReady();
                CPPUNIT_ASSERT_MESSAGE(cut.description(), !request.result);
                breakOff(request.server, cut.end);
                CPPUNIT_ASSERT_MESSAGE(cut.description(), !request.isWhole());
                CPPUNIT_ASSERT_MESSAGE(cut.description(), request.result->error().wasSent);
                const bool hasBegun = cut.end == BreakOff::Close && !cut.bytes.empty();
                CPPUNIT_ASSERT_EQUAL_MESSAGE(cut.description(), hasBegun, request.result->error().isCut);
            }
        }
    }

    /** A server that closes a connection with unread input resets it. If part of the request still waits to be written,
     *  the write gets the error, and the read finds an end like that of an orderly close. */
    void resetFoundByTheWriteDoesNotEndABody()
    {
        for (const std::string body : { "", "part" }) {
            for (const bool isLater : { false, true }) {
                OpenRequest request(m_context, m_acceptor, longRequest());
                request.send("HTTP/1.1 200 OK\r\n\r\n" + body);
                if (isLater)
                    request.runReady();
                breakOff(request.server, BreakOff::Close);
                CPPUNIT_ASSERT(!request.isWhole());
            }
        }
    }

    /** A connection that goes silent ends with the time for acknowledgements, which the write may find first as well.
     */
    void lostConnectionFoundByTheWriteDoesNotEndABody()
    {
        ClientConnectionOptions options;
        options.acknowledgeTimeout = 300ms;
        OpenRequest request(m_context, m_acceptor, longRequest(), options);
        request.send("HTTP/1.1 200 OK\r\n\r\npart");
        sock_filter drop[] = { BPF_STMT(BPF_RET | BPF_K, 0) };
        const sock_fprog filter { 1, drop };
        CPPUNIT_ASSERT_EQUAL(
            0, ::setsockopt(request.server.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter));
        // Makes room, so that the request's next part is sent, and lost.
        std::string input(1'048'576, ' ');
        request.server.read_some(asio::buffer(input));
        CPPUNIT_ASSERT(!request.isWhole());
    }

    /** A server may answer before it has read a long body, and end the connection. */
    void earlyResponseIsWholeIfItsConnectionWasClosed()
    {
        OpenRequest request(m_context, m_acceptor, longRequest());
        request.send("HTTP/1.1 200 OK\r\n\r\nwhole");
        request.server.shutdown(asio::ip::tcp::socket::shutdown_send);
        breakOff(request.server, BreakOff::Close);
        CPPUNIT_ASSERT(request.isWhole());
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), (*request.result)->body());
    }

    /** Where two parsers could find different ends of the body, the part that one of them finds must not pass for the
     *  whole. */
    void ambiguousFramingIsRefused()
    {
        for (const std::string response : { "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n",
                 "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 8\r\n",
                 "HTTP/1.1 200 OK\r\nContent-Length: 4, 8\r\n", "HTTP/1.1 200 OK\r\nContent-Length: +4\r\n",
                 "HTTP/1.1 200 OK\r\nContent-Length: 4x\r\n", "HTTP/1.1 200 OK\r\nContent-Length:\r\n",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip\r\n",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunke\r\n",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nContent-Length: 4\r\n",
                 "HTTP/1.1 200 OK\r\nContent-Length 4\r\n", "HTTP/1.1 200 OK\nContent-Length: 4\n",
                 "HTTP/0.9 200 OK\r\n", "HTTP/2.0 200 OK\r\n", "HTTP/1.1 20 OK\r\n", "HTTP/1.1 \r\n", "200 OK\r\n",
                 "four" }) {
            OpenRequest request(m_context, m_acceptor);
            request.readRequest();
            request.send(response);
            request.send("\r\n4\r\nfour\r\n0\r\n\r\n");
            breakOff(request.server, BreakOff::Close);
            CPPUNIT_ASSERT_MESSAGE(response, !request.isWhole());
        }
    }

    /** Statuses that no server may send, and lines whose field has no valid name, were taken for parts of a response.
     */
    void brokenHeadIsRefused()
    {
        for (const auto& broken : brokenHeads("X-Id: 1\r\n")) {
            for (const bool isCut : { false, true }) {
                OpenRequest request(m_context, m_acceptor);
                request.readRequest();
                request.send(broken.bytes.substr(0, isCut ? broken.cut : broken.bytes.size()));
                if (isCut) {
                    request.runReady();
                    request.sendIfOpen(broken.bytes.substr(broken.cut));
                }
                const auto description = broken.description(isCut);
                CPPUNIT_ASSERT_MESSAGE(description, !request.isWhole());
                CPPUNIT_ASSERT_MESSAGE(description, request.result->error().isMalformed);
                CPPUNIT_ASSERT_MESSAGE(description, !request.result->error().isCut);
                CPPUNIT_ASSERT_MESSAGE(description, request.result->error().wasSent);
            }
        }
    }

    /** Fields that the parser had taken from an earlier read didn't count. */
    void headBeyondTheLimitIsRefusedHoweverItIsCut()
    {
        const std::string field = "X-Field: " + std::string(89, 'x') + "\r\n";
        for (const std::size_t fields : { 320, 340 }) {
            std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";
            for (std::size_t i = 0; i < fields; ++i)
                response += field;
            response += "\r\n";
            for (const std::size_t cut : { 0, 100, 10'000, 20'000, 32'000 }) {
                OpenRequest request(m_context, m_acceptor);
                request.readRequest();
                request.send(response.substr(0, cut));
                request.runReady();
                request.sendIfOpen(response.substr(cut));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(cut), response.size() <= 32'768, request.isWhole());
            }
        }
    }

    void soundHeadIsTakenAsItIs()
    {
        for (const auto& sound : soundHeads("X-Id: 1\r\n")) {
            for (std::size_t cut = 0; cut < sound.bytes.size(); ++cut) {
                OpenRequest request(m_context, m_acceptor);
                request.readRequest();
                request.send(sound.bytes.substr(0, cut));
                request.runReady();
                request.send(sound.bytes.substr(cut));
                CPPUNIT_ASSERT_MESSAGE(sound.bytes, request.isWhole());
                const auto& response = **request.result;
                CPPUNIT_ASSERT_EQUAL_MESSAGE(sound.bytes, sound.status, response.result_int());
                CPPUNIT_ASSERT_EQUAL_MESSAGE(sound.bytes, std::string("one, two"), response.body());
                CPPUNIT_ASSERT_EQUAL_MESSAGE(sound.bytes, std::string("1"), std::string(response["X-Id"]));
                if (sound.field.empty())
                    continue;
                const auto colon = sound.field.find(": ");
                CPPUNIT_ASSERT_EQUAL(
                    sound.field.substr(colon + 2), std::string(response[sound.field.substr(0, colon)]));
            }
        }
    }

    /** A process that ends while it writes an answer must leave the caller with less than was announced, and without
     *  the answers behind it. */
    void answerThatBreaksOffIsShorterThanAnnounced()
    {
        std::string body;
        body.assign(33'554'432, 'x');
        Loopback loopback;
        loopback.answersAtOnce = false;
        loopback.send(get("/1") + get("/2"));
        loopback.run(20ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, loopback.exchanges.size());
        loopback.exchanges[1]->respond(ok("second"));
        loopback.exchanges[0]->respond(ok(body));
        loopback.run(20ms);
        loopback.server.closeAll();
        loopback.caller.non_blocking(false);
        std::string received;
        error_code ec;
        asio::read(loopback.caller, asio::dynamic_buffer(received), ec);
        CPPUNIT_ASSERT_EQUAL(error_code(asio::error::eof), ec);
        const auto head = received.substr(0, received.find("\r\n\r\n") + 4);
        CPPUNIT_ASSERT(head.find("\r\nContent-Length: " + std::to_string(body.size()) + "\r\n") != std::string::npos);
        CPPUNIT_ASSERT(received.size() > head.size() && received.size() < head.size() + body.size());
        CPPUNIT_ASSERT(received.find("second") == std::string::npos);
    }

private:
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor { m_context, { processLoopback(), 0 } };
};

CPPUNIT_TEST_SUITE_REGISTRATION(BrokenResponseTest);
