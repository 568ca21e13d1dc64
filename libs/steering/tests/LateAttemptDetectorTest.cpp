// Tests that callers who come back after a refusal are told apart from those who come first.

#include "steering/LateAttemptDetector.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace peridot;
using namespace std::chrono_literals;

class LateAttemptDetectorTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LateAttemptDetectorTest);
    CPPUNIT_TEST(attemptsAfterTheTargetAreLate);
    CPPUNIT_TEST(workspaceWithShortTimesIsNotLate);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Load pattern: callers wait for 1.7 to 2 s, and two of five requests are second attempts after 0.6 s. */
    void attemptsAfterTheTargetAreLate()
    {
        LateAttemptDetector detector;
        std::mt19937_64 random(3);
        std::uniform_int_distribution<int> patience(1'700, 2'000);
        int lateFirst = 0;
        int lateSecond = 0;
        for (int i = 0; i < 2'000; ++i) {
            const bool isSecond = i % 5 > 2;
            const auto remaining = std::chrono::milliseconds { patience(random) - (isSecond ? 600 : 0) };
            const bool isLate = detector.isLate("lookup", WorkspaceId("kavana"), remaining, 300ms);
            if (i >= 200)
                (isSecond ? lateSecond : lateFirst) += isLate ? 1 : 0;
        }
        CPPUNIT_ASSERT(lateFirst <= 20);
        CPPUNIT_ASSERT(lateSecond >= 700);
    }

    /** A workspace whose callers wait for a shorter time than those of others must not count as late. */
    void workspaceWithShortTimesIsNotLate()
    {
        LateAttemptDetector detector;
        for (int i = 0; i < 100; ++i) {
            CPPUNIT_ASSERT(!detector.isLate("lookup", WorkspaceId("kavana"), 2s, 300ms));
            CPPUNIT_ASSERT(!detector.isLate("lookup", WorkspaceId("zadruga"), 800ms, 300ms));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateAttemptDetectorTest);
