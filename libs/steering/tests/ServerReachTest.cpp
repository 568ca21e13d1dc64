// Whether an instance counts as cut off from all servers.

#include "steering/ServerReach.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1000s };
const BackendServerId first("i-1");
const BackendServerId second("i-2");

void failRound(ServerReach& reach, TimePoint now)
{
    CPPUNIT_ASSERT(reach.isRoundDue(now));
    const auto round = reach.beginRound(2, now);
    reach.probed(round, false, now);
    CPPUNIT_ASSERT(!reach.isRoundDue(now)); // A probe is open.
    reach.probed(round, false, now);
}

}

class ServerReachTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ServerReachTest);
    CPPUNIT_TEST(failuresOfOneServerAreNoCut);
    CPPUNIT_TEST(onlyFailedProbesDetach);
    CPPUNIT_TEST(silenceOfSeveralServersIsProbed);
    CPPUNIT_TEST(connectionsFromBeforeACutDoNotEndIt);
    CPPUNIT_TEST_SUITE_END();

public:
    void failuresOfOneServerAreNoCut()
    {
        ServerReach reach({});
        for (int i = 0; i < 20; ++i)
            reach.sendFailed(first, start + i * 50ms);
        CPPUNIT_ASSERT(!reach.isRoundDue(start + 1s));
        reach.sendFailed(second, start + 3s); // Long after the others.
        CPPUNIT_ASSERT(!reach.isRoundDue(start + 3s));
        reach.sendFailed(first, start + 3s);
        CPPUNIT_ASSERT(reach.isRoundDue(start + 3s));
    }

    /** Several servers may fail together. One that accepts a connection shows that the instance isn't cut off. */
    void onlyFailedProbesDetach()
    {
        ServerReach reach({});
        reach.sendFailed(first, start);
        reach.sendFailed(second, start);
        failRound(reach, start);
        CPPUNIT_ASSERT(!reach.isDetached());
        failRound(reach, start);
        CPPUNIT_ASSERT(reach.isDetached());
        failRound(reach, start + 200ms);
        const auto round = reach.beginRound(3, start + 400ms);
        reach.probed(round, false, start + 400ms);
        reach.probed(round, true, start + 400ms);
        CPPUNIT_ASSERT(!reach.isDetached());
        reach.probed(round, false, start + 700ms); // Late.
        CPPUNIT_ASSERT(!reach.isDetached() && !reach.isRoundDue(start + 5s));
    }

    void silenceOfSeveralServersIsProbed()
    {
        ServerReach reach({});
        reach.responded(start);
        reach.observeSilence(2, start + 100ms); // Another server has just responded.
        CPPUNIT_ASSERT(!reach.isRoundDue(start + 100ms));
        reach.observeSilence(1, start + 1s);
        CPPUNIT_ASSERT(!reach.isRoundDue(start + 1s));
        reach.observeSilence(2, start + 1s);
        CPPUNIT_ASSERT(reach.isRoundDue(start + 1s));
    }

    /** The result of a send comes long after its connection was opened. */
    void connectionsFromBeforeACutDoNotEndIt()
    {
        ServerReach reach({});
        reach.sendFailed(first, start);
        reach.sendFailed(second, start);
        reach.connected(start - 200ms);
        failRound(reach, start);
        failRound(reach, start);
        reach.connected(start - 100ms);
        CPPUNIT_ASSERT(reach.isDetached());
        reach.connected(start + 100ms);
        CPPUNIT_ASSERT(!reach.isDetached());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerReachTest);
