// Requests and results must survive the JSON form unchanged, and malformed text must be refused with a clear message.

#include "store/StoreJson.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace peridot;

class StoreJsonTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StoreJsonTest);
    CPPUNIT_TEST(requestsSurviveRoundTrip);
    CPPUNIT_TEST(commitKeepsConditionsAndDeletions);
    CPPUNIT_TEST(binaryValuesSurvive);
    CPPUNIT_TEST(resultsSurviveRoundTrip);
    CPPUNIT_TEST(errorsSurviveRoundTrip);
    CPPUNIT_TEST(malformedRequestsAreRefused);
    CPPUNIT_TEST(malformedResultsAreProtocolViolations);
    CPPUNIT_TEST_SUITE_END();

    static StoreRequest roundTrip(const StoreRequest& request)
    {
        auto decoded = decodeStoreRequest(encodeStoreRequest(request));
        CPPUNIT_ASSERT_MESSAGE(decoded ? "" : decoded.error().describe(), decoded.has_value());
        return *decoded;
    }

    static StoreValue roundTrip(const StoreValue& value)
    {
        auto decoded = decodeStoreResult(encodeStoreResult(value));
        CPPUNIT_ASSERT_MESSAGE(decoded ? "" : decoded.error().describe(), decoded.has_value());
        return *decoded;
    }

    static PlatformInstance backendServer()
    {
        PlatformInstance instance;
        instance.kind = PlatformInstanceKind::BackendServer;
        instance.name = "salonik-1";
        instance.region = RegionId { "jadran" };
        instance.failureDomain = FailureDomainId { "jadran-1" };
        instance.service = ServiceId { "salonik" };
        instance.address = "127.0.0.1:21400";
        instance.slots = 8;
        instance.maximumConnections = 360;
        instance.state = PlatformInstanceState::Leaving;
        return instance;
    }

