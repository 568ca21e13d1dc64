// How nodes act together: keys, budgets, at-most-once execution, loss of contact and graceful shutdown.

#include "support/SmallFleet.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace peridot;
using namespace std::chrono_literals;

class NodeTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(NodeTest);
    CPPUNIT_TEST(servesAfterBootstrap);
    CPPUNIT_TEST(looksUpHomeRegionFirst);
    CPPUNIT_TEST(refusesWithoutValidKey);
    CPPUNIT_TEST(servesOpenRouteWithoutKey);
    CPPUNIT_TEST(keepsWorkspaceWithinRateAndBurst);
    CPPUNIT_TEST(servesSteadyDemandInsideTheRate);
    CPPUNIT_TEST(withdrawnKeyIsRefusedEverywhere);
    CPPUNIT_TEST(withdrawnKeyStopsWaitingRequests);
    CPPUNIT_TEST(isolatedInstanceRefusesKeyedRequests);
    CPPUNIT_TEST(goesOnWhileStoreIsDownForAll);
    CPPUNIT_TEST(neverRepeatsFailedNonIdempotentRequest);
    CPPUNIT_TEST(repeatsShedRequestWithinRetryBudget);
    CPPUNIT_TEST(refusalAfterAFailedAttemptSaysUnknown);
    CPPUNIT_TEST(idempotencyKeyRunsOnce);
    CPPUNIT_TEST(conflictingChangesOfTwoOperators);
    CPPUNIT_TEST(leavingInstanceDrains);
    CPPUNIT_TEST(leavingServerGetsNoNewWork);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<SmallFleet> m_fleet;

    void start(int rate = 100, int burst = 50)
    {
        m_fleet = std::make_unique<SmallFleet>();
        m_fleet->run(1s);
        m_fleet->bootstrap(SmallFleet::document(rate, burst));
        CPPUNIT_ASSERT_MESSAGE("the fleet gets ready", m_fleet->runUntil([&] { return m_fleet->isReady(); }, 10s));
        // The ledgers start without tokens and the shares are split first.
        m_fleet->run(3s);
    }

    bool wasRefused(const RequestId& id, const std::string& code, RunState run = RunState::NotRun)
    {
        auto it = m_fleet->refusals.find(id);
        return it != m_fleet->refusals.end() && it->second.code == code && it->second.run == run;
    }

    std::size_t dispatchCount(const RequestId& id)
    {
        auto it = m_fleet->dispatches.find(id);
        return it == m_fleet->dispatches.end() ? 0 : it->second.size();
    }

    /** Requests at a fixed rate at all instances in turn; returns how many were dispatched. */
    int drive(int perStep, Duration duration, const std::string& workspace, int* refused = nullptr)
    {
        std::vector<RequestId> ids;
        std::size_t next = 0;
        for (const auto end = m_fleet->now + duration; m_fleet->now < end;) {
            for (int i = 0; i < perStep; ++i) {
                const auto& name = m_fleet->names()[next++ % m_fleet->names().size()];
                ids.push_back(m_fleet->request(name, "GET", "/booking/search", SmallFleet::key(workspace)));
            }
            m_fleet->runStep();
        }
        m_fleet->run(1s);
        int dispatched = 0;
        for (const auto& id : ids)
            dispatched += dispatchCount(id) > 0;
        if (refused)
            *refused = static_cast<int>(ids.size()) - dispatched;
        return dispatched;
    }

