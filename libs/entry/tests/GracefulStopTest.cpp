// An instance that leaves: what callers have sent is answered before the process ends.

#include "GatewayHarness.h"

#include "entry/GracefulStop.h"

#include "support/ManyReadableSockets.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <thread>
#include <utility>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

class LeavingInstance : public GatewayAndRawServer {
public:
    explicit LeavingInstance(Duration lookupTime = 200ms)
        : lookups(context, {}, 10, [](const auto&) {})
        , stop(context, steering, gateway, callerServer, lookups, lookupTime, log, [this] { hasEnded = true; })
    {
    }

    /** Sends a request that the server receives and doesn't answer. */
    void run(const std::string& path)
    {
        send(path, "a seat", "POST");
        CPPUNIT_ASSERT(serverReceives(path));
    }

    /** The process stops listening. Then it doesn't run until it is due to end, and meets that before what
     *  @p happens. */
    void stall(const std::function<void()>& happens = [] {})
    {
        CPPUNIT_ASSERT(runUntil([this] { return !callerServer.isAccepting(); }));
        const ManyReadableSockets others(context);
        happens();
        std::this_thread::sleep_for(500ms);
        CPPUNIT_ASSERT(ends());
    }

    /** Gives the caller a new connection. */
    void connectCaller()
    {
        callerSocket = boost::asio::ip::tcp::socket(context);
        callerSocket.connect({ processLoopback(), callerServer.port() });
        callerSocket.non_blocking(true);
    }

    bool ends()
    {
        return runUntil([this] { return hasEnded; });
    }

    HttpServer lookups;
    GracefulStop stop;
    bool hasEnded = false;
};

}

class GracefulStopTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GracefulStopTest);
    CPPUNIT_TEST(endsOnceNothingHappens);
    CPPUNIT_TEST(serverThatStaysSilentDoesNotOutliveTheInstance);
    CPPUNIT_TEST(allRequestsOfAConnectionAreAnsweredByALateProcess);
    CPPUNIT_TEST(responseThatHasArrivedIsDeliveredByALateProcess);
    CPPUNIT_TEST(requestThatHasArrivedIsAnsweredByALateProcess);
    CPPUNIT_TEST(requestThatWaitsToBeAcceptedIsAnsweredByALateProcess);
    CPPUNIT_TEST(requestLateInTheGraceIsRejectedAtOnce);
    CPPUNIT_TEST(signalThatIsNoticedLateLeavesTimeForTheAnswers);
    CPPUNIT_TEST(requestWhoseBodyIsStillComingIsAnswered);
    CPPUNIT_TEST(unfinishedRequestBehindAnotherOneIsAnswered);
    CPPUNIT_TEST_SUITE_END();

