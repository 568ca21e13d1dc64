// Text from callers must not be able to forge pairs or lines in the log.

#include "base/LogLine.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace peridot;

class LogLineTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LogLineTest);
    CPPUNIT_TEST(writesPairs);
    CPPUNIT_TEST(quotesForgedPairs);
    CPPUNIT_TEST(escapesLineBreaks);
    CPPUNIT_TEST(longValuesAreCut);
    CPPUNIT_TEST_SUITE_END();

public:
    void writesPairs()
    {
        LogLine line("route");
        line.add("request", RequestId("r1")).add("attempt", 2).add("wait_ms", Duration { 1500 }).add("local", true);
        CPPUNIT_ASSERT_EQUAL(std::string("event=route request=r1 attempt=2 wait_ms=1.500 local=true"), line.text());
    }

    void quotesForgedPairs()
    {
        LogLine line("route");
        line.add("path", "/a b=c\"d");
        CPPUNIT_ASSERT_EQUAL(std::string("event=route path=\"/a b=c\\\"d\""), line.text());
    }

    void escapesLineBreaks()
    {
        LogLine line("route");
        line.add("path", "x\nevent=fake");
        CPPUNIT_ASSERT_EQUAL(std::string("event=route path=\"x\\x0aevent=fake\""), line.text());
    }

    /** Errors quote input of other programs, such as a number of a megabyte. Thousands of lines are queued, so that
     *  long ones would take more memory than the process may have. */
    void longValuesAreCut()
    {
        const auto textOf = [](const std::string& value) { return LogLine("e").add("v", value).text(); };
        CPPUNIT_ASSERT_EQUAL("event=e v=" + std::string(1'000, 'x'), textOf(std::string(1'000, 'x')));
        CPPUNIT_ASSERT_EQUAL("event=e v=" + std::string(1'000, 'x') + "...", textOf(std::string(1'001, 'x')));
        CPPUNIT_ASSERT_EQUAL("event=e v=\"" + std::string(999, ' ') + "x...\"",
            textOf(std::string(999, ' ') + "x" + std::string(9, ' ')));
        CPPUNIT_ASSERT(textOf(std::string(1'000'000, '\n')).size() < 4'100);
        // A character of several bytes is left out whole.
        CPPUNIT_ASSERT_EQUAL(
            "event=e v=" + std::string(999, 'x') + "...", textOf(std::string(999, 'x') + "\u010d\u010d"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogLineTest);
