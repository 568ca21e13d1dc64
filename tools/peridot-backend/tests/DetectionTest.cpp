// Run counting and key detection: the checks of "at most once" and "no backend server sees a key" rest on them.

#include "BackendSettings.h"
#include "KeyDetector.h"
#include "RunRegistry.h"
#include "program/CheckedBody.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

using namespace peridot;

class DetectionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DetectionTest);
    CPPUNIT_TEST(findsKeysInEveryPlace);
    CPPUNIT_TEST(acceptsRequestsWithoutKeys);
    CPPUNIT_TEST(countsRunsAndDuplicates);
    CPPUNIT_TEST(forgetsOldestIdsBeyondLimit);
    CPPUNIT_TEST(checkedBodyTellsItsRequest);
    CPPUNIT_TEST(checkedBodyShowsDamage);
    CPPUNIT_TEST(rejectsBadSettings);
    CPPUNIT_TEST_SUITE_END();

    const KeyDetector m_detector { { "secret-of-a-caller" } };

    static ScreenedMessage message(std::string target, std::string name = "Accept", std::string value = "*/*")
    {
        return { std::move(target), { { std::move(name), std::move(value) } }, "" };
    }

public:
    void findsKeysInEveryPlace()
    {
        CPPUNIT_ASSERT(m_detector.find(message("/a", "authorization", "Bearer x")));
        CPPUNIT_ASSERT(m_detector.find(message("/a", "X-API-KEY", "x")));
        CPPUNIT_ASSERT(m_detector.find(message("/a?key=x")));
        CPPUNIT_ASSERT(m_detector.find(message("/a?b=1&key=x")));
        CPPUNIT_ASSERT(m_detector.find(message("/a?%6Bey=x")));
        CPPUNIT_ASSERT(m_detector.find(message("/a?key")));
        CPPUNIT_ASSERT(m_detector.find(message("/secret-of-a-caller")));
        CPPUNIT_ASSERT(m_detector.find(message("/a?b=secret%2Dof-a-caller")));
        CPPUNIT_ASSERT(m_detector.find(message("/a", "X-Other", "id.secret-of-a-caller")));
        auto withBody = message("/a");
        withBody.body = "{\"key\":\"secret-of-a-caller\"}";
        CPPUNIT_ASSERT(m_detector.find(withBody));
        // The place goes into the log, which must not hold a key.
        CPPUNIT_ASSERT(m_detector.find(message("/a", "secret-of-a-caller", "1"))->find("secret") == std::string::npos);
    }

    void acceptsRequestsWithoutKeys()
    {
        CPPUNIT_ASSERT(!m_detector.find(message("/key/keys?keys=1&monkey=2&a=key")));
        CPPUNIT_ASSERT(!m_detector.find(message("/a?b=%&c=%4", "X-Request-Id", "r-1")));
    }

    void countsRunsAndDuplicates()
    {
        RunRegistry registry(100);
        registry.record({ "r1", "e1", "POST", "/a", "s1" });
        registry.record({ "r2", "e1", "POST", "/a", "s2" });
        registry.record({ "r3", "e3", "GET", "/b", "s1" });
        registry.record({ "r3", "e4", "GET", "/b", "s2" });
        registry.record({ "", "", "GET", "/c", "s2" });
        const auto report = registry.report(true, "");
        CPPUNIT_ASSERT_EQUAL(5, report["runs"].get<int>());
        CPPUNIT_ASSERT_EQUAL(1, report["without_id"].get<int>());
        CPPUNIT_ASSERT_EQUAL(3, report["by_request_id"]["ids"].get<int>());
        CPPUNIT_ASSERT_EQUAL(2, report["by_request_id"]["counts"]["r3"].get<int>());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, report["by_request_id"]["duplicates"].size());
        const auto posts = registry.report(false, "POST");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, posts["by_request_id"]["duplicates"].size());
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), posts["by_echo"]["duplicates"].at(0)["id"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("s2"), posts["by_echo"]["duplicates"][0]["servers"].at(1).get<std::string>());
        registry.clear();
        CPPUNIT_ASSERT_EQUAL(0, registry.report(false, "")["runs"].get<int>());
    }

    void forgetsOldestIdsBeyondLimit()
    {
        RunRegistry registry(2);
        for (const auto* id : { "r1", "r2", "r3", "r1" })
            registry.record({ id, "", "GET", "/", "s" });
        const auto report = registry.report(true, "")["by_request_id"];
        CPPUNIT_ASSERT_EQUAL(2, report["ids"].get<int>());
        CPPUNIT_ASSERT_EQUAL(2, report["forgotten"].get<int>());
        CPPUNIT_ASSERT_EQUAL(1, report["counts"]["r1"].get<int>());
    }

    void checkedBodyTellsItsRequest()
    {
        for (const std::size_t bytes : { 0U, 100U, 1000U, 100000U }) {
            const auto body = makeCheckedBody({ "r\"1", "e1", "s1" }, bytes);
            CPPUNIT_ASSERT(bytes < 100 || body.size() == bytes);
            const auto head = parseCheckedBody(body);
            CPPUNIT_ASSERT(head.has_value());
            CPPUNIT_ASSERT(head->requestId == "r\"1" && head->echo == "e1" && head->server == "s1");
        }
    }

    void checkedBodyShowsDamage()
    {
        auto body = makeCheckedBody({ "r1", "e1", "s1" }, 500);
        CPPUNIT_ASSERT(!parseCheckedBody(body.substr(0, 499)));
        const auto checksum = contentChecksum(body);
        body[100] = body[100] == '0' ? '1' : '0';
        CPPUNIT_ASSERT(checksum != contentChecksum(body));
        CPPUNIT_ASSERT(!parseCheckedBody(body));
    }

    void rejectsBadSettings()
    {
        const std::string service = R"("services":[{"name":"a","median_ms":1,"p99_ms":2}],)";
        const std::string server
            = R"({"name":"a-1","region":"r","failure_domain":"r-1","service":"a","listen":"h:1","slots":1,)"
              R"("maximum_connections":9})";
        const std::string head = R"({"deployment":"d","control_listen":"h:9",)";
        const auto parse = [](const std::string& text) {
            return parseBackendSettings(parseJsonWithComments(text, "test").value(), "test");
        };
        CPPUNIT_ASSERT(parse(head + service + R"("servers":[)" + server + "]}"));
        CPPUNIT_ASSERT(!parse(head + service + R"("servers":[]})"));
        CPPUNIT_ASSERT(!parse(head + service + R"("servers":[)" + server + "," + server + "]}"));
        CPPUNIT_ASSERT(!parse(head + R"("services":[],"servers":[)" + server + "]}"));
        CPPUNIT_ASSERT(
            !parse(head + R"("caller_key_secrets":["short"],)" + service + R"("servers":[)" + server + "]}"));
        CPPUNIT_ASSERT(
            !parse(head + R"("services":[{"name":"a","median_ms":3,"p99_ms":2}],"servers":[)" + server + "]}"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DetectionTest);
