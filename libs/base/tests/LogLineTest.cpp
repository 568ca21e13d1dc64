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
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogLineTest);
