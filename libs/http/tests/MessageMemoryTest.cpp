// The memory that callers can take: bodies that have no room are refused as not run, those without progress give way,
// and small requests are served beside large ones.

#include "LoopbackCaller.h"

#include "support/ManyReadableSockets.h"

#include <boost/asio/read.hpp>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <thread>
#include <vector>

using namespace peridot;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr std::size_t limit = 1'000'000;
constexpr std::size_t connectionBytes = 20'000; // More than a connection without a request takes.

std::string post(std::size_t announced, std::size_t sent)
{
    return "POST /large HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(announced) + "\r\n\r\n"
        + std::string(sent, 'b');
}

/** A server with an account whose time the test sets, and further callers. */
struct BoundedLoopback {
    explicit BoundedLoopback(HttpServerLimits limits = {}, std::size_t connections = 100)
        : loopback(limits, connections, account)
    {
    }

    /** Sends bytes on a connection of their own, which stays open, and handles them. */
    asio::ip::tcp::socket& sendOnAnother(const std::string& bytes)
    {
        others.emplace_back(loopback.context);
        others.back().connect({ asio::ip::make_address("127.0.0.1"), loopback.server.port() });
        asio::write(others.back(), asio::buffer(bytes));
        loopback.run(30ms);
        return others.back();
    }

    static std::string receivedOn(asio::ip::tcp::socket& socket)
    {
        std::string text(socket.available(), ' ');
        asio::read(socket, asio::buffer(text));
        return text;
    }

    TimePoint now {};
    std::shared_ptr<ByteAccount> account = std::make_shared<ByteAccount>(limit, [this] { return now; });
    Loopback loopback;
    std::vector<asio::ip::tcp::socket> others;
};

}

class MessageMemoryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MessageMemoryTest);
    CPPUNIT_TEST(bodyWithoutRoomIsRefusedBeforeItComes);
    CPPUNIT_TEST(bodyOverTheLimitIsRefusedAsTooLarge);
    CPPUNIT_TEST(refusalReachesACallerThatSendsItsBodyFirst);
    CPPUNIT_TEST(chunksAreCountedAsTheyCome);
    CPPUNIT_TEST(smallRequestIsServedBesideLargeOnes);
    CPPUNIT_TEST(stalledRequestGivesWay);
    CPPUNIT_TEST(openRequestsAreCounted);
    CPPUNIT_TEST(callerThatTakesNothingGivesWay);
    CPPUNIT_TEST(stalledRequestsMakeRoomForConnections);
    CPPUNIT_TEST(lateProcessRefusesNoRequestThatHasArrived);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Nothing bounded the bodies of all callers together. */
    void bodyWithoutRoomIsRefusedBeforeItComes()
    {
        BoundedLoopback bounded;
        auto& loopback = bounded.loopback;
        loopback.send(post(limit, 0));
        CPPUNIT_ASSERT(loopback.receives(" 503 "));
        CPPUNIT_ASSERT(loopback.receives("Retry-After: 1.000\r\n"));
        CPPUNIT_ASSERT(loopback.exchanges.empty());
        CPPUNIT_ASSERT(bounded.account->held() < connectionBytes);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, loopback.server.refusedInput().at(RefusalCause::Memory));
    }

    void bodyOverTheLimitIsRefusedAsTooLarge()
    {
        HttpServerLimits limits;
        limits.bodyBytes = 500'000;
        BoundedLoopback bounded(limits);
        bounded.loopback.send(post(limits.bodyBytes + limit, 0));
        CPPUNIT_ASSERT(bounded.loopback.receives(" 413 "));
        CPPUNIT_ASSERT(bounded.loopback.received.find("Retry-After") == std::string::npos);
    }

    /** The connection was reset a second after the refusal, and with it the statement that the request has not run. */
    void refusalReachesACallerThatSendsItsBodyFirst()
    {
        BoundedLoopback bounded;
        auto& caller = bounded.sendOnAnother(post(limit, 0));
        for (int i = 0; i < 20; ++i) {
            asio::write(caller, asio::buffer(std::string(limit / 20, 'b')));
            bounded.loopback.run(100ms);
        }
        CPPUNIT_ASSERT(BoundedLoopback::receivedOn(caller).starts_with("HTTP/1.1 503 "));
    }

    void chunksAreCountedAsTheyCome()
    {
        BoundedLoopback bounded;
        auto& loopback = bounded.loopback;
        const std::string chunk = "1000\r\n" + std::string(4'096, 'c') + "\r\n";
        loopback.send("POST /large HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
        std::size_t most = 0;
        for (int i = 0; i < 300 && loopback.received.empty(); ++i) {
            loopback.send(chunk);
            loopback.receives(" 503 ", 1ms);
            most = std::max(most, bounded.account->held());
        }
        CPPUNIT_ASSERT(loopback.receives(" 503 "));
        CPPUNIT_ASSERT(most > limit / 2 && most <= limit);
        CPPUNIT_ASSERT(loopback.exchanges.empty());
    }

    void smallRequestIsServedBesideLargeOnes()
    {
        BoundedLoopback bounded;
        for (int i = 0; i < 5; ++i)
            bounded.sendOnAnother(post(250'000, 100'000));
        bounded.loopback.send(get("/small"));
        CPPUNIT_ASSERT(bounded.loopback.receives("/small"));
        CPPUNIT_ASSERT(bounded.account->held() <= limit);
        // Three have room; they are not ended for those that came later or for a small one.
        for (std::size_t i = 0; i < 3; ++i)
            CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, bounded.others[i].available());
    }

    void stalledRequestGivesWay()
    {
        BoundedLoopback bounded;
        auto& stalled = bounded.sendOnAnother(post(700'000, 699'990));
        bounded.loopback.send(post(700'000, 0));
        CPPUNIT_ASSERT(bounded.loopback.receives(" 503 "));
        bounded.loopback.received.clear();
        bounded.now += 2s;
        bounded.loopback.connect();
        bounded.loopback.send(post(700'000, 700'000));
        CPPUNIT_ASSERT(bounded.loopback.receives(" 200 "));
        CPPUNIT_ASSERT(BoundedLoopback::receivedOn(stalled).starts_with("HTTP/1.1 503 "));
    }

    /** A connection may have many requests whose answers are due. */
    void openRequestsAreCounted()
    {
        BoundedLoopback bounded;
        auto& loopback = bounded.loopback;
        loopback.answersAtOnce = false;
        loopback.send(post(300'000, 300'000));
        loopback.send(post(300'000, 300'000));
        loopback.send(post(300'000, 0));
        loopback.runUntil([&] { return loopback.server.refusedInput().contains(RefusalCause::Memory); });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, loopback.exchanges.size());
        CPPUNIT_ASSERT(bounded.account->held() > 600'000);
        for (const auto& exchange : loopback.exchanges) {
            exchange->releaseRequestBody();
            exchange->respond(ok("done"));
        }
        CPPUNIT_ASSERT(bounded.account->held() < 100'000);
        CPPUNIT_ASSERT(loopback.receives(" 503 "));
    }

    /** Answers that nobody takes could fill the memory. */
    void callerThatTakesNothingGivesWay()
    {
        BoundedLoopback bounded;
        auto& loopback = bounded.loopback;
        loopback.answersAtOnce = false;
        loopback.send(get("/"));
        loopback.runUntil([&] { return !loopback.exchanges.empty(); });
        // More than the kernel takes for a caller that reads nothing.
        std::string largeAnswer;
        largeAnswer.resize(20'000'000, 'r');
        loopback.exchanges[0]->respond(ok(largeAnswer));
        loopback.context.run_for(100ms);
        bounded.now += 10s;
        auto& other = bounded.sendOnAnother(post(100'000, 0));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, other.available());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, loopback.server.endedConnections().at(CloseReason::Memory));
    }

    /** Connections with half a request kept everybody else out until their time limit. */
    void stalledRequestsMakeRoomForConnections()
    {
        HttpServerLimits limits;
        limits.headerTimeout = 60s;
        BoundedLoopback bounded(limits, 10);
        auto& loopback = bounded.loopback;
        for (int i = 0; i < 12; ++i)
            bounded.sendOnAnother(i % 2 == 0 ? post(100, 50) : "GET / HT");
        loopback.connect();
        loopback.send(get("/ordinary"));
        CPPUNIT_ASSERT(loopback.receives("/ordinary", 10s));
        CPPUNIT_ASSERT(loopback.server.refusedInput().at(RefusalCause::Connections) > 0);
        CPPUNIT_ASSERT(loopback.server.connectionCount() <= 10);
    }

    /** After a pause of the process its timers run before what came meanwhile is read. */
    void lateProcessRefusesNoRequestThatHasArrived()
    {
        BoundedLoopback bounded({}, 10);
        auto& loopback = bounded.loopback;
        for (int i = 0; i < 8; ++i)
            bounded.sendOnAnother(post(100, 50));
        const ManyReadableSockets others(loopback.context);
        std::this_thread::sleep_for(1'500ms);
        for (auto& caller : bounded.others)
            asio::write(caller, asio::buffer(std::string(50, 'b')));
        loopback.run(500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 8 }, loopback.exchanges.size());
        CPPUNIT_ASSERT(loopback.server.refusedInput().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageMemoryTest);
