// Documents are read strictly, classes are found by whole path segments, and keys are told apart from wrong, unknown
// and withdrawn ones.

#include "Documents.h"
#include "config/Change.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <tuple>
#include <vector>

using namespace peridot;
using namespace peridot::testing;

class ConfigurationTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConfigurationTest);
    CPPUNIT_TEST(textRoundTrip);
    CPPUNIT_TEST(rejectsFaultyDocuments);
    CPPUNIT_TEST(findsLongestWholeSegmentPrefix);
    CPPUNIT_TEST(pathsThatServersResolveOtherwiseHaveNoClass);
    CPPUNIT_TEST(authenticates);
    CPPUNIT_TEST_SUITE_END();

public:
    void textRoundTrip()
    {
        auto configuration = smallConfiguration();
        const std::vector<Change> changes { SetDrain { { DrainKind::Instance, "i-1" }, true },
            WithdrawKey { KeyId("k2") }, SetTarget { ClassId("lookup"), std::chrono::milliseconds { 70 } } };
        configuration = applyChanges(configuration, 1, changes, "c1").value();
        const auto again = Configuration::parse(configuration.toJson(), "copy");
        CPPUNIT_ASSERT(again.has_value());
        CPPUNIT_ASSERT(*again == configuration);
    }

    void rejectsFaultyDocuments()
    {
        // The text that is replaced, its replacement, and what the error must name.
        const std::vector<std::tuple<std::string, std::string, std::string>> cases {
            { R"("open": true)", R"("opne": true)", "classes[0].opne" },
            { R"("open": true)", R"("open": "yes")", "classes[0].open" },
            { R"("burst": 200)", R"("burst": 0)", "workspaces[0].burst" },
            { R"("service": "salonik", "methods": ["GET"])", R"("service": "nowhere", "methods": ["GET"])",
                "classes[lookup].service" },
            { R"("workspace": "w2")", R"("workspace": "w3")", "keys[k2].workspace" },
            { R"("id": "k2")", R"("id": "k1")", "keys[1].id" },
            { R"("id": "k2")", R"("id": "k.2")", "keys[k.2].id" },
            { R"("methods": ["GET"])", R"("methods": ["get"])", "classes[lookup].methods" },
            { R"("/bookings")", R"("bookings")", "classes[booking].path_prefix" },
            { R"("/bookings")", R"("/")", "classes[lookup].path_prefix" },
            { R"("target_latency_ms": 80)", R"("target_latency_ms": 0.5)", "classes[1].target_latency_ms" },
            { R"("services": [)", R"("withdrawn_keys": ["k1"], "services": [)", "keys[k1].id" },
            { R"("services": [)", R"("version": -1, "services": [)", "version" },
        };
        for (const auto& [from, to, path] : cases) {
            auto text = smallDocument();
            text.replace(text.find(from), from.size(), to);
            const auto result = Configuration::parse(text, "test");
            CPPUNIT_ASSERT_MESSAGE(to, !result.has_value());
            CPPUNIT_ASSERT_MESSAGE(result.error().message, result.error().message.find(path) != std::string::npos);
        }
    }

    void findsLongestWholeSegmentPrefix()
    {
        const auto configuration = smallConfiguration();
        const auto find = [&](const char* method, const char* path) {
            const auto* found = configuration.findClass(ServiceId("salonik"), method, path);
            return found ? found->id.value() : std::string("none");
        };
        CPPUNIT_ASSERT_EQUAL(std::string("booking"), find("GET", "/bookings"));
        CPPUNIT_ASSERT_EQUAL(std::string("booking"), find("POST", "/bookings/7"));
        // "/bookings" must not capture other names that start with the same letters.
        CPPUNIT_ASSERT_EQUAL(std::string("lookup"), find("GET", "/bookings-archive"));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), find("POST", "/sessions"));
        CPPUNIT_ASSERT(!configuration.findClass(ServiceId("stolic"), "GET", "/"));
    }

    void pathsThatServersResolveOtherwiseHaveNoClass()
    {
        const auto configuration = smallConfiguration();
        // A request for an open route must not reach a closed one through the server's path resolution.
        for (const char* path : { "", "x", "//bookings", "/a/../bookings", "/a/./b", "/a/..;v=1/bookings", "/%2e%2e/b",
                 "/a%2Fb", "/a\\b", "/a%252fb", "/a\nb" })
            CPPUNIT_ASSERT_MESSAGE(path, !configuration.findClass(ServiceId("salonik"), "GET", path));
        CPPUNIT_ASSERT(configuration.findClass(ServiceId("salonik"), "GET", "/a/b.c/..d/%20/"));
    }

    void authenticates()
    {
        auto configuration = smallConfiguration();
        const auto key = configuration.authenticate("k1.s1");
        CPPUNIT_ASSERT(key.has_value());
        CPPUNIT_ASSERT(*key == (AuthenticatedKey { KeyId("k1"), WorkspaceId("w1") }));
        const auto refusal = [&](const char* presented) { return configuration.authenticate(presented).error(); };
        CPPUNIT_ASSERT(refusal("k1.s2") == KeyRefusal::Unknown);
        CPPUNIT_ASSERT(refusal("k2.s1") == KeyRefusal::Unknown);
        CPPUNIT_ASSERT(refusal("k3.s1") == KeyRefusal::Unknown);
        for (const char* malformed : { "", "k1", "k1.", ".s1", "k 1.s1" })
            CPPUNIT_ASSERT_MESSAGE(malformed, refusal(malformed) == KeyRefusal::Malformed);
        configuration = applyChanges(configuration, 1, { WithdrawKey { KeyId("k1") } }, "c1").value();
        CPPUNIT_ASSERT(refusal("k1.s1") == KeyRefusal::Withdrawn);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTest);