public:
    void requestsSurviveRoundTrip()
    {
        CPPUNIT_ASSERT(std::get<TableRead>(roundTrip(TableRead { { "a", "b" } })).keys.at(1) == "b");
        const auto scan = std::get<TableScan>(roundTrip(TableScan { "share/", 7 }));
        CPPUNIT_ASSERT_EQUAL(std::string("share/"), scan.prefix);
        CPPUNIT_ASSERT_EQUAL(7U, scan.limit);
        CPPUNIT_ASSERT(std::get<TableScan>(roundTrip(TableScan { "", 7 })).prefix.empty());
        CPPUNIT_ASSERT(std::get<ObjectPut>(roundTrip(ObjectPut { "config/1", "" })).value.empty());
        CPPUNIT_ASSERT(std::get<ObjectGet>(roundTrip(ObjectGet { "config/1" })).key == "config/1");
        CPPUNIT_ASSERT(std::holds_alternative<ListInstances>(roundTrip(ListInstances {})));
    }

    void commitKeepsConditionsAndDeletions()
    {
        const auto commit = std::get<TableCommit>(
            roundTrip(TableCommit { { { "a", 3 }, { "b", 0 } }, { { "a", "" }, { "b", std::nullopt } } }));
        CPPUNIT_ASSERT_EQUAL(RowVersion { 3 }, commit.conditions.at(0).expectedVersion);
        CPPUNIT_ASSERT_EQUAL(RowVersion { 0 }, commit.conditions.at(1).expectedVersion);
        CPPUNIT_ASSERT(commit.writes.at(0).value == std::string());
        CPPUNIT_ASSERT(!commit.writes.at(1).value);
    }

    // A claim row holds a recorded response, whose body may be any bytes.
    void binaryValuesSurvive()
    {
        std::string bytes;
        for (int i = 0; i < 256; ++i)
            bytes += static_cast<char>(i);
        for (std::size_t length = 0; length <= bytes.size(); ++length) {
            const auto part = bytes.substr(bytes.size() - length);
            CPPUNIT_ASSERT(std::get<ObjectPut>(roundTrip(ObjectPut { "k", part })).value == part);
        }
    }

    void resultsSurviveRoundTrip()
    {
        const auto rows = std::get<TableRows>(roundTrip(StoreValue { TableRows { { { "a", "\xff", 9 } } } })).rows;
        CPPUNIT_ASSERT(rows.at(0).key == "a" && rows[0].value == "\xff" && rows[0].version == 9);
        const auto commit
            = std::get<CommitResult>(roundTrip(StoreValue { CommitResult { true, { { "a", "1", 2 } } } }));
        CPPUNIT_ASSERT(commit.isCommitted && commit.current.at(0).version == 2);
        CPPUNIT_ASSERT(!std::get<CommitResult>(roundTrip(StoreValue { CommitResult { false, {} } })).isCommitted);
        CPPUNIT_ASSERT(!std::get<ObjectValue>(roundTrip(StoreValue { ObjectValue {} })).value);
        CPPUNIT_ASSERT(std::get<ObjectValue>(roundTrip(StoreValue { ObjectValue { "" } })).value == std::string());
        CPPUNIT_ASSERT(std::holds_alternative<ObjectStored>(roundTrip(StoreValue { ObjectStored {} })));
        const auto listed
            = std::get<InstanceList>(roundTrip(StoreValue { InstanceList { { backendServer() } } })).instances.at(0);
        CPPUNIT_ASSERT(listed.service == ServiceId { "salonik" } && listed.slots == 8);
        CPPUNIT_ASSERT(listed.maximumConnections == 360 && listed.state == PlatformInstanceState::Leaving);
        CPPUNIT_ASSERT(listed.kind == PlatformInstanceKind::BackendServer);
    }

    void errorsSurviveRoundTrip()
    {
        const auto decoded = decodeStoreResult(
            encodeStoreResult(makeError(ErrorCode::Unavailable, "step", "peer", "the store is \"down\"")));
        CPPUNIT_ASSERT(!decoded);
        CPPUNIT_ASSERT(decoded.error().code == ErrorCode::Unavailable);
        CPPUNIT_ASSERT_EQUAL(std::string("the store is \"down\""), decoded.error().message);
    }

    void malformedRequestsAreRefused()
    {
        for (const auto* text : { "", "{", "[]", "{}", R"({"type":"drop"})", R"({"type":"table_read"})",
                 R"({"type":"table_read","keys":[1]})", R"({"type":"table_scan","prefix":"a","limit":0})",
                 R"({"type":"table_commit","conditions":[{"key":"a","version":-1}],"writes":[]})",
                 R"({"type":"table_commit","conditions":[],"writes":[{"key":"a"}]})",
                 R"({"type":"table_commit","conditions":[],"writes":[{"key":"a","value":"1","delete":true}]})",
                 R"({"type":"object_put","key":"a","value_base64":"***"})", R"({"type":"object_get","key":""})",
                 R"({"type":"list_instances","extra":1})" }) {
            const auto decoded = decodeStoreRequest(text);
            CPPUNIT_ASSERT_MESSAGE(text, !decoded);
            CPPUNIT_ASSERT_MESSAGE(text, decoded.error().code == ErrorCode::InvalidArgument);
            CPPUNIT_ASSERT_MESSAGE(text, !decoded.error().message.empty());
        }
    }

    void malformedResultsAreProtocolViolations()
    {
        for (const auto* text : { "", "<html>", R"({"type":"commit","rows":[]})", R"({"type":"error","code":"x"})",
                 R"({"type":"table_rows","rows":[{"key":"a","version":1}]})" }) {
            const auto decoded = decodeStoreResult(text);
            CPPUNIT_ASSERT_MESSAGE(text, !decoded);
            CPPUNIT_ASSERT_MESSAGE(text, decoded.error().code == ErrorCode::ProtocolViolation);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreJsonTest);
