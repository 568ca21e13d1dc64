// Tests the timers on an io_context. Components are tested with timers that the test drives, so a fault of these would
// show only in the programs.

#include "entry/Timers.h"

#include <cppunit/extensions/HelperMacros.h>

namespace peridot {

namespace {

    using std::chrono::milliseconds;

}

class TimersTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TimersTest);
    CPPUNIT_TEST(handlerRunsOnceAfterItsDelay);
    CPPUNIT_TEST(cancelledHandlerDoesNotRun);
    CPPUNIT_TEST(newStartCancelsTheEarlierOne);
    CPPUNIT_TEST(destroyedTimerDoesNotRun);
    CPPUNIT_TEST_SUITE_END();

public:
    // A timer that runs early would shorten the pauses between calls of the store.
    void handlerRunsOnceAfterItsDelay()
    {
        const auto timer = m_timers.makeTimer();
        const auto start = m_timers.now();
        timer->start(milliseconds { 30 }, [&] {
            ++m_calls;
            CPPUNIT_ASSERT(timer->lateness() >= Duration { 0 });
        });
        CPPUNIT_ASSERT(timer->lateness() < Duration { 0 } || m_timers.now() - start >= milliseconds { 30 });
        CPPUNIT_ASSERT_EQUAL(0, m_calls);
        m_context.run();
        CPPUNIT_ASSERT_EQUAL(1, m_calls);
        CPPUNIT_ASSERT(m_timers.now() - start >= milliseconds { 30 });
    }

    // A handler of an abandoned operation must not run beside that of the next one.
    void cancelledHandlerDoesNotRun()
    {
        const auto timer = m_timers.makeTimer();
        timer->start(milliseconds { 5 }, [this] { ++m_calls; });
        timer->cancel();
        m_context.run();
        CPPUNIT_ASSERT_EQUAL(0, m_calls);
    }

    void newStartCancelsTheEarlierOne()
    {
        const auto timer = m_timers.makeTimer();
        timer->start(milliseconds { 5 }, [this] { m_calls += 10; });
        timer->start(milliseconds { 10 }, [this] { ++m_calls; });
        m_context.run();
        CPPUNIT_ASSERT_EQUAL(1, m_calls);
    }

    void destroyedTimerDoesNotRun()
    {
        m_timers.makeTimer()->start(milliseconds { 5 }, [this] { ++m_calls; });
        m_context.run();
        CPPUNIT_ASSERT_EQUAL(0, m_calls);
    }

private:
    boost::asio::io_context m_context;
    SteadyTimers m_timers { m_context };
    int m_calls = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TimersTest);

}
