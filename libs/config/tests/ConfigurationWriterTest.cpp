// The writer ends every request with the outcome that the store shows, whatever answers are lost.

#include "config/ConfigurationWriter.h"

#include "Documents.h"
#include "store/MemoryStore.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <deque>

using namespace peridot;
using namespace peridot::testing;

class ConfigurationWriterTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConfigurationWriterTest);
    CPPUNIT_TEST(bootstrapsOnce);
    CPPUNIT_TEST(rebasesAfterLostRace);
    CPPUNIT_TEST(refusesConflict);
    CPPUNIT_TEST(findsItsChangeAfterLostAnswerAndFurtherChanges);
    CPPUNIT_TEST(repeatedRequestAppliesOnce);
    CPPUNIT_TEST(waitsForPermission);
    CPPUNIT_TEST(acceptsOnlyWhatPeersKnow);
    CPPUNIT_TEST(unavailableOnlyIfCertainlyNotApplied);
    CPPUNIT_TEST_SUITE_END();

    using Output = ConfigurationWriter::Output;
    using Calls = std::deque<ConfigurationStoreCall>;

    MemoryStore m_store;
    NullEventLog m_log;
    bool m_mayWrite = true;
    ConfigurationVersion m_knownToPeers = 1000;
    TimePoint m_now { std::chrono::seconds { 100 } };
    ConfigurationWriter m_writer = makeWriter();
    ConfigurationWriter m_other = makeWriter();

    ConfigurationWriter makeWriter()
    {
        return { {},
            { [this](TimePoint) { return m_mayWrite; },
                [this](ConfigurationVersion version, TimePoint) { return version <= m_knownToPeers; } },
            m_log };
    }

    static bool isCommit(const ConfigurationStoreCall& call)
    {
        return std::holds_alternative<TableCommit>(call.request);
    }

    /** Performs calls until none is left, or until a commit if @p stopsAtCommit. */
    std::vector<ChangeOutcome> perform(ConfigurationWriter& writer, Output output, Calls& left, bool stopsAtCommit)
    {
        std::vector<ChangeOutcome> outcomes;
        const auto take = [&](Output& more) {
            left.insert(left.end(), more.calls.begin(), more.calls.end());
            outcomes.insert(outcomes.end(), more.outcomes.begin(), more.outcomes.end());
        };
        take(output);
        while (!left.empty() && !(stopsAtCommit && isCommit(left.front()))) {
            const auto call = left.front();
            left.pop_front();
            auto more = writer.storeCompleted(call.id, m_store.apply(call.request), m_now);
            take(more);
        }
        return outcomes;
    }

    std::vector<ChangeOutcome> finish(ConfigurationWriter& writer, Output output)
    {
        Calls calls;
        return perform(writer, std::move(output), calls, false);
    }

    ConfigurationStoreCall runToCommit(ConfigurationWriter& writer, ChangeRequest request)
    {
        Calls calls;
        perform(writer, writer.submit(std::move(request), m_now), calls, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, calls.size());
        return calls.front();
    }

    template <typename T> T only(const std::vector<ChangeOutcome>& outcomes)
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, outcomes.size());
        CPPUNIT_ASSERT(std::holds_alternative<T>(outcomes.front().result));
        return std::get<T>(outcomes.front().result);
    }

    static ChangeRequest rate(
        const std::string& id, const char* workspace, std::uint32_t rate, ConfigurationVersion base = 1)
    {
        return { id, base, { SetRate { WorkspaceId(workspace), rate, rate } } };
    }

    static StoreResult lost() { return makeError(ErrorCode::OutcomeUnknown, "commit", "store", "no answer"); }

    ConfigurationVersion headVersion()
    {
        const auto rows = m_store.table().read({ { configurationHeadKey } })->rows;
        return HeadRow::parse(rows.front().value)->version;
    }

    Output later(ConfigurationWriter& writer, Duration delay)
    {
        m_now += delay;
        return writer.tick(m_now);
    }

