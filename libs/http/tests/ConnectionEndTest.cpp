// Ends of callers' connections: a request that has been sent is answered, whether or not the process has read it.

#include "LoopbackCaller.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <thread>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

/** A caller whose connection has been idle for longer than a drain lets it be. */
class IdleCaller : public Loopback {
public:
    IdleCaller()
    {
        send(get("/first"));
        CPPUNIT_ASSERT(receives("/first"));
        run(400ms);
    }
};

constexpr auto drainIdleTime = 300ms;

}

class ConnectionEndTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConnectionEndTest);
    CPPUNIT_TEST(requestOnItsWayToADrainingServerIsAnswered);
    CPPUNIT_TEST(unreadRequestAtADrainingServerIsAnswered);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Load pattern: an instance leaves while requests on kept connections wait on its slow link. The drain ended the
     *  connections, and dropped the requests that arrived afterwards. */
    void requestOnItsWayToADrainingServerIsAnswered()
    {
        IdleCaller caller;
        caller.server.drain(drainIdleTime);
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
        caller.server.drain(drainIdleTime);
        CPPUNIT_ASSERT(caller.receives("/second"));
        CPPUNIT_ASSERT(caller.received.find("Connection: close") != std::string::npos);
        CPPUNIT_ASSERT(caller.ends());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionEndTest);
