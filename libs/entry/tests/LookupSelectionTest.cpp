// Lookup answers must keep callers of homed routes out of regions that are neither theirs nor a home.

#include "entry/LookupSelection.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace peridot;

namespace {

const RegionId jadran("jadran");
const RegionId slavonija("slavonija");
const RegionId zagorje("zagorje");

MemberInfo member(const RegionId& region)
{
    MemberInfo member;
    member.region = region;
    member.callerAddress = region.value() + ":80";
    return member;
}

}

class LookupSelectionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LookupSelectionTest);
    CPPUNIT_TEST(callersRegionComesFirst);
    CPPUNIT_TEST(homesServeARegionWithoutInstances);
    CPPUNIT_TEST(allInstancesServeAHostWithoutHomes);
    CPPUNIT_TEST_SUITE_END();

public:
    void callersRegionComesFirst()
    {
        CPPUNIT_ASSERT((selectForLookup(m_ready, jadran, { zagorje }) == std::vector<std::string> { "jadran:80" }));
    }

    /** All instances of the caller's region are down. Answers named every other region, also those that are no home of
     *  the host's routes. */
    void homesServeARegionWithoutInstances()
    {
        CPPUNIT_ASSERT((selectForLookup(m_ready, slavonija, { zagorje }) == std::vector<std::string> { "zagorje:80" }));
    }

    void allInstancesServeAHostWithoutHomes()
    {
        const std::vector<std::string> all { "jadran:80", "zagorje:80" };
        CPPUNIT_ASSERT(selectForLookup(m_ready, slavonija, {}) == all);
        CPPUNIT_ASSERT(selectForLookup(m_ready, slavonija, { slavonija }) == all);
    }

private:
    const std::vector<MemberInfo> m_ready { member(jadran), member(zagorje) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(LookupSelectionTest);