public:
    void endsOnceNothingHappens()
    {
        LeavingInstance instance;
        instance.run("/1");
        instance.stop.begin(10s);
        instance.runUntil([] { return false; }, 700ms);
        CPPUNIT_ASSERT(!instance.hasEnded); // A request is open.
        instance.answer("whole");
        CPPUNIT_ASSERT(instance.receives("whole"));
        CPPUNIT_ASSERT(instance.ends());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, instance.callerServer.connectionCount());
    }

    /** Requests that were open when the process was killed got no answer. */
    void serverThatStaysSilentDoesNotOutliveTheInstance()
    {
        LeavingInstance instance;
        instance.run("/1");
        instance.stop.begin(700ms);
        CPPUNIT_ASSERT(instance.receives("timed_out"));
        CPPUNIT_ASSERT(!instance.hasEnded); // There is time left for the answer.
        CPPUNIT_ASSERT(instance.ends());
    }

    /** A late process answers its open requests and ends at once. The answers behind the first one of a connection
     *  wait for the next turn, and were never written. */
    void allRequestsOfAConnectionAreAnsweredByALateProcess()
    {
        LeavingInstance instance;
        instance.run("/1");
        const auto first = std::exchange(instance.server, boost::asio::ip::tcp::socket(instance.context));
        instance.run("/2");
        instance.stop.begin(400ms);
        instance.stall();
        CPPUNIT_ASSERT(instance.receives("timed_out"));
        const auto behindFirst = instance.received.find("timed_out") + 1;
        CPPUNIT_ASSERT_MESSAGE(
            instance.received, instance.received.find("timed_out", behindFirst) != std::string::npos);
    }

    /** A late process came to its end before it had read a response that waited in a socket, and answered that the
     *  request had timed out. */
    void responseThatHasArrivedIsDeliveredByALateProcess()
    {
        LeavingInstance instance;
        instance.run("/1");
        instance.stop.begin(400ms);
        instance.stall([&] { instance.answer("whole"); });
        CPPUNIT_ASSERT_MESSAGE(instance.received, instance.receives("whole"));
    }

    /** A late process closed connections with a request that waited in the socket. */
    void requestThatHasArrivedIsAnsweredByALateProcess()
    {
        LeavingInstance instance;
        instance.run("/1");
        instance.answer("first");
        CPPUNIT_ASSERT(instance.receives("first"));
        instance.stop.begin(400ms);
        instance.stall([&] { instance.send("/2"); });
        CPPUNIT_ASSERT_MESSAGE(instance.received, instance.receives("leaving"));
    }

    /** Closing the listener resets connections that the kernel has accepted and a late process has not. */
    void requestThatWaitsToBeAcceptedIsAnsweredByALateProcess()
    {
        LeavingInstance instance;
        instance.run("/1");
        instance.stop.begin(400ms);
        instance.connectCaller();
        instance.send("/2");
        std::this_thread::sleep_for(500ms);
        CPPUNIT_ASSERT_MESSAGE(instance.received, instance.receives("leaving"));
        CPPUNIT_ASSERT(instance.ends());
    }

    /** Requests that came late in the grace would be passed on and be cut at its end. */
    void requestLateInTheGraceIsRejectedAtOnce()
    {
        LeavingInstance instance;
        instance.run("/1");
        instance.stop.begin(2s);
        instance.runUntil([] { return false; }, 1'020ms);
        instance.connectCaller();
        instance.send("/2", "a seat", "POST");
        CPPUNIT_ASSERT(
            instance.runUntil([&] { return instance.received.find("leaving") != std::string::npos; }, 200ms));
    }

    /** A process that got no time when the signal came counted its grace from when it noticed the signal, and was
     * killed before it answered its open requests. */
    void signalThatIsNoticedLateLeavesTimeForTheAnswers()
    {
        LeavingInstance instance;
        instance.run("/1");
        const auto signalled = std::chrono::steady_clock::now();
        std::this_thread::sleep_for(400ms);
        instance.stop.begin(700ms);
        CPPUNIT_ASSERT(instance.receives("timed_out"));
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - signalled < 700ms);
    }

    /** The connection of a request that had not arrived whole was closed without an answer. */
    void requestWhoseBodyIsStillComingIsAnswered()
    {
        LeavingInstance instance;
        boost::asio::write(instance.callerSocket,
            boost::asio::buffer(std::string("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\na sea")));
        instance.runUntil([] { return false; }, 50ms);
        instance.stop.begin(600ms);
        CPPUNIT_ASSERT_MESSAGE(instance.received, instance.receives("HTTP/1.1 503"));
        CPPUNIT_ASSERT(instance.received.find("Retry-After") != std::string::npos);
        CPPUNIT_ASSERT(instance.ends());
    }

    void unfinishedRequestBehindAnotherOneIsAnswered()
    {
        LeavingInstance instance;
        instance.run("/1");
        boost::asio::write(instance.callerSocket,
            boost::asio::buffer(std::string("POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\na sea")));
        instance.runUntil([] { return false; }, 50ms);
        instance.stop.begin(600ms);
        CPPUNIT_ASSERT(instance.receives("timed_out"));
        const auto behindFirst = instance.received.find("timed_out");
        CPPUNIT_ASSERT_MESSAGE(instance.received, instance.runUntil([&] {
            return instance.received.find("HTTP/1.1 503", behindFirst) != std::string::npos;
        }));
        CPPUNIT_ASSERT(instance.ends());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GracefulStopTest);
