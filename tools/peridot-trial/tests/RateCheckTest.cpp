// Guards against a reference bucket that misses an overspend or reports one that is allowed.

#include "RateCheck.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace peridot::trial;
using std::chrono::milliseconds;
using std::chrono::seconds;

class RateCheckTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RateCheckTest);
    CPPUNIT_TEST(allowsBurstAndRate);
    CPPUNIT_TEST(findsOneRequestTooMany);
    CPPUNIT_TEST(findsAnOverspendSpreadOverALongWindow);
    CPPUNIT_TEST(loweredRateBindsAfterTheAllowance);
    CPPUNIT_TEST(raisedBurstIsNotThereAtOnce);
    CPPUNIT_TEST(offersAboveTheRateAreOutsideIt);
    CPPUNIT_TEST_SUITE_END();

public:
    void allowsBurstAndRate()
    {
        RateCheck check(10, 5);
        for (int n = 0; n < 5; ++n)
            CPPUNIT_ASSERT(check.admit(seconds { 1 }));
        for (int n = 1; n <= 20; ++n)
            CPPUNIT_ASSERT(check.admit(seconds { 1 } + n * milliseconds { 100 }));
    }

    void findsOneRequestTooMany()
    {
        RateCheck check(10, 5);
        for (int n = 0; n < 5; ++n)
            check.admit(seconds { 1 });
        CPPUNIT_ASSERT(!check.admit(seconds { 1 } + milliseconds { 99 }));
        CPPUNIT_ASSERT(check.admit(seconds { 1 } + milliseconds { 100 }));
    }

    void findsAnOverspendSpreadOverALongWindow()
    {
        // 1% above the rate, as a ledger with a fast clock would grant.
        RateCheck check(100, 10);
        int overspent = 0;
        for (int n = 0; n < 10000; ++n)
            overspent += check.admit(n * std::chrono::microseconds { 9900 }) ? 0 : 1;
        CPPUNIT_ASSERT(overspent > 50);
    }

    void loweredRateBindsAfterTheAllowance()
    {
        RateCheck check(100, 10);
        check.setLimit(10, 10, seconds { 1 });
        int late = 0;
        for (int n = 0; n < 1000; ++n) {
            const VirtualTime now = seconds { 1 } + n * milliseconds { 10 };
            const bool holds = check.admit(now);
            CPPUNIT_ASSERT(holds || now > seconds { 6 });
            late += holds ? 0 : 1;
        }
        CPPUNIT_ASSERT(late > 400);
    }

    void raisedBurstIsNotThereAtOnce()
    {
        RateCheck check(1, 2);
        CPPUNIT_ASSERT(check.admit(seconds { 1 }));
        CPPUNIT_ASSERT(check.admit(seconds { 1 }));
        check.setLimit(1, 100, seconds { 1 });
        CPPUNIT_ASSERT(!check.admit(seconds { 1 }));
    }

    void offersAboveTheRateAreOutsideIt()
    {
        RateCheck check(10, 5);
        for (int n = 0; n < 5; ++n)
            CPPUNIT_ASSERT(check.offer(seconds { 1 }));
        CPPUNIT_ASSERT(!check.offer(seconds { 1 }));
        CPPUNIT_ASSERT(!check.offer(seconds { 1 } + milliseconds { 100 }));
        CPPUNIT_ASSERT(check.offer(seconds { 3 }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateCheckTest);