public:
    void servesAfterBootstrap()
    {
        start();
        const auto id = m_fleet->request("a1", "GET", "/booking/search", SmallFleet::key("small"));
        m_fleet->run(100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, dispatchCount(id));
        CPPUNIT_ASSERT(!m_fleet->refusals.contains(id));
    }

    void looksUpHomeRegionFirst()
    {
        start();
        const auto result = m_fleet->node("a1").lookup({ ServiceId("booking"), "10.2.0.9" }, m_fleet->now);
        const auto& response = std::get<LookupResponse>(result);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), response.instances.at(0).region.value());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), response.instances.at(1).region.value());
        CPPUNIT_ASSERT(response.instances.at(0).failureDomain != response.instances.at(1).failureDomain);
        // One instance of each other region follows, for the case that the home region is lost.
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, response.instances.size());
    }

    void refusesWithoutValidKey()
    {
        start();
        const auto missing = m_fleet->request("a1", "GET", "/booking/search", "");
        const auto malformed = m_fleet->request("a1", "GET", "/booking/search", "nodot");
        const auto unknown = m_fleet->request("a1", "GET", "/booking/search", "small-key.wrong");
        const auto route = m_fleet->request("a1", "GET", "/booking/other", SmallFleet::key("small"));
        const auto service = m_fleet->request("a1", "GET", "/nothing", SmallFleet::key("small"));
        CPPUNIT_ASSERT(wasRefused(missing, "missing_key"));
        CPPUNIT_ASSERT(wasRefused(malformed, "malformed_key"));
        CPPUNIT_ASSERT(wasRefused(unknown, "unknown_key"));
        CPPUNIT_ASSERT(wasRefused(route, "unknown_route"));
        CPPUNIT_ASSERT(wasRefused(service, "unknown_service"));
        CPPUNIT_ASSERT(m_fleet->dispatches.empty());
    }

    void servesOpenRouteWithoutKey()
    {
        start();
        const auto id = m_fleet->request("c1", "GET", "/booking/news", "");
        m_fleet->run(100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, dispatchCount(id));
    }

    void keepsWorkspaceWithinRateAndBurst()
    {
        start(100, 50);
        const int admitted = drive(10, 5s, "large");
        // 5 s of the rate, the burst, and one unit of rounding at the window's edge.
        CPPUNIT_ASSERT_MESSAGE("admitted " + std::to_string(admitted), admitted <= 100 * 5 + 50 + 1);
        // Half of the rate must be usable even though the demand at each instance is split evenly.
        CPPUNIT_ASSERT_MESSAGE("admitted " + std::to_string(admitted), admitted >= 100 * 5 / 2);
    }

    void servesSteadyDemandInsideTheRate()
    {
        start(400, 200);
        int refused = 0;
        drive(1, 5s, "large", &refused); // One request per step is 200 a second.
        CPPUNIT_ASSERT_EQUAL(0, refused);
    }

    void withdrawnKeyIsRefusedEverywhere()
    {
        start();
        const auto answer = m_fleet->operate(
            "b1", "change-1", "POST", "/changes", R"({"changes":[{"type":"withdraw_key","key":"small-key"}]})");
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, std::uint16_t { 200 }, answer.status);
        m_fleet->run(5s);
        for (const auto& name : m_fleet->names()) {
            const auto id = m_fleet->request(name, "GET", "/booking/search", SmallFleet::key("small"));
            CPPUNIT_ASSERT(wasRefused(id, "withdrawn_key"));
        }
        CPPUNIT_ASSERT_EQUAL(m_fleet->names().size(), m_fleet->closed.size());
    }

    void withdrawnKeyStopsWaitingRequests()
    {
        start(1000, 500);
        m_fleet->completesAtOnce = false;
        // More than all slots of the service, so that some requests wait.
        constexpr int requests = 120;
        std::vector<RequestId> ids;
        ids.reserve(requests);
        for (int i = 0; i < requests; ++i)
            ids.push_back(m_fleet->request("a1", "GET", "/booking/search", SmallFleet::key("small")));
        m_fleet->run(100ms);
        const auto dispatched = m_fleet->dispatches;
        CPPUNIT_ASSERT(dispatched.size() + m_fleet->refusals.size() < ids.size());
        m_fleet->operate(
            "b1", "change-1", "POST", "/changes", R"({"changes":[{"type":"withdraw_key","key":"small-key"}]})");
        const auto before = m_fleet->dispatches.size();
        for (const auto& [id, dispatch] : dispatched)
            m_fleet->finish("a1", id, {});
        m_fleet->run(1s);
        CPPUNIT_ASSERT_EQUAL(before, m_fleet->dispatches.size());
    }

    void isolatedInstanceRefusesKeyedRequests()
    {
        start();
        m_fleet->setIsolated("c2", true);
        m_fleet->withoutStore.insert("c2");
        m_fleet->run(4500ms);
        const auto keyed = m_fleet->request("c2", "GET", "/booking/search", SmallFleet::key("small"));
        const auto open = m_fleet->request("c2", "GET", "/booking/news", "");
        m_fleet->run(100ms);
        CPPUNIT_ASSERT(wasRefused(keyed, "no_contact"));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, dispatchCount(open));
        m_fleet->setIsolated("c2", false);
        m_fleet->withoutStore.clear();
        CPPUNIT_ASSERT(m_fleet->runUntil([&] { return m_fleet->isReady(); }, 10s));
    }

    void goesOnWhileStoreIsDownForAll()
    {
        start();
        m_fleet->withoutStore = { m_fleet->names().begin(), m_fleet->names().end() };
        int refused = 0;
        m_fleet->run(20s);
        const auto request = m_fleet->request("b2", "GET", "/booking/search", SmallFleet::key("small"));
        m_fleet->run(500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, dispatchCount(request));
        drive(1, 100ms, "large", &refused);
        CPPUNIT_ASSERT_EQUAL(0, refused);
        const auto claimed = m_fleet->request("b2", "POST", "/booking/book", SmallFleet::key("small"), "order-1");
        m_fleet->run(5s);
        CPPUNIT_ASSERT(wasRefused(claimed, "store_unavailable"));
    }

    void neverRepeatsFailedNonIdempotentRequest()
    {
        start();
        drive(1, 500ms, "large");
        m_fleet->completesAtOnce = false;
        const auto id = m_fleet->request("a1", "POST", "/booking/book", SmallFleet::key("large"));
        m_fleet->run(100ms);
        CPPUNIT_ASSERT(m_fleet->dispatches.at(id).at(0).needsFreshConnection);
        DispatchOutcome outcome;
        outcome.kind = DispatchOutcomeKind::Failed;
        m_fleet->finish("a1", id, outcome);
        m_fleet->run(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, dispatchCount(id));
        CPPUNIT_ASSERT(wasRefused(id, "backend_failed", RunState::Unknown));
    }

    void repeatsShedRequestWithinRetryBudget()
    {
        start(400, 200);
        drive(1, 1s, "large"); // Fills the retry budget of the class.
        m_fleet->completesAtOnce = false;
        const auto id = m_fleet->request("a1", "GET", "/booking/search", SmallFleet::key("large"));
        m_fleet->run(100ms);
        const auto first = m_fleet->dispatches.at(id).at(0).backendServer;
        DispatchOutcome outcome;
        outcome.kind = DispatchOutcomeKind::Shed;
        m_fleet->finish("a1", id, outcome);
        m_fleet->run(100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, dispatchCount(id));
        CPPUNIT_ASSERT(m_fleet->dispatches.at(id).at(1).backendServer != first);
    }

    /** An attempt ends without a response, the next ones are shed: the last refusal must not say that nothing has run.
     */
    void refusalAfterAFailedAttemptSaysUnknown()
    {
        start(400, 200);
        drive(1, 1s, "large"); // Fills the retry budget of the class.
        m_fleet->completesAtOnce = false;
        const auto id = m_fleet->request("a1", "GET", "/booking/search", SmallFleet::key("large"));
        m_fleet->run(100ms);
        DispatchOutcome outcome;
        outcome.kind = DispatchOutcomeKind::Failed;
        for (std::size_t sent = 1; dispatchCount(id) == sent && !m_fleet->refusals.contains(id); ++sent) {
            m_fleet->finish("a1", id, outcome);
            m_fleet->run(100ms);
            outcome.kind = DispatchOutcomeKind::Shed;
        }
        CPPUNIT_ASSERT(dispatchCount(id) > 1);
        CPPUNIT_ASSERT(m_fleet->refusals.at(id).run == RunState::Unknown);
    }

    void idempotencyKeyRunsOnce()
    {
        start();
        const auto first = m_fleet->request("a1", "POST", "/booking/book", SmallFleet::key("large"), "order-1");
        const auto second = m_fleet->request("b1", "POST", "/booking/book", SmallFleet::key("large"), "order-1");
        m_fleet->run(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, dispatchCount(first) + dispatchCount(second));
        const auto third = m_fleet->request("c1", "POST", "/booking/book", SmallFleet::key("large"), "order-1");
        m_fleet->run(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, dispatchCount(third));
        CPPUNIT_ASSERT(m_fleet->replays.contains(third));
    }

    void conflictingChangesOfTwoOperators()
    {
        start();
        const std::string change = R"({"base_version":1,"operator":"NAME","changes":[
            {"type":"set_target","class":"search","target_latency_ms":VALUE}]})";
        auto body = [&](const std::string& name, const std::string& value) {
            auto text = change;
            text.replace(text.find("NAME"), 4, name);
            text.replace(text.find("VALUE"), 5, value);
            return text;
        };
        CPPUNIT_ASSERT_EQUAL(
            std::uint16_t { 200 }, m_fleet->operate("a1", "c1", "POST", "/changes", body("ana", "200")).status);
        const auto lost = m_fleet->operate("b1", "c2", "POST", "/changes", body("boris", "250"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(lost.body, std::uint16_t { 409 }, lost.status);
        CPPUNIT_ASSERT_MESSAGE(lost.body, lost.body.find("\"operator\":\"ana\"") != std::string::npos);
    }

    void leavingInstanceDrains()
    {
        start();
        m_fleet->completesAtOnce = false;
        const auto id = m_fleet->request("a1", "GET", "/booking/search", SmallFleet::key("small"));
        m_fleet->run(100ms);
        m_fleet->node("a1").leave(m_fleet->now);
        m_fleet->run(2s);
        const auto result = m_fleet->node("b1").lookup({ ServiceId("booking"), "10.1.0.9" }, m_fleet->now);
        for (const auto& instance : std::get<LookupResponse>(result).instances)
            CPPUNIT_ASSERT(instance.id.value() != "a1");
        m_fleet->run(10s);
        CPPUNIT_ASSERT_MESSAGE("a request still runs", !m_fleet->node("a1").hasDrained(m_fleet->now));
        m_fleet->finish("a1", id, {});
        m_fleet->run(1s);
        CPPUNIT_ASSERT(m_fleet->node("a1").hasDrained(m_fleet->now));
    }

    void leavingServerGetsNoNewWork()
    {
        start(400, 200);
        m_fleet->store.setInstanceState("booking-a1", PlatformInstanceState::Leaving);
        m_fleet->run(3s);
        m_fleet->dispatches.clear();
        drive(1, 1s, "large");
        for (const auto& [id, dispatches] : m_fleet->dispatches)
            CPPUNIT_ASSERT(dispatches[0].backendServer.value() != "booking-a1");
        CPPUNIT_ASSERT(!m_fleet->dispatches.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeTest);
