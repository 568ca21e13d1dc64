// Parts of a rate that all entry instances share, and the requests that a part lets through.

#include "steering/RateDivision.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

const RegionId jadran("jadran");
const RegionId zagorje("zagorje");
const BackendServerId server("i-1");

std::vector<EntryInstance> instances(int count)
{
    std::vector<EntryInstance> result;
    result.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        result.push_back({ InstanceId("e-" + std::to_string(i)), i % 3 ? zagorje : jadran });
    return result;
}

struct Total {
    double rate = 0;
    int holders = 0;
};

/** Sums what the instances with an id of @p own use if they know the instances @p known. */
Total total(const std::vector<EntryInstance>& own, const std::vector<EntryInstance>& known, std::size_t turn = 0)
{
    Total total;
    for (const auto& it : own) {
        const auto part = RateDivision(it.id, known).part(server, jadran, 6, 5, turn);
        total.rate += part;
        total.holders += part > 0 ? 1 : 0;
    }
    return total;
}

}

class RateDivisionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RateDivisionTest);
    CPPUNIT_TEST(partsAddUpToTheRate);
    CPPUNIT_TEST(severedInstanceGetsNoMoreThanAPart);
    CPPUNIT_TEST(unusedTokensDoNotAccumulate);
    CPPUNIT_TEST_SUITE_END();

public:
    /** More holders, or parts that add up to more, would exceed the bound on the sum. */
    void partsAddUpToTheRate()
    {
        for (const int count : { 1, 3, 11, 80 }) {
            for (const std::size_t turn : { 0, 1, 7 }) {
                const auto sum = total(instances(count), instances(count), turn);
                CPPUNIT_ASSERT_DOUBLES_EQUAL(6, sum.rate, 1e-9);
                CPPUNIT_ASSERT_EQUAL(std::min(count, 5), sum.holders);
            }
        }
        CPPUNIT_ASSERT_EQUAL(6.0, RateDivision(InstanceId("e-0"), {}).part(server, jadran, 6, 5));
    }

    /** An instance without contact to the others may not take the rate for itself: the others still send. */
    void severedInstanceGetsNoMoreThanAPart()
    {
        auto known = instances(11);
        for (auto& it : known)
            it.isLive = it.id == InstanceId("e-1");
        const auto alone = total({ known[1] }, known);
        CPPUNIT_ASSERT(alone.rate > 0 && alone.rate < 3);
        // The others put it last, so that live instances hold all parts.
        auto others = instances(11);
        others[0].isLive = false;
        auto live = others;
        live.erase(live.begin());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(6, total(live, others).rate, 1e-9);
    }

    /** Tokens that had accumulated would let an idle instance send a burst. */
    void unusedTokensDoNotAccumulate()
    {
        const TimePoint start { 1000s };
        SendTokens tokens(0, start);
        CPPUNIT_ASSERT(!tokens.wait(0, start));
        tokens.setRate(2, start);
        CPPUNIT_ASSERT(tokens.wait(0, start) == Duration { 500ms });
        CPPUNIT_ASSERT(tokens.wait(1, start) == Duration { 1s });
        CPPUNIT_ASSERT(tokens.wait(0, start + 60s) == Duration { 0 });
        tokens.take();
        CPPUNIT_ASSERT(tokens.wait(0, start + 60s) == Duration { 500ms });
        // The rate holds from the change on, not for the time before.
        tokens.setRate(0, start + 60s);
        tokens.setRate(2, start + 90s);
        CPPUNIT_ASSERT(tokens.wait(0, start + 90s) == Duration { 500ms });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateDivisionTest);
