// Limits that servers name on the requests of all instances together.

#include "LimitedFleet.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

// The bound holds from then on after a server has first named its limit.
constexpr Duration stableWindow = 4s;

}

class ServerLimitTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ServerLimitTest);
    CPPUNIT_TEST(allInstancesTogetherStayWithinALimit);
    CPPUNIT_TEST(manyInstancesStayWithinASmallLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    /** A limit that each instance obeyed alone, or not at all, would be exceeded many times over. */
    void allInstancesTogetherStayWithinALimit()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            LimitedFleet fleet(11, 18, 250, seed);
            fleet.run(4s);
            const double limits[] = { 7.5, 2.7, 0.4, 0 };
            for (std::size_t i = 0; i < 4; ++i)
                fleet.setLimit(i, limits[i]);
            const auto named = fleet.now();
            fleet.run(20s);
            for (std::size_t i = 0; i < 4; ++i)
                assertWithin(fleet, i, named + stableWindow, seed);
        }
    }

    /** One request of each instance would be more than a server takes in several seconds. */
    void manyInstancesStayWithinASmallLimit()
    {
        LimitedFleet fleet(80, 60, 1'600, 1);
        fleet.run(4s);
        for (std::size_t i = 0; i < 60; i += 5)
            fleet.setLimit(i, 2.7);
        const auto named = fleet.now();
        fleet.run(16s);
        for (std::size_t i = 0; i < 60; i += 5)
            assertWithin(fleet, i, named + stableWindow, 1);
    }

private:
    static void assertWithin(const LimitedFleet& fleet, std::size_t server, TimePoint from, std::uint64_t seed)
    {
        const auto excess = fleet.excess(server, from);
        CPPUNIT_ASSERT_MESSAGE("server " + std::to_string(server) + ", seed " + std::to_string(seed) + ": "
                + std::to_string(excess) + " requests more than allowed",
            excess <= 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerLimitTest);
