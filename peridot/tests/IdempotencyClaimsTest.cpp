// A request with an idempotency key must run at most once, whatever becomes of the store's answers.

#include "peridot/IdempotencyClaims.h"

#include "store/MemoryStore.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace peridot;

class IdempotencyClaimsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(IdempotencyClaimsTest);
    CPPUNIT_TEST(grantsOneOfTwoInstances);
    CPPUNIT_TEST(grantsAfterLostAnswer);
    CPPUNIT_TEST(replaysRecordedResponse);
    CPPUNIT_TEST(rejectsKeyOfAnotherRequest);
    CPPUNIT_TEST(releasedKeyCanBeUsedAgain);
    CPPUNIT_TEST(refusesWhenStoreStaysDown);
    CPPUNIT_TEST(cancelledClaimFreesItsKey);
    CPPUNIT_TEST(cancelledClaimOfCompletedRequestIsSilent);
    CPPUNIT_TEST(givenUpClaimFreesItsKeyAfterLateWrite);
    CPPUNIT_TEST(batchesManyClaims);
    CPPUNIT_TEST(conflictDoesNotRefuseTheRestOfTheBatch);
    CPPUNIT_TEST_SUITE_END();

    static ClaimRequest request(const std::string& id, const std::string& key, const std::string& what = "POST /x")
    {
        return { RequestId(id), WorkspaceId("w"), key, what };
    }

    /** Runs calls against the store until there are none left. */
    std::vector<ClaimOutcome> run(IdempotencyClaims& claims)
    {
        std::vector<ClaimOutcome> outcomes;
        for (auto calls = claims.takeCalls(m_now); !calls.empty(); calls = claims.takeCalls(m_now)) {
            for (const auto& call : calls) {
                ++m_storeCalls;
                auto part = claims.completed(call.token, m_store.apply(call.request), m_now);
                outcomes.insert(outcomes.end(), part.begin(), part.end());
            }
        }
        return outcomes;
    }

    static bool isGranted(const ClaimOutcome& outcome) { return std::holds_alternative<ClaimGranted>(outcome.result); }

    MemoryStore m_store;
    TimePoint m_now { std::chrono::seconds { 1 } };
    int m_storeCalls = 0;

