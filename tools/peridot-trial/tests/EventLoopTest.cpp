// Guards against runs that differ between repetitions because equal times run in another order.

#include "EventLoop.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace peridot::trial;
using std::chrono::milliseconds;

class EventLoopTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EventLoopTest);
    CPPUNIT_TEST(runsInOrderOfTimeThenInsertion);
    CPPUNIT_TEST(stopsAtTheEnd);
    CPPUNIT_TEST_SUITE_END();

public:
    void runsInOrderOfTimeThenInsertion()
    {
        EventLoop loop;
        std::string order;
        loop.at(milliseconds { 2 }, [&] { order += 'c'; });
        loop.at(milliseconds { 1 }, [&] {
            order += 'a';
            loop.after(milliseconds { 0 }, [&] { order += 'b'; });
            loop.after(milliseconds { 1 }, [&] { order += 'd'; });
        });
        loop.runUntil(milliseconds { 5 });
        CPPUNIT_ASSERT_EQUAL(std::string("abcd"), order);
    }

    void stopsAtTheEnd()
    {
        EventLoop loop;
        bool hasRun = false;
        loop.at(milliseconds { 3 }, [&] { hasRun = true; });
        loop.runUntil(milliseconds { 2 });
        CPPUNIT_ASSERT(!hasRun);
        CPPUNIT_ASSERT(loop.now() == milliseconds { 2 });
        loop.runUntil(milliseconds { 3 });
        CPPUNIT_ASSERT(hasRun);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLoopTest);
