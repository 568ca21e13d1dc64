// The callers against an entry point in the same process: look-ups, retries and outcomes.

#include "WorkspaceCallers.h"
#include "program/CheckedBody.h"
#include "program/FreePort.h"
#include "program/HttpEndpoint.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <set>

using namespace peridot;
using namespace std::chrono_literals;

class WorkspaceCallersTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WorkspaceCallersTest);
    CPPUNIT_TEST(completesRequestsAndCachesLookups);
    CPPUNIT_TEST(repeatsRefusedRequests);
    CPPUNIT_TEST(countsForeignResponses);
    CPPUNIT_TEST(usesNextAddressIfOneIsDown);
    CPPUNIT_TEST(keyedAttemptsShareTheirId);
    CPPUNIT_TEST(reportsMissingLookup);
    CPPUNIT_TEST_SUITE_END();

    NullEventLog m_log;
    RunAudit m_audit;
    std::string m_address;
    std::unique_ptr<HttpEndpoint> m_entry;
    std::vector<std::string> m_listed; // Addresses in look-up answers.
    std::function<HttpReply(const HttpRequest&)> m_serve;
    std::mutex m_mutex;
    std::vector<HttpRequest> m_requests; // Without look-ups. Guarded by m_mutex.
    std::atomic<int> m_lookups = 0;

    HttpReply handle(const HttpRequest& request)
    {
        if (request.path == "/v1/lookup") {
            ++m_lookups;
            nlohmann::json body { { "ttl_ms", 3600000 }, { "instances", nlohmann::json::array() } };
            for (const auto& address : m_listed)
                body["instances"].push_back({ { "address", address } });
            return { 200, body.dump() };
        }
        {
            std::lock_guard lock(m_mutex);
            m_requests.push_back(request);
        }
        return m_serve(request);
    }

    static HttpReply checked(const std::string& echo)
    {
        HttpReply reply { 200, makeCheckedBody({ "r", echo, "s" }, 200) };
        reply.headers["X-Content-Checksum"] = contentChecksum(reply.body);
        return reply;
    }

    static HttpReply refused() { return { 503, R"({"code":"overloaded","run":"not_run"})" }; }

    /** Runs closed-loop callers for a while, so that every run sends at least one request. */
    LoadStatistics run(const RequestKind& kind, std::uint32_t attempts = 1)
    {
        LoadSettings settings;
        settings.entryAddresses = { m_address };
        settings.duration = 50ms;
        settings.requestTimeout = 60s;
        CallerSettings caller;
        caller.workspace = "w";
        caller.key = "id.secret";
        caller.ratePerSecond = caller.burst = 1e6;
        caller.closedLoopCallers = 2;
        caller.attempts = attempts;
        caller.mix = { kind };
        auto callers = std::make_shared<WorkspaceCallers>(settings, caller, CallerRun { "run", 1 }, m_audit, m_log);
        callers->start();
        callers->wait();
        return callers->statistics();
    }

    static RequestKind kind(const std::string& method)
    {
        RequestKind value;
        value.service = "a";
        value.method = method;
        value.path = "/x";
        value.isIdempotent = method == "GET";
        return value;
    }

public:
    void setUp() override
    {
        m_address = freeLoopbackAddress();
        m_listed = { m_address };
        m_serve = [](const HttpRequest& request) { return checked(request.query.at("echo")); };
        m_entry = std::make_unique<HttpEndpoint>(m_address,
            [this](const HttpRequest& request, const HttpEndpoint::Respond& respond) { respond(handle(request)); });
        CPPUNIT_ASSERT(m_entry->open());
    }

    void tearDown() override
    {
        m_entry.reset();
        m_requests.clear();
        m_lookups = 0;
    }

    void completesRequestsAndCachesLookups()
    {
        const auto statistics = run(kind("GET"));
        CPPUNIT_ASSERT(statistics.sent() >= 2);
        CPPUNIT_ASSERT_EQUAL(statistics.sent(), statistics.count(Outcome::Completed));
        CPPUNIT_ASSERT_EQUAL(1, m_lookups.load());
        CPPUNIT_ASSERT_EQUAL(std::string("/a/x"), m_requests.at(0).path);
        CPPUNIT_ASSERT_EQUAL(std::string("Bearer id.secret"), m_requests[0].headers.at("authorization"));
    }

    void repeatsRefusedRequests()
    {
        m_serve = [](const HttpRequest& request) {
            return request.query.at("echo").ends_with(".2") ? checked(request.query.at("echo")) : refused();
        };
        const auto statistics = run(kind("POST"), 3);
        CPPUNIT_ASSERT(statistics.count(Outcome::Completed) >= 1);
        CPPUNIT_ASSERT_EQUAL(statistics.count(Outcome::Completed), statistics.count(Outcome::RefusedInside));
        CPPUNIT_ASSERT_EQUAL(statistics.sent(), 2 * statistics.count(Outcome::Completed));
    }

    void countsForeignResponses()
    {
        m_serve = [](const HttpRequest&) { return checked("another"); };
        const auto statistics = run(kind("GET"));
        CPPUNIT_ASSERT_EQUAL(statistics.sent(), statistics.count(Outcome::Wrong));
    }

    void usesNextAddressIfOneIsDown()
    {
        m_listed = { freeLoopbackAddress(), m_address };
        const auto statistics = run(kind("POST"));
        CPPUNIT_ASSERT(statistics.sent() >= 2);
        CPPUNIT_ASSERT_EQUAL(statistics.sent(), statistics.count(Outcome::Completed));
    }

    void keyedAttemptsShareTheirId()
    {
        m_serve = [](const HttpRequest&) { return refused(); };
        auto keyed = kind("POST");
        keyed.hasIdempotencyKey = true;
        run(keyed, 3);
        std::map<std::string, std::set<std::string>> echoes;
        for (const auto& request : m_requests)
            echoes[request.headers.at("idempotency-key")].insert(request.query.at("echo"));
        CPPUNIT_ASSERT(m_requests.size() > echoes.size());
        for (const auto& [key, values] : echoes)
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, values.size());
    }

    void reportsMissingLookup()
    {
        m_listed.clear();
        const auto statistics = run(kind("GET"));
        CPPUNIT_ASSERT(statistics.sent() >= 2);
        CPPUNIT_ASSERT_EQUAL(statistics.sent(), statistics.count(Outcome::Failed));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkspaceCallersTest);
