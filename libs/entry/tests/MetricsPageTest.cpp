// Checks that the text of MetricsPage follows the Prometheus text exposition format.

#include "entry/MetricsPage.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <regex>
#include <sstream>

using namespace peridot;
using namespace std::chrono_literals;

class MetricsPageTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MetricsPageTest);
    CPPUNIT_TEST(everyLineMatchesExpositionFormat);
    CPPUNIT_TEST(histogramsAreCumulative);
    CPPUNIT_TEST_SUITE_END();

public:
    /** A scraper rejects the whole page if it can't parse one line, for example because of an unescaped label value. */
    void everyLineMatchesExpositionFormat()
    {
        NullEventLog log;
        TrafficSteering steering({}, 1, log);
        steering.begin(1, { "r", "h", "/", {}, {}, {} }, TimePoint { 10s });
        MetricsPage page;
        page.add(steering);
        page.gauge("peridot_test", "Quotes and line ends in a label.", 1.5, { { "name", "a\"b\\c\nd" } });
        const std::regex sample(R"RE([a-z_]+(\{([a-z_]+="([^"\\]|\\.)*",?)+\})? [-+0-9.eE]+)RE");
        const std::regex comment(R"(# (HELP|TYPE) [a-z_]+ .+)");
        std::istringstream lines(page.text());
        std::string line;
        std::size_t count = 0;
        for (; std::getline(lines, line); ++count)
            CPPUNIT_ASSERT_MESSAGE(line, std::regex_match(line, sample) || std::regex_match(line, comment));
        CPPUNIT_ASSERT(count > 20);
        CPPUNIT_ASSERT(page.text().find("peridot_rejected_total{reason=\"starting\"} 1\n") != std::string::npos);
    }

    /** Each bucket must include the counts of all smaller bounds. Otherwise quantiles that are computed from the
     *  buckets are wrong. */
    void histogramsAreCumulative()
    {
        LatencyHistogram histogram;
        histogram.add(25ms);
        histogram.add(90ms);
        histogram.add(20s);
        MetricsPage page;
        page.histogram("peridot_time", "Time.", histogram);
        const auto text = page.text();
        CPPUNIT_ASSERT(text.find("peridot_time_bucket{le=\"0.025\"} 1\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("peridot_time_bucket{le=\"0.1\"} 2\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("peridot_time_bucket{le=\"+Inf\"} 3\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("peridot_time_count 3\n") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsPageTest);
