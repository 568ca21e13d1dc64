// Guards `apply` and `diff`: the changes lead to the wanted document and touch nothing else.

#include "ChangeList.h"

#include <cppunit/extensions/HelperMacros.h>

namespace peridot {

using nlohmann::json;

class ChangeListTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ChangeListTest);
    CPPUNIT_TEST(equalDocumentsNeedNoChange);
    CPPUNIT_TEST(narrowChangesStayNarrow);
    CPPUNIT_TEST(keysAreWithdrawnOnlyWhenListed);
    CPPUNIT_TEST(drainsFollowTheDocument);
    CPPUNIT_TEST(impossibleDocumentsAreErrors);
    CPPUNIT_TEST_SUITE_END();

public:
    void equalDocumentsNeedNoChange() { CPPUNIT_ASSERT(changesBetween(current(), current())->empty()); }

    // A put_class for a new target would conflict with every other change of the class.
    void narrowChangesStayNarrow()
    {
        auto wanted = current();
        wanted["classes"][0]["target_latency_ms"] = 250;
        CPPUNIT_ASSERT(
            only(wanted) == (json { { "type", "set_target" }, { "class", "booking" }, { "target_latency_ms", 250 } }));
        wanted["classes"][0]["open"] = true;
        CPPUNIT_ASSERT_EQUAL(std::string("put_class"), only(wanted)["type"].get<std::string>());
        wanted["classes"][0]["target_latency_ms"] = 600;
        CPPUNIT_ASSERT(
            only(wanted) == (json { { "type", "set_route_open" }, { "class", "booking" }, { "open", true } }));
        wanted = current();
        wanted["workspaces"][0]["burst"] = 9;
        CPPUNIT_ASSERT(only(wanted)
            == (json { { "type", "set_rate" }, { "workspace", "korzo" }, { "rate_per_second", 10 }, { "burst", 9 } }));
    }

    // A key that a file merely does not mention must go on working.
    void keysAreWithdrawnOnlyWhenListed()
    {
        auto wanted = current();
        wanted["keys"] = json::array();
        CPPUNIT_ASSERT(changesBetween(current(), wanted)->empty());
        wanted["withdrawn_keys"] = { "korzo-1" };
        CPPUNIT_ASSERT(only(wanted) == (json { { "type", "withdraw_key" }, { "key", "korzo-1" } }));
    }

    void drainsFollowTheDocument()
    {
        auto wanted = current();
        wanted["drains"] = json::array({ { { "kind", "region" }, { "name", "zagorje" } } });
        const auto changes = changesBetween(current(), wanted);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, changes->size());
        CPPUNIT_ASSERT((*changes)[0]["name"] == "zagorje" && (*changes)[0]["drained"] == true);
        CPPUNIT_ASSERT((*changes)[1]["name"] == "jadran" && (*changes)[1]["drained"] == false);
        wanted.erase("drains");
        CPPUNIT_ASSERT(changesBetween(current(), wanted)->empty());
    }

    void impossibleDocumentsAreErrors()
    {
        auto wanted = current();
        wanted["services"] = { "other" };
        CPPUNIT_ASSERT(!changesBetween(current(), wanted).has_value());
        wanted = current();
        wanted["keys"][0]["hash"] = "11";
        CPPUNIT_ASSERT(!changesBetween(current(), wanted).has_value());
        CPPUNIT_ASSERT(!changesBetween(current(), json::array()).has_value());
        CPPUNIT_ASSERT(!changesBetween(current(), { { "classes", 5 } }).has_value());
    }

private:
    static json current()
    {
        return { { "services", { "stolic" } }, { "version", 4 },
            { "classes",
                { { { "id", "booking" }, { "service", "stolic" }, { "target_latency_ms", 600 }, { "open", false } } } },
            { "workspaces", { { { "id", "korzo" }, { "rate_per_second", 10 }, { "burst", 5 } } } },
            { "keys", { { { "id", "korzo-1" }, { "hash", "00" }, { "workspace", "korzo" } } } },
            { "drains", { { { "kind", "region" }, { "name", "jadran" } } } } };
    }

    static json only(const json& wanted)
    {
        const auto changes = changesBetween(current(), wanted);
        CPPUNIT_ASSERT(changes.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, changes->size());
        return changes->front();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChangeListTest);

}
