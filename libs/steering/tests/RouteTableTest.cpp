// Tests the selection of routes and workspaces from one version of the configuration.

#include "steering/RouteTable.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace peridot;

namespace {

Route route(const std::string& host, const std::string& prefix, const std::string& service = "salonik")
{
    Route route;
    route.name = host + prefix;
    route.host = host;
    route.pathPrefix = prefix;
    route.services = { { ServiceId(service), 1 } };
    return route;
}

RouteTableData data()
{
    RouteTableData data;
    data.version = 7;
    data.services = { { ServiceId("salonik"), "/health", 360, {}, 0 } };
    data.workspaces = { { WorkspaceId("kavana"), std::nullopt, 10, 10, {} } };
    data.keys = { { "secret", WorkspaceId("kavana") } };
    data.routes = { route("plesni.example", "/a/"), route("plesni.example", "/a/b/"), route("Caj.Example", "/") };
    return data;
}

}

class RouteTableTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RouteTableTest);
    CPPUNIT_TEST(longestPrefixWins);
    CPPUNIT_TEST(hostIgnoresCaseAndPort);
    CPPUNIT_TEST(queryIsNoPartOfThePath);
    CPPUNIT_TEST(unknownReferencesAreRejected);
    CPPUNIT_TEST(keysNameTheirWorkspace);
    CPPUNIT_TEST(hostHasTheHomesOfItsRoutes);
    CPPUNIT_TEST_SUITE_END();

public:
    /** A shorter prefix must not take the requests of a more specific route. */
    void longestPrefixWins()
    {
        const auto table = *RouteTable::create(data());
        CPPUNIT_ASSERT_EQUAL(std::string("/a/b/"), table->find("plesni.example", "/a/b/c")->pathPrefix);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/"), table->find("plesni.example", "/a/bc")->pathPrefix);
        CPPUNIT_ASSERT(!table->find("plesni.example", "/"));
        CPPUNIT_ASSERT(!table->find("other.example", "/a/"));
    }

    void hostIgnoresCaseAndPort()
    {
        const auto table = *RouteTable::create(data());
        CPPUNIT_ASSERT(table->find("caj.example:8206", "/x"));
        CPPUNIT_ASSERT(table->find("CAJ.EXAMPLE", "/x"));
    }

    void hostHasTheHomesOfItsRoutes()
    {
        auto homed = data();
        homed.routes[0].homeRegions = { RegionId("jadran") };
        homed.routes[1].homeRegions = { RegionId("jadran"), RegionId("zagorje") };
        const auto table = *RouteTable::create(homed);
        CPPUNIT_ASSERT((table->homeRegionsOfHost("Plesni.example:80")
            == std::set<RegionId> { RegionId("jadran"), RegionId("zagorje") }));
        CPPUNIT_ASSERT(table->homeRegionsOfHost("caj.example").empty());
        CPPUNIT_ASSERT(table->homeRegionsOfHost("other.example").empty());
    }

    /** A prefix in the query must not select a route. */
    void queryIsNoPartOfThePath()
    {
        const auto table = *RouteTable::create(data());
        CPPUNIT_ASSERT(!table->find("plesni.example", "/x?/a/b/"));
        CPPUNIT_ASSERT(table->find("plesni.example", "/a/?x=1"));
    }

    /** A configuration with an unresolvable reference must be rejected entirely, not applied in part. */
    void unknownReferencesAreRejected()
    {
        auto unknownService = data();
        unknownService.routes[0].services[0].service = ServiceId("missing");
        CPPUNIT_ASSERT(!RouteTable::create(unknownService));
        auto unknownWorkspace = data();
        unknownWorkspace.keys["other"] = WorkspaceId("missing");
        CPPUNIT_ASSERT(!RouteTable::create(unknownWorkspace));
        auto noService = data();
        noService.routes[0].services.clear();
        CPPUNIT_ASSERT(!RouteTable::create(noService));
    }

    void keysNameTheirWorkspace()
    {
        const auto table = *RouteTable::create(data());
        CPPUNIT_ASSERT_EQUAL(std::string("kavana"), table->workspaceOfKey("secret")->id.value());
        CPPUNIT_ASSERT(!table->workspaceOfKey(""));
        CPPUNIT_ASSERT(!table->workspaceOfKey("secret "));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteTableTest);
