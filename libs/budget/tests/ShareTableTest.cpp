// Rules of the share rows: order of shrinking and growing, lost answers, changes of the total, lapsed regions.

#include "budget/LedgerLease.h"
#include "budget/ShareTable.h"
#include "store/MemoryTable.h"

#include "../src/ShareRow.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>

using namespace peridot;

namespace {

constexpr Duration second = std::chrono::seconds { 1 };
constexpr Duration millisecond = std::chrono::milliseconds { 1 };
const TimePoint start { 1000 * second };
const WorkspaceId workspace("w");
const BudgetKey key { BudgetKind::WorkspaceRate, "w" };
const std::vector<RegionId> regions { RegionId("a"), RegionId("b"), RegionId("c") };

/** One region: its ledger, its table, and a holder that spends all it is granted. */
struct Region {
    Region(const RegionId& id, EventLog& log)
        : id(id)
        , ledger(id, log)
        , table(id, regions, ledger, log)
    {
    }

    /** Asks for @p units, spends what is granted, and reports the rest as refused. */
    void use(Units units, TimePoint now)
    {
        const BudgetDemand demand { InstanceId("h"), 1, ++sequence, { { key, spent, 0, 0, units, refused } } };
        const auto grant = ledger.answer(demand, now);
        for (const auto& item : grant.items)
            spent += item.granted, refused += units - item.granted;
    }

    RegionId id;
    RegionLedger ledger;
    ShareTable table;
    std::uint64_t sequence = 0;
    Units spent = 0;
    Units refused = 0;
};

}

class ShareTableTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ShareTableTest);
    CPPUNIT_TEST(splitsEquallyWhenThereIsNoRow);
    CPPUNIT_TEST(movesShareToTheRegionInDemand);
    CPPUNIT_TEST(shrinksBeforeTheWriteAndGrowsAfterIt);
    CPPUNIT_TEST(keepsAShrunkShareWhileTheWriteMayLand);
    CPPUNIT_TEST(lowersAndRaisesTheTotal);
    CPPUNIT_TEST(releasesTheShareOfALapsedRegion);
    CPPUNIT_TEST(writesNothingWithoutTheLease);
    CPPUNIT_TEST(forgetsSharesAtANewTerm);
    CPPUNIT_TEST(rejectsRowsThatDoNotAddUp);
    CPPUNIT_TEST_SUITE_END();

    NullEventLog m_log;
    MemoryTable m_store;
    std::vector<std::unique_ptr<Region>> m_regions;
    std::vector<RowVersion> m_leases;
    TimePoint m_now = start;
    std::uint64_t m_term = 1;
    std::vector<LapsedRegion> m_lapsed;

    ShareInputs inputs(std::size_t i) const { return { true, m_term, m_leases[i], true, m_lapsed }; }

    StoreResult apply(const StoreRequest& request)
    {
        if (const auto* scan = std::get_if<TableScan>(&request))
            return StoreValue(*m_store.scan(*scan));
        return StoreValue(*m_store.commit(std::get<TableCommit>(request)));
    }

    void step(std::size_t i)
    {
        if (const auto request = m_regions[i]->table.next(inputs(i), m_now))
            m_regions[i]->table.completed(apply(*request), m_now);
    }

    /** Runs all regions; region i uses units[i] each 20 ms. */
    void run(Duration duration, const std::vector<Units>& units)
    {
        for (const auto end = m_now + duration; m_now < end; m_now += 20 * millisecond) {
            for (std::size_t i = 0; i < m_regions.size(); ++i) {
                m_regions[i]->use(units[i], m_now);
                step(i);
            }
        }
    }

    ShareRow row() const { return *shareRowFromText(m_store.read({ { "share/w" } })->rows.front().value); }
    BudgetShare share(std::size_t i) const { return m_regions[i]->table.share(workspace); }

    /** Runs region @p i until it commits to the share row, and returns that request without applying it. */
    StoreRequest commitOf(std::size_t i)
    {
        for (int n = 0; n < 1000; ++n, m_now += 10 * millisecond) {
            const auto request = m_regions[i]->table.next(inputs(i), m_now);
            if (request && std::holds_alternative<TableCommit>(*request))
                return *request;
            if (request)
                m_regions[i]->table.completed(apply(*request), m_now);
        }
        CPPUNIT_FAIL("the region writes nothing");
        return TableRead {};
    }

