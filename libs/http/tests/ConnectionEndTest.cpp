// Ends of callers' connections: a request that has been sent is answered, whether or not the process has read it.

#include "LoopbackCaller.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <thread>

using namespace peridot;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/** A caller whose connection has been idle for a while. */
class IdleCaller : public Loopback {
public:
    IdleCaller()
    {
        send(get("/first"));
        CPPUNIT_ASSERT(receives("/first"));
        run(400ms);
    }
};

/** More connections than one poll of the kernel reports events for, and a timer that is due at each poll. */
struct ManyCallers {
    explicit ManyCallers(const HttpServerLimits& limits)
        : loopback(limits, 1'000)
        , timer(loopback.context)
    {
        tick();
        for (int i = 0; i < 300; ++i) {
            sockets.emplace_back(loopback.context);
            sockets.back().connect({ asio::ip::make_address("127.0.0.1"), loopback.server.port() });
        }
        CPPUNIT_ASSERT(loopback.runUntil([this] { return loopback.server.connectionCount() == sockets.size() + 1; }));
    }

    void send(const std::string& bytes)
    {
        std::this_thread::sleep_for(30ms); // The timer is due before the input comes.
        for (auto& socket : sockets)
            asio::write(socket, asio::buffer(bytes));
    }

    bool areAllHandled()
    {
        return loopback.runUntil([this] { return loopback.exchanges.size() == sockets.size(); });
    }

    void tick()
    {
        timer.expires_after(10ms);
        timer.async_wait([this](const boost::system::error_code& ec) {
            if (!ec)
                tick();
        });
    }

    Loopback loopback;
    asio::steady_timer timer;
    std::vector<asio::ip::tcp::socket> sockets;
};

}

class ConnectionEndTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConnectionEndTest);
    CPPUNIT_TEST(requestOnItsWayToADrainingServerIsAnswered);
    CPPUNIT_TEST(unreadRequestAtADrainingServerIsAnswered);
    CPPUNIT_TEST(requestOfAConnectionThatWaitsToBeAcceptedIsAnswered);
    CPPUNIT_TEST(lateProcessClosesNoConnectionWithARequestAtItsIdleLimit);
    CPPUNIT_TEST(lateProcessRejectsNoHeaderThatHasArrived);
    CPPUNIT_TEST(shorterIdleLimitSparesConnectionsThatAreIdle);
    CPPUNIT_TEST(idleConnectionThatIsClosedLeavesLaterInputUnread);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Load pattern: an instance leaves while requests on kept connections wait on its slow link. The drain ended the
     *  connections, and dropped the requests that arrived afterwards. */
    void requestOnItsWayToADrainingServerIsAnswered()
    {
        IdleCaller caller;
        caller.server.drain();
        caller.run(100ms);
        caller.send(get("/second"));
        CPPUNIT_ASSERT(caller.receives("/second"));
        CPPUNIT_ASSERT(caller.received.find("Connection: close") != std::string::npos);
        CPPUNIT_ASSERT(caller.ends());
    }

    /** Load pattern: an instance with little processor time leaves. A connection whose next request the process had not
     *  read counted as idle. */
    void unreadRequestAtADrainingServerIsAnswered()
    {
        IdleCaller caller;
        caller.send(get("/second"));
        std::this_thread::sleep_for(450ms);
        caller.server.drain();
        CPPUNIT_ASSERT(caller.receives("/second"));
        CPPUNIT_ASSERT(caller.received.find("Connection: close") != std::string::npos);
        CPPUNIT_ASSERT(caller.ends());
    }

    /** Load pattern: callers with an old lookup open connections until an instance with little processor time stops
     *  listening. The kernel had accepted them, the process had not, and closing the listener reset them. */
    void requestOfAConnectionThatWaitsToBeAcceptedIsAnswered()
    {
        Loopback caller;
        std::vector<asio::ip::tcp::socket> others;
        for (int i = 0; i < 20; ++i) {
            others.emplace_back(caller.context);
            others.back().connect({ asio::ip::make_address("127.0.0.1"), caller.server.port() });
        }
        caller.connect();
        caller.send(get("/last"));
        caller.server.stopAccepting();
        CPPUNIT_ASSERT(caller.receives("/last"));
    }

    /** A process that did not run for a while learns of more connections with input than one poll of the kernel
     * returns, and met its time limits before the rest. */
    void lateProcessClosesNoConnectionWithARequestAtItsIdleLimit()
    {
        HttpServerLimits limits;
        limits.idleTimeout = 1s;
        ManyCallers callers(limits);
        callers.send(get("/"));
        std::this_thread::sleep_for(1200ms);
        CPPUNIT_ASSERT(callers.areAllHandled());
    }

    /** A process that did not run for a while answered 408 to requests whose header had begun, before it read the rest
     *  that waited in the sockets. */
    void lateProcessRejectsNoHeaderThatHasArrived()
    {
        HttpServerLimits limits;
        limits.headerTimeout = 1s;
        ManyCallers callers(limits);
        const auto request = get("/");
        callers.send(request.substr(0, 10));
        callers.loopback.run(50ms);
        callers.send(request.substr(10));
        std::this_thread::sleep_for(1200ms);
        CPPUNIT_ASSERT(callers.areAllHandled());
    }

    /** Callers reuse connections for as long as the limit allows that they knew when they last used them. A shorter
     *  limit of a new configuration closed these connections at once. */
    void shorterIdleLimitSparesConnectionsThatAreIdle()
    {
        HttpServerLimits limits;
        limits.idleTimeout = 2s;
        Loopback caller(limits);
        caller.send(get("/first"));
        CPPUNIT_ASSERT(caller.receives("/first"));
        caller.run(500ms);
        limits.idleTimeout = 300ms;
        caller.server.setLimits(limits);
        CPPUNIT_ASSERT(!caller.ends(600ms));
        caller.send(get("/second"));
        CPPUNIT_ASSERT(caller.receives("/second"));
        caller.run(100ms);
        CPPUNIT_ASSERT(caller.ends(1s));
    }

    /** Input that was read and dropped after the close of an idle connection could not be told from a request that had
     *  begun to run. */
    void idleConnectionThatIsClosedLeavesLaterInputUnread()
    {
        Loopback loopback({}, 10);
        std::vector<asio::ip::tcp::socket> others;
        for (int i = 0; i < 8; ++i) {
            others.emplace_back(loopback.context);
            others.back().connect({ asio::ip::make_address("127.0.0.1"), loopback.server.port() });
        }
        // As the caller sees it: a server that ends only its own side counts the connection as ended later.
        CPPUNIT_ASSERT(loopback.ends());
        CPPUNIT_ASSERT(loopback.server.endedConnections().contains(CloseReason::Room));
        loopback.send(get("/late"));
        loopback.run(100ms);
        // The reset tells the caller's kernel that nobody has read the request.
        boost::system::error_code ec;
        asio::write(loopback.caller, asio::buffer("x", 1), ec);
        CPPUNIT_ASSERT(ec);
        CPPUNIT_ASSERT(loopback.exchanges.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionEndTest);
