// Age arithmetic and the freshness rule: an instance must not take an old statement for a new one, nor serve with a
// version that its statement does not cover.

#include "membership/Evidence.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace peridot;
using namespace std::chrono_literals;

class EvidenceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EvidenceTest);
    CPPUNIT_TEST(lapsesAfterFourSeconds);
    CPPUNIT_TEST(ageCountsFromTheRequest);
    CPPUNIT_TEST(newerVersionMustBeInForce);
    CPPUNIT_TEST(weakerStatementChangesNothing);
    CPPUNIT_TEST(passesOnTheNewestStatement);
    CPPUNIT_TEST(writesOnlyWithinOneSecondOfAWitness);
    CPPUNIT_TEST_SUITE_END();

    const TimePoint m_start { 100s };
    Evidence m_evidence;

public:
    void setUp() override { m_evidence.adopted(3); }

    void lapsesAfterFourSeconds()
    {
        CPPUNIT_ASSERT(!m_evidence.isFresh(m_start));
        m_evidence.confirmed(3, m_start);
        CPPUNIT_ASSERT(m_evidence.isFresh(m_start + 4s));
        CPPUNIT_ASSERT(!m_evidence.isFresh(m_start + 4s + 1us));
        CPPUNIT_ASSERT(m_evidence.kind(m_start + 4s) == EvidenceKind::Confirmed);
        CPPUNIT_ASSERT(m_evidence.kind(m_start + 5s) == EvidenceKind::None);
        // Without a configuration there is nothing to serve.
        Evidence empty;
        empty.confirmed(0, m_start);
        CPPUNIT_ASSERT(!empty.isFresh(m_start));
    }

    void ageCountsFromTheRequest()
    {
        m_evidence.learn({ EvidenceKind::Confirmed, 3, 1s }, m_start);
        // The reply may have arrived much later; the other clock may be 1% slow.
        CPPUNIT_ASSERT(*m_evidence.time() <= m_start - 1s - 10ms);
        m_evidence.learn({ EvidenceKind::None, 3, 0s }, m_start + 1s);
        m_evidence.learn({ EvidenceKind::Confirmed, 3, -5s }, m_start + 1s);
        CPPUNIT_ASSERT(*m_evidence.time() <= m_start - 1s);
    }

    void newerVersionMustBeInForce()
    {
        m_evidence.confirmed(3, m_start);
        m_evidence.confirmed(4, m_start + 1s);
        CPPUNIT_ASSERT_EQUAL(ConfigurationVersion { 4 }, m_evidence.version());
        // The statement for version 3 still holds for its 4 s, the one for version 4 helps only with version 4.
        CPPUNIT_ASSERT(m_evidence.isFresh(m_start + 4s));
        CPPUNIT_ASSERT(!m_evidence.isFresh(m_start + 4500ms));
        m_evidence.adopted(4);
        CPPUNIT_ASSERT(m_evidence.isFresh(m_start + 4500ms));
        m_evidence.adopted(2); // Never goes back.
        CPPUNIT_ASSERT(m_evidence.isFresh(m_start + 4500ms));
    }

    void weakerStatementChangesNothing()
    {
        m_evidence.confirmed(3, m_start);
        m_evidence.confirmed(4, m_start - 1s); // Says less: a higher bound, for an earlier time.
        m_evidence.learn({ EvidenceKind::Confirmed, 3, 2s }, m_start);
        CPPUNIT_ASSERT(*m_evidence.time() == m_start);
        CPPUNIT_ASSERT_EQUAL(ConfigurationVersion { 4 }, m_evidence.version());
    }

    void passesOnTheNewestStatement()
    {
        CPPUNIT_ASSERT(m_evidence.statement(m_start).kind == EvidenceKind::None);
        m_evidence.confirmed(3, m_start);
        m_evidence.storeUnavailable(5, m_start + 1s);
        const auto statement = m_evidence.statement(m_start + 1500ms);
        CPPUNIT_ASSERT(statement.kind == EvidenceKind::StoreUnavailable);
        CPPUNIT_ASSERT_EQUAL(ConfigurationVersion { 5 }, statement.version);
        CPPUNIT_ASSERT(statement.age == 500ms);
    }

    void writesOnlyWithinOneSecondOfAWitness()
    {
        CPPUNIT_ASSERT(!m_evidence.mayWrite(m_start));
        m_evidence.reachabilityWitnessed(m_start);
        m_evidence.reachabilityWitnessed(m_start - 1s); // An answer that was overtaken.
        CPPUNIT_ASSERT(m_evidence.mayWrite(m_start + 1s));
        CPPUNIT_ASSERT(!m_evidence.mayWrite(m_start + 1s + 1us));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvidenceTest);