public:
    void setUp() override
    {
        CPPUNIT_ASSERT_EQUAL(ConfigurationVersion { 1 },
            only<ChangeAccepted>(finish(m_writer, m_writer.bootstrap("first", smallDocument(), m_now))).version);
    }

    void bootstrapsOnce()
    {
        only<ChangeAccepted>(finish(m_other, m_other.bootstrap("second", "{}", m_now)));
        CPPUNIT_ASSERT_EQUAL(ConfigurationVersion { 1 }, headVersion());
        m_store = {};
        only<ChangeInvalid>(finish(m_writer, m_writer.submit(rate("c1", "w1", 5), m_now)));
        only<ChangeInvalid>(finish(m_other, m_other.bootstrap("third", R"({"key": []})", m_now)));
    }

    void rebasesAfterLostRace()
    {
        const auto commit = runToCommit(m_writer, rate("c1", "w1", 5));
        only<ChangeAccepted>(finish(m_other, m_other.submit(rate("c2", "w2", 6), m_now)));
        auto output = m_writer.storeCompleted(commit.id, m_store.apply(commit.request), m_now);
        CPPUNIT_ASSERT_EQUAL(ConfigurationVersion { 3 }, only<ChangeAccepted>(finish(m_writer, output)).version);
        CPPUNIT_ASSERT_EQUAL(5U, m_writer.newest()->findWorkspace(WorkspaceId("w1"))->ratePerSecond);
        CPPUNIT_ASSERT_EQUAL(6U, m_writer.newest()->findWorkspace(WorkspaceId("w2"))->ratePerSecond);
    }

    void refusesConflict()
    {
        const auto commit = runToCommit(m_writer, rate("c1", "w1", 5));
        only<ChangeAccepted>(finish(m_other, m_other.submit(rate("c2", "w1", 6), m_now)));
        auto output = m_writer.storeCompleted(commit.id, m_store.apply(commit.request), m_now);
        const auto conflict = only<ChangeConflict>(finish(m_writer, output));
        CPPUNIT_ASSERT_EQUAL(std::string("workspaces/w1/rate"), conflict.field);
        CPPUNIT_ASSERT_EQUAL(ConfigurationVersion { 2 }, conflict.version);
        CPPUNIT_ASSERT_EQUAL(std::string("c2"), conflict.changeId);
    }

    void findsItsChangeAfterLostAnswerAndFurtherChanges()
    {
        const auto commit = runToCommit(m_writer, rate("c1", "w1", 5));
        m_store.apply(commit.request);
        m_writer.storeCompleted(commit.id, lost(), m_now);
        only<ChangeAccepted>(finish(m_other, m_other.submit(rate("c2", "w2", 6), m_now)));
        const auto outcomes = finish(m_writer, later(m_writer, std::chrono::milliseconds { 200 }));
        CPPUNIT_ASSERT_EQUAL(ConfigurationVersion { 2 }, only<ChangeAccepted>(outcomes).version);
        CPPUNIT_ASSERT_EQUAL(ConfigurationVersion { 3 }, headVersion());
    }

    void repeatedRequestAppliesOnce()
    {
        only<ChangeAccepted>(finish(m_writer, m_writer.submit(rate("c1", "w1", 5), m_now)));
        only<ChangeAccepted>(finish(m_other, m_other.submit(rate("c1", "w1", 5), m_now)));
        CPPUNIT_ASSERT_EQUAL(ConfigurationVersion { 2 }, headVersion());
        // Also after the id has left the list of recent changes.
        for (std::size_t i = 0; i < HeadRow::s_recentChangeLimit; ++i) {
            only<ChangeAccepted>(finish(m_writer, m_writer.submit(rate("d" + std::to_string(i), "w2", 7, 0), m_now)));
        }
        const auto again = only<ChangeAccepted>(finish(m_other, m_other.submit(rate("c1", "w1", 5), m_now)));
        CPPUNIT_ASSERT_EQUAL(ConfigurationVersion { 2 }, again.version);
    }

    void waitsForPermission()
    {
        m_mayWrite = false;
        CPPUNIT_ASSERT(finish(m_writer, m_writer.submit(rate("c1", "w1", 5), m_now)).empty());
        CPPUNIT_ASSERT(finish(m_writer, later(m_writer, std::chrono::seconds { 1 })).empty());
        CPPUNIT_ASSERT_EQUAL(ConfigurationVersion { 1 }, headVersion());
        m_mayWrite = true;
        only<ChangeAccepted>(finish(m_writer, later(m_writer, std::chrono::seconds { 1 })));
    }

    void acceptsOnlyWhatPeersKnow()
    {
        m_knownToPeers = 1;
        CPPUNIT_ASSERT(finish(m_writer, m_writer.submit(rate("c1", "w1", 5), m_now)).empty());
        CPPUNIT_ASSERT_EQUAL(ConfigurationVersion { 2 }, headVersion());
        m_knownToPeers = 2;
        only<ChangeAccepted>(finish(m_writer, later(m_writer, std::chrono::milliseconds { 50 })));
        m_knownToPeers = 2;
        CPPUNIT_ASSERT(finish(m_writer, m_writer.submit(rate("c2", "w1", 5, 2), m_now)).empty());
        only<ChangeUnknown>(finish(m_writer, later(m_writer, std::chrono::seconds { 11 })));
    }

    void unavailableOnlyIfCertainlyNotApplied()
    {
        const auto refused = makeError(ErrorCode::Unavailable, "call", "store", "connection refused");
        auto output = m_writer.submit(rate("c1", "w1", 5), m_now);
        m_writer.storeCompleted(output.calls.front().id, refused, m_now);
        only<ChangeUnavailable>(finish(m_writer, later(m_writer, std::chrono::seconds { 11 })));

        auto commit = runToCommit(m_writer, rate("c2", "w1", 5));
        m_writer.storeCompleted(commit.id, lost(), m_now);
        only<ChangeUnknown>(finish(m_writer, later(m_writer, std::chrono::seconds { 11 })));

        // A lost commit that can no longer take effect leaves the request not applied.
        commit = runToCommit(m_writer, rate("c3", "w1", 5));
        m_writer.storeCompleted(commit.id, lost(), m_now);
        only<ChangeAccepted>(finish(m_other, m_other.submit(rate("c4", "w2", 6), m_now)));
        m_mayWrite = false;
        finish(m_writer, later(m_writer, std::chrono::seconds { 1 }));
        only<ChangeUnavailable>(finish(m_writer, later(m_writer, std::chrono::seconds { 11 })));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationWriterTest);
