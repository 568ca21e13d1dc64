// Tests the conversion of numbers that other programs state into durations.

#include "base/Time.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <limits>

using namespace peridot;
using namespace std::chrono_literals;

class TimeTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TimeTest);
    CPPUNIT_TEST(secondsAreConverted);
    CPPUNIT_TEST(secondsOutOfRangeDontOverflow);
    CPPUNIT_TEST_SUITE_END();

public:
    void secondsAreConverted()
    {
        CPPUNIT_ASSERT(fromSeconds(1.5) == Duration { 1'500ms });
        CPPUNIT_ASSERT(fromSeconds(-0.25) == Duration { -250ms });
        CPPUNIT_ASSERT(fromSeconds(0) == Duration { 0 });
        CPPUNIT_ASSERT(fromSeconds(1.9e-6) == Duration { 1 });
    }

    /** Waits are quotients of rates, and a rate of nearly 0 makes them too large for an integer. The result of such a
     *  conversion is undefined, and one that just fits makes the next addition overflow. */
    void secondsOutOfRangeDontOverflow()
    {
        constexpr auto infinity = std::numeric_limits<double>::infinity();
        constexpr Duration longest = 1'000'000'000s;
        for (const auto seconds : { 1.1e9, 9.3e12, 1e300, infinity }) {
            CPPUNIT_ASSERT(fromSeconds(seconds) == longest);
            CPPUNIT_ASSERT(fromSeconds(-seconds) == -longest);
        }
        CPPUNIT_ASSERT(fromSeconds(std::numeric_limits<double>::quiet_NaN()) == Duration { 0 });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TimeTest);
