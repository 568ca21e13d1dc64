// Changes survive their JSON form, conflict exactly on shared fields, and apply together or not at all.

#include "config/Change.h"

#include "Documents.h"

#include <nlohmann/json.hpp>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace peridot;
using namespace peridot::testing;

class ChangeTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ChangeTest);
    CPPUNIT_TEST(jsonRoundTrip);
    CPPUNIT_TEST(rejectsFaultyJson);
    CPPUNIT_TEST(independentChangesAreRebased);
    CPPUNIT_TEST(conflictNamesFieldVersionAndWinner);
    CPPUNIT_TEST(appliesAllOrNone);
    CPPUNIT_TEST(withdrawnKeyIsNeverIssuedAgain);
    CPPUNIT_TEST_SUITE_END();

    static std::vector<Change> oneOfEach()
    {
        TrafficClass orders { ClassId("orders"), ServiceId("orkestar"), { "POST" }, "/orders", 7,
            std::chrono::milliseconds { 120 }, false, false };
        return { SetTarget { ClassId("lookup"), std::chrono::milliseconds { 40 } }, PutClass { orders },
            AddWorkspace { { WorkspaceId("w3"), 5, 6 } }, SetRate { WorkspaceId("w1"), 300, 400 },
            IssueKey { { KeyId("k3"), hashKey("k3.s3"), WorkspaceId("w3") } }, WithdrawKey { KeyId("k2") },
            SetRouteOpen { ClassId("booking"), true }, SetDrain { { DrainKind::BackendServer, "b-1" }, true } };
    }

public:
    void jsonRoundTrip()
    {
        const auto changes = oneOfEach();
        CPPUNIT_ASSERT_EQUAL(std::variant_size_v<Change>, changes.size());
        for (const auto& change : changes) {
            const auto json = changeToJson(change);
            const auto again = changeFromJson(json, "changes[0]");
            CPPUNIT_ASSERT_MESSAGE(json.dump(), again.has_value() && *again == change);
        }
    }

    void rejectsFaultyJson()
    {
        for (const char* text : { R"([])", R"({})", R"({"type":"rename"})", R"({"type":"set_target","class":"lookup"})",
                 R"({"type":"set_target","class":"lookup","target_latency_ms":0})",
                 R"({"type":"withdraw_key","key":"k1","when":"now"})",
                 R"({"type":"set_drain","kind":"city","name":"x","drained":true})",
                 R"({"type":"set_drain","kind":"region","name":"x"})",
                 R"({"type":"set_route_open","class":"lookup","open":1})",
                 R"({"type":"issue_key","id":"k3","workspace":"w1","hash":"AB"})" }) {
            const auto result = changeFromJson(nlohmann::json::parse(text), "changes[3]");
            CPPUNIT_ASSERT_MESSAGE(text, !result.has_value());
            CPPUNIT_ASSERT_MESSAGE(
                result.error().message, result.error().message.find("changes[3]") != std::string::npos);
        }
    }

    void independentChangesAreRebased()
    {
        auto configuration = smallConfiguration();
        ConfigurationVersion version = 1;
        for (const auto& change : oneOfEach()) {
            auto next = applyChanges(configuration, 1, { change }, "c" + std::to_string(version));
            CPPUNIT_ASSERT_MESSAGE(next ? "" : next.error().describe(), next.has_value());
            CPPUNIT_ASSERT_EQUAL(++version, next->version());
            configuration = std::move(*next);
        }
        CPPUNIT_ASSERT(configuration.hasService(ServiceId("orkestar")));
        CPPUNIT_ASSERT(configuration.isDrained(DrainKind::BackendServer, "b-1"));
        CPPUNIT_ASSERT_EQUAL(300U, configuration.findWorkspace(WorkspaceId("w1"))->ratePerSecond);
    }

    void conflictNamesFieldVersionAndWinner()
    {
        const auto base = smallConfiguration();
        const Change first = SetTarget { ClassId("lookup"), std::chrono::milliseconds { 40 } };
        const Change second = SetTarget { ClassId("lookup"), std::chrono::milliseconds { 60 } };
        const auto changed = applyChanges(base, 1, { first }, "c1").value();
        const auto conflict = findConflict(changed, 1, { second });
        CPPUNIT_ASSERT(conflict.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("classes/lookup/target_latency_ms"), conflict->field);
        CPPUNIT_ASSERT_EQUAL(ConfigurationVersion { 2 }, conflict->version);
        CPPUNIT_ASSERT_EQUAL(std::string("c1"), conflict->changeId);
        CPPUNIT_ASSERT(applyChanges(changed, 1, { second }, "c2").error().code == ErrorCode::Conflict);
        CPPUNIT_ASSERT(applyChanges(changed, 2, { second }, "c2").has_value());
        // Replacing the class touches its target as well.
        CPPUNIT_ASSERT(findConflict(changed, 1, { PutClass { *base.findClass(ClassId("lookup")) } }).has_value());
    }

    void appliesAllOrNone()
    {
        const auto base = smallConfiguration();
        const std::vector<Change> changes { SetRate { WorkspaceId("w1"), 1, 1 },
            SetTarget { ClassId("missing"), std::chrono::milliseconds { 1 } } };
        const auto result = applyChanges(base, 1, changes, "c1");
        CPPUNIT_ASSERT(result.error().code == ErrorCode::InvalidArgument);
        CPPUNIT_ASSERT(result.error().message.find("changes[1]") != std::string::npos);
        CPPUNIT_ASSERT(!applyChanges(base, 2, { changes.front() }, "c1").has_value()); // A base from the future.
        CPPUNIT_ASSERT(!applyChanges(base, 1, {}, "c1").has_value());
    }

    void withdrawnKeyIsNeverIssuedAgain()
    {
        const auto withdrawn = applyChanges(smallConfiguration(), 1, { WithdrawKey { KeyId("k1") } }, "c1").value();
        const Change again = IssueKey { { KeyId("k1"), hashKey("k1.new"), WorkspaceId("w1") } };
        CPPUNIT_ASSERT(!applyChanges(withdrawn, 2, { again }, "c2").has_value());
        CPPUNIT_ASSERT(!applyChanges(withdrawn, 2, { WithdrawKey { KeyId("k1") } }, "c2").has_value());
        const auto reloaded = Configuration::parse(withdrawn.toJson(), "copy").value();
        CPPUNIT_ASSERT(!applyChanges(reloaded, 2, { again }, "c2").has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChangeTest);