public:
    void setUp() override
    {
        for (const auto& id : regions) {
            const auto key = ledgerRowKey(id);
            m_leases.push_back(m_store.commit({ { { key, 0 } }, { { key, "lease" } } })->current.front().version);
            m_regions.push_back(std::make_unique<Region>(id, m_log));
            m_regions.back()->ledger.activate(1, start, start);
            m_regions.back()->table.setWorkspace(workspace, { 1'000'000, 1000 }, 1, start);
        }
    }

    void splitsEquallyWhenThereIsNoRow()
    {
        run(2 * second, { 0, 0, 0 });
        for (std::size_t i = 0; i < 3; ++i)
            CPPUNIT_ASSERT_EQUAL(MilliRate { 333'333 }, share(i).rate);
        CPPUNIT_ASSERT_EQUAL(MilliRate { 1 }, row().remainder.rate);
        row().assertSums();
    }

    void movesShareToTheRegionInDemand()
    {
        run(2 * second, { 5, 5, 5 });
        run(10 * second, { 17, 0, 0 });
        CPPUNIT_ASSERT(share(0).rate > 860'000);
        CPPUNIT_ASSERT(share(1).rate >= 10'000 && share(1).burst > 0);
        run(10 * second, { 0, 0, 17 });
        CPPUNIT_ASSERT(share(2).rate > 860'000);
        const auto sum = share(0).rate + share(1).rate + share(2).rate;
        CPPUNIT_ASSERT(sum <= 1'000'000);
    }

    void shrinksBeforeTheWriteAndGrowsAfterIt()
    {
        run(4 * second, { 0, 0, 0 });
        // Region a states its need while the others stand still.
        for (int n = 0; n < 200 && row().needs.empty(); ++n, m_now += 20 * millisecond) {
            m_regions[0]->use(18, m_now);
            step(0);
        }
        const auto shrink = commitOf(1);
        CPPUNIT_ASSERT(share(1).rate < 333'333);
        CPPUNIT_ASSERT_EQUAL(MilliRate { 333'333 }, row().shareOf(regions[1]).rate);
        CPPUNIT_ASSERT(m_regions[1]->ledger.boundBurst(key, m_now) <= share(1).burst);
        m_regions[1]->table.completed(apply(shrink), m_now);
        CPPUNIT_ASSERT_EQUAL(share(1).rate, row().shareOf(regions[1]).rate);

        const auto grow = commitOf(0);
        CPPUNIT_ASSERT_EQUAL(MilliRate { 333'333 }, share(0).rate);
        m_regions[0]->table.completed(apply(grow), m_now);
        CPPUNIT_ASSERT(share(0).rate > 333'333);
    }

    void keepsAShrunkShareWhileTheWriteMayLand()
    {
        run(4 * second, { 0, 0, 0 });
        for (int n = 0; n < 200 && row().needs.empty(); ++n, m_now += 20 * millisecond) {
            m_regions[0]->use(18, m_now);
            step(0);
        }
        const auto shrink = commitOf(1);
        const auto shrunk = share(1);
        m_regions[1]->table.completed(makeError(ErrorCode::OutcomeUnknown, "commit", "store", "timeout"), m_now);
        // The row shows that it is not in effect, but it may still take effect.
        const auto again = commitOf(1);
        CPPUNIT_ASSERT_EQUAL(shrunk.rate, share(1).rate);
        apply(shrink);
        m_regions[1]->table.completed(apply(again), m_now);
        CPPUNIT_ASSERT_EQUAL(shrunk.rate, row().shareOf(regions[1]).rate);
        CPPUNIT_ASSERT_EQUAL(shrunk.rate, share(1).rate);
    }

    void lowersAndRaisesTheTotal()
    {
        run(4 * second, { 5, 5, 5 });
        m_regions[0]->table.setWorkspace(workspace, { 300'000, 300 }, 2, m_now);
        CPPUNIT_ASSERT(share(0).rate <= 100'000 && share(0).burst <= 100);
        CPPUNIT_ASSERT_EQUAL(MilliRate { 333'333 }, share(1).rate);
        for (std::size_t i = 1; i < 3; ++i)
            m_regions[i]->table.setWorkspace(workspace, { 300'000, 300 }, 2, m_now + 4 * second);
        run(4 * second, { 0, 0, 0 });
        CPPUNIT_ASSERT_EQUAL(MilliRate { 1'000'000 }, row().total.rate);
        run(5 * second, { 0, 0, 0 });
        CPPUNIT_ASSERT_EQUAL(MilliRate { 300'000 }, row().total.rate);
        CPPUNIT_ASSERT(share(0).rate + share(1).rate + share(2).rate <= 300'000);

        m_regions[1]->table.setWorkspace(workspace, { 900'000, 900 }, 3, m_now);
        run(2 * second, { 5, 5, 5 });
        CPPUNIT_ASSERT_EQUAL(MilliRate { 900'000 }, row().total.rate);
        run(10 * second, { 5, 5, 5 });
        CPPUNIT_ASSERT(share(0).rate > 200'000);
    }

    void releasesTheShareOfALapsedRegion()
    {
        run(2 * second, { 0, 0, 0 });
        m_lapsed = { { regions[2], m_leases[2] + 100 } };
        step(0);
        run(2 * second, { 0, 0, 0 });
        CPPUNIT_ASSERT_EQUAL(MilliRate { 333'333 }, row().shareOf(regions[2]).rate);
        m_lapsed = { { regions[2], m_leases[2] } };
        for (int n = 0; n < 100; ++n, m_now += 20 * millisecond)
            step(0);
        CPPUNIT_ASSERT_EQUAL(MilliRate { 0 }, row().shareOf(regions[2]).rate);
        CPPUNIT_ASSERT_EQUAL(MilliRate { 333'334 }, row().remainder.rate);
    }

    void writesNothingWithoutTheLease()
    {
        run(2 * second, { 0, 0, 0 });
        const auto lease = ledgerRowKey(regions[0]);
        CPPUNIT_ASSERT(m_store.commit({ { { lease, m_leases[0] } }, { { lease, "successor" } } })->isCommitted);
        const auto before = row();
        for (int n = 0; n < 200; ++n, m_now += 20 * millisecond) {
            m_regions[0]->use(18, m_now);
            step(0);
        }
        CPPUNIT_ASSERT(before.needs == row().needs && before.changes == row().changes);
    }

    void forgetsSharesAtANewTerm()
    {
        run(2 * second, { 0, 0, 0 });
        ++m_term;
        const auto request = m_regions[0]->table.next(inputs(0), m_now);
        CPPUNIT_ASSERT(std::holds_alternative<TableScan>(*request));
        CPPUNIT_ASSERT_EQUAL(MilliRate { 0 }, share(0).rate);
        m_regions[0]->table.completed(apply(*request), m_now);
        CPPUNIT_ASSERT_EQUAL(MilliRate { 333'333 }, share(0).rate);
    }

    void rejectsRowsThatDoNotAddUp()
    {
        run(2 * second, { 0, 0, 0 });
        auto broken = toText(row());
        broken.replace(broken.find("333333"), 6, "433333");
        CPPUNIT_ASSERT(!shareRowFromText(broken).has_value());
        CPPUNIT_ASSERT(!shareRowFromText("{}").has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShareTableTest);