public:
    void grantsOneOfTwoInstances()
    {
        IdempotencyClaims first("a");
        IdempotencyClaims second("b");
        first.claim(request("r1", "k"), m_now);
        second.claim(request("r2", "k"), m_now);
        CPPUNIT_ASSERT(isGranted(run(first).at(0)));
        auto outcomes = run(second);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, outcomes.size());
        CPPUNIT_ASSERT(std::get<ClaimRefusal>(outcomes[0].result) == ClaimRefusal::InProgress);
    }

    void grantsAfterLostAnswer()
    {
        IdempotencyClaims claims("a");
        claims.claim(request("r1", "k"), m_now);
        auto calls = claims.takeCalls(m_now);
        CPPUNIT_ASSERT(m_store.apply(calls.at(0).request));
        auto lost = makeError(ErrorCode::OutcomeUnknown, "commit", "store", "no answer");
        CPPUNIT_ASSERT(claims.completed(calls[0].token, lost, m_now).empty());
        auto outcomes = run(claims);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, outcomes.size());
        CPPUNIT_ASSERT(isGranted(outcomes[0]));
    }

    void replaysRecordedResponse()
    {
        IdempotencyClaims first("a");
        first.claim(request("r1", "k"), m_now);
        run(first);
        first.complete(RequestId("r1"), { 201, "application/json", std::string("\0\xff{}", 4) });
        run(first);
        CPPUNIT_ASSERT(first.isIdle());
        IdempotencyClaims second("b");
        second.claim(request("r2", "k"), m_now);
        auto outcomes = run(second);
        const auto& response = std::get<RecordedResponse>(outcomes.at(0).result);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 201 }, response.status);
        CPPUNIT_ASSERT_EQUAL(std::string("\0\xff{}", 4), response.body);
    }

    void rejectsKeyOfAnotherRequest()
    {
        IdempotencyClaims claims("a");
        claims.claim(request("r1", "k", "POST /x"), m_now);
        run(claims);
        claims.complete(RequestId("r1"), { 200, "text/plain", "ok" });
        run(claims);
        claims.claim(request("r2", "k", "POST /y"), m_now);
        CPPUNIT_ASSERT(std::get<ClaimRefusal>(run(claims).at(0).result) == ClaimRefusal::FingerprintMismatch);
    }

    void releasedKeyCanBeUsedAgain()
    {
        IdempotencyClaims claims("a");
        claims.claim(request("r1", "k"), m_now);
        run(claims);
        claims.release(RequestId("r1"));
        run(claims);
        claims.claim(request("r2", "k"), m_now);
        CPPUNIT_ASSERT(isGranted(run(claims).at(0)));
    }

    void refusesWhenStoreStaysDown()
    {
        IdempotencyClaims claims("a");
        claims.claim(request("r1", "k"), m_now);
        std::vector<ClaimOutcome> outcomes;
        for (int i = 0; i < 100 && outcomes.empty(); ++i) {
            m_now += std::chrono::milliseconds { 100 };
            for (const auto& call : claims.takeCalls(m_now))
                outcomes
                    = claims.completed(call.token, makeError(ErrorCode::Unavailable, "commit", "store", "down"), m_now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, outcomes.size());
        CPPUNIT_ASSERT(std::get<ClaimRefusal>(outcomes[0].result) == ClaimRefusal::StoreUnavailable);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, claims.pendingCount());
    }

    void cancelledClaimFreesItsKey()
    {
        IdempotencyClaims claims("a");
        claims.claim(request("r1", "k"), m_now);
        auto calls = claims.takeCalls(m_now);
        claims.cancel(RequestId("r1"), m_now);
        CPPUNIT_ASSERT(claims.completed(calls.at(0).token, m_store.apply(calls[0].request), m_now).empty());
        CPPUNIT_ASSERT(run(claims).empty());
        claims.claim(request("r2", "k"), m_now);
        CPPUNIT_ASSERT(isGranted(run(claims).at(0)));
    }

    void cancelledClaimOfCompletedRequestIsSilent()
    {
        IdempotencyClaims first("a");
        first.claim(request("r1", "k"), m_now);
        run(first);
        first.complete(RequestId("r1"), { 200, "text/plain", "ok" });
        run(first);
        IdempotencyClaims second("b");
        second.claim(request("r2", "k"), m_now);
        auto call = second.takeCalls(m_now).at(0);
        second.cancel(RequestId("r2"), m_now);
        CPPUNIT_ASSERT(second.completed(call.token, m_store.apply(call.request), m_now).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, second.pendingCount());
    }

    void givenUpClaimFreesItsKeyAfterLateWrite()
    {
        IdempotencyClaims claims("a");
        claims.claim(request("r1", "k"), m_now);
        auto late = claims.takeCalls(m_now).at(0);
        m_now += std::chrono::seconds { 4 };
        auto outcomes
            = claims.completed(late.token, makeError(ErrorCode::OutcomeUnknown, "commit", "store", "no answer"), m_now);
        CPPUNIT_ASSERT(std::get<ClaimRefusal>(outcomes.at(0).result) == ClaimRefusal::StoreUnavailable);
        m_now += std::chrono::seconds { 2 };
        CPPUNIT_ASSERT(run(claims).empty());
        // The write takes effect after the first look for it.
        CPPUNIT_ASSERT(m_store.apply(late.request));
        m_now += std::chrono::seconds { 2 };
        CPPUNIT_ASSERT(run(claims).empty());
        claims.claim(request("r2", "k"), m_now);
        CPPUNIT_ASSERT(isGranted(run(claims).at(0)));
    }

    void batchesManyClaims()
    {
        IdempotencyClaims claims("a");
        for (int i = 0; i < 200; ++i)
            claims.claim(request("r" + std::to_string(i), "k" + std::to_string(i)), m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 200 }, run(claims).size());
        CPPUNIT_ASSERT_EQUAL(4, m_storeCalls);
    }

    void conflictDoesNotRefuseTheRestOfTheBatch()
    {
        IdempotencyClaims first("a");
        first.claim(request("r1", "k1"), m_now);
        run(first);
        IdempotencyClaims second("b");
        second.claim(request("r2", "k1"), m_now);
        second.claim(request("r3", "k2"), m_now);
        int granted = 0;
        for (const auto& outcome : run(second))
            granted += isGranted(outcome);
        CPPUNIT_ASSERT_EQUAL(1, granted);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdempotencyClaimsTest);
