// Guards the hand-over of table changes between instances: a change is passed on at once, a silent or cut-off reader
// hides none, and what is told is never called newer than it is.

#include "entry/TableRelay.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace peridot {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    /** Instances that exchange messages in memory. All name the same readers. */
    class Region {
    public:
        struct Instance {
            explicit Instance(Region& region, const std::string& name)
                : relay(InstanceId { name }, {},
                    { [&region] { return region.readers; },
                        [&region, name](const std::string& to, TablePull pull) {
                            region.m_pulls.push_back({ name, to, std::move(pull) });
                        },
                        [&region](const std::string& to, TableChanges changes) {
                            region.m_answers.push_back({ to, std::move(changes) });
                        } },
                    region.m_log)
            {
            }

            TableRelay relay;
            std::vector<std::optional<TableRelay::Changes>> results;
        };

        Instance& add(const std::string& name) { return m_instances.try_emplace(name, *this, name).first->second; }

        void pull(const std::string& name, std::uint64_t version, Duration wait)
        {
            auto& instance = m_instances.at(name);
            instance.relay.pull(
                "servers", version, wait, now, [&instance](const std::optional<TableRelay::Changes>& changes) {
                    instance.results.push_back(changes);
                });
        }

        void pullAndDeliver(const std::string& name, std::uint64_t version, Duration wait)
        {
            pull(name, version, wait);
            deliver();
        }

        /** An instance that has read the store up to version 10. */
        TableRelay& addReader(const std::string& name)
        {
            auto& relay = add(name).relay;
            relay.addChanges("servers", 10, { {}, 10, false }, now, now);
            return relay;
        }

        /** Delivers messages, also those that deliveries cause. */
        void deliver(Duration delay = Duration { 0 })
        {
            while (!m_pulls.empty() || !m_answers.empty()) {
                now += delay;
                for (const auto& it : std::exchange(m_pulls, {})) {
                    if (!stopped.contains(it.to))
                        m_instances.at(it.to).relay.receive(it.from, it.pull, now);
                }
                now += delay;
                for (const auto& it : std::exchange(m_answers, {}))
                    m_instances.at(it.to).relay.receive(it.changes, now);
            }
        }

        void advance(Duration time)
        {
            const auto end = now + time;
            while (now < end) {
                now += milliseconds { 50 };
                for (auto& [name, instance] : m_instances)
                    instance.relay.tick(now);
                deliver();
            }
        }

        std::vector<TableReader> readers { { InstanceId { "a" }, "a" }, { InstanceId { "b" }, "b" } };
        std::set<std::string> stopped;
        TimePoint now { seconds { 1'000 } };

    private:
        struct Pull {
            std::string from;
            std::string to;
            TablePull pull;
        };
        struct Answer {
            std::string to;
            TableChanges changes;
        };

        NullEventLog m_log;
        std::map<std::string, Instance> m_instances;
        std::vector<Pull> m_pulls;
        std::vector<Answer> m_answers;
    };

    StoreRows rows(std::uint64_t version, const std::string& key, bool isSignificant = true)
    {
        return { { { key, "value", version, false, isSignificant } }, version, false };
    }

}

class TableRelayTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TableRelayTest);
    CPPUNIT_TEST(firstReaderReadsTheStore);
    CPPUNIT_TEST(changeReachesWaitingPeersAtOnce);
    CPPUNIT_TEST(unchangedTableIsConfirmedAfterTheWait);
    CPPUNIT_TEST(lostContactEndsHeldPulls);
    CPPUNIT_TEST(pullWaitsForTheFirstAnswerOfTheStore);
    CPPUNIT_TEST(pullFailsIfTheStoreDoesNotRespond);
    CPPUNIT_TEST(unresponsiveReaderIsSkipped);
    CPPUNIT_TEST(versionBeforeTheHistoryIsNotAnswered);
    CPPUNIT_TEST(transitTimeCountsAsAge);
    CPPUNIT_TEST(rowThatChangedTwiceIsSentOnce);
    CPPUNIT_TEST(heartbeatsAreNotRelayed);
    CPPUNIT_TEST(peerThatReadTheStoreGetsEveryRow);
    CPPUNIT_TEST(peerThatChangedReaderGetsEveryRow);
    CPPUNIT_TEST_SUITE_END();

public:
    void firstReaderReadsTheStore()
    {
        Region region;
        CPPUNIT_ASSERT(!region.add("a").relay.canPull(region.now));
        CPPUNIT_ASSERT(region.add("b").relay.canPull(region.now));
        CPPUNIT_ASSERT(region.add("c").relay.canPull(region.now));
        region.readers.clear();
        CPPUNIT_ASSERT(!region.add("c").relay.canPull(region.now));
    }

    // A leaving server has to be left alone everywhere within the bound, however many instances there are.
    void changeReachesWaitingPeersAtOnce()
    {
        Region region;
        auto& reader = region.addReader("a");
        auto& peer = region.add("c");
        region.pullAndDeliver("c", 10, seconds { 1 });
        CPPUNIT_ASSERT(peer.results.empty());
        reader.addChanges("servers", 10, rows(12, "i-1"), region.now, region.now);
        region.deliver();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, peer.results.size());
        CPPUNIT_ASSERT(peer.results[0].has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), peer.results[0]->rows.rows.at(0).key);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 12 }, peer.results[0]->rows.version);
    }

    void unchangedTableIsConfirmedAfterTheWait()
    {
        Region region;
        region.addReader("a");
        auto& peer = region.add("c");
        region.pull("c", 10, seconds { 1 });
        region.advance(milliseconds { 950 });
        CPPUNIT_ASSERT(peer.results.empty());
        region.advance(milliseconds { 100 });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, peer.results.size());
        CPPUNIT_ASSERT(peer.results[0]->rows.rows.empty());
    }

    // The store may refuse the reader and serve the others.
    void lostContactEndsHeldPulls()
    {
        Region region;
        auto& reader = region.addReader("a");
        auto& peer = region.add("c");
        region.pullAndDeliver("c", 10, seconds { 1 });
        reader.storeContactLost("servers", region.now);
        region.deliver();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, peer.results.size());
        CPPUNIT_ASSERT(!peer.results[0].has_value());
        // It asks the next reader itself.
        CPPUNIT_ASSERT(reader.canPull(region.now));
    }

    // The reader that the store refuses turns to the next one, whose first call is still open. Sent away, it would ask
    // the store again in vain, with growing pauses, and learn changes too late.
    void pullWaitsForTheFirstAnswerOfTheStore()
    {
        Region region;
        region.add("a").relay.storeContactLost("servers", region.now);
        auto& next = region.add("b").relay;
        next.startReading("servers", 10);
        region.pullAndDeliver("a", 10, seconds { 1 });
        CPPUNIT_ASSERT(region.add("a").results.empty());
        next.addChanges("servers", 10, rows(12, "i-1"), region.now, region.now);
        region.deliver();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, region.add("a").results.size());
        CPPUNIT_ASSERT(region.add("a").results[0].has_value());
    }

    // A table that no read has confirmed must not be called current.
    void pullFailsIfTheStoreDoesNotRespond()
    {
        Region region;
        region.add("a").relay.startReading("servers", 10);
        auto& peer = region.add("c");
        region.pull("c", 10, seconds { 1 });
        region.advance(milliseconds { 1'050 });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, peer.results.size());
        CPPUNIT_ASSERT(!peer.results[0].has_value());
    }

    // A killed or frozen reader must not hide changes longer than the wait and the margin.
    void unresponsiveReaderIsSkipped()
    {
        Region region;
        region.add("a");
        region.add("b");
        auto& peer = region.add("c");
        region.stopped = { "a" };
        region.pull("c", 10, seconds { 1 });
        region.advance(milliseconds { 1'300 });
        CPPUNIT_ASSERT(peer.results.empty());
        region.advance(milliseconds { 100 });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, peer.results.size());
        CPPUNIT_ASSERT(!peer.results[0].has_value());
        // The next reader is asked from now on.
        region.add("b").relay.addChanges("servers", 10, rows(12, "i-1"), region.now, region.now);
        region.pullAndDeliver("c", 10, seconds { 1 });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, peer.results.size());
        CPPUNIT_ASSERT(peer.results[1].has_value());
    }

    void versionBeforeTheHistoryIsNotAnswered()
    {
        Region region;
        auto& reader = region.add("a").relay;
        auto& peer = region.add("c");
        reader.addChanges("servers", 10, rows(12, "i-1"), region.now, region.now);
        region.pullAndDeliver("c", 9, seconds { 1 });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, peer.results.size());
        CPPUNIT_ASSERT(!peer.results[0].has_value());
    }

    void transitTimeCountsAsAge()
    {
        Region region;
        auto& reader = region.add("a").relay;
        auto& peer = region.add("c");
        const auto read = region.now;
        reader.addChanges("servers", 10, rows(12, "i-1"), read, region.now);
        region.now += milliseconds { 40 };
        region.pull("c", 10, seconds { 1 });
        region.deliver(milliseconds { 300 });
        CPPUNIT_ASSERT(peer.results.at(0).has_value());
        CPPUNIT_ASSERT(peer.results[0]->asOf <= read);
    }

    void rowThatChangedTwiceIsSentOnce()
    {
        Region region;
        auto& reader = region.add("a").relay;
        auto& peer = region.add("c");
        reader.addChanges("servers", 10, rows(12, "i-1"), region.now, region.now);
        reader.addChanges("servers", 12, rows(14, "i-1"), region.now, region.now);
        region.pullAndDeliver("c", 10, seconds { 1 });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, peer.results.at(0)->rows.rows.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 14 }, peer.results[0]->rows.rows[0].version);
    }

    // Load: 300 instances and 3,000 servers with a heartbeat each 1.5 s, each of which went to every instance of the
    // reader's region.
    void heartbeatsAreNotRelayed()
    {
        Region region;
        auto& reader = region.addReader("a");
        auto& peer = region.add("c");
        region.pullAndDeliver("c", 10, Duration { 0 });
        region.pullAndDeliver("c", 10, seconds { 1 });
        reader.addChanges("servers", 10, rows(12, "i-1", false), region.now, region.now);
        region.deliver();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, peer.results.size());
        region.advance(milliseconds { 1'050 });
        CPPUNIT_ASSERT(peer.results.at(1).has_value());
        CPPUNIT_ASSERT(peer.results[1]->rows.rows.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 12 }, peer.results[1]->rows.version);
        // A change comes with the newest state, also if a heartbeat followed it.
        reader.addChanges("servers", 12, rows(14, "i-1"), region.now, region.now);
        reader.addChanges("servers", 14, rows(16, "i-1", false), region.now, region.now);
        region.pullAndDeliver("c", 12, seconds { 1 });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, peer.results.at(2)->rows.rows.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 16 }, peer.results[2]->rows.rows[0].version);
    }

    // A peer that read the store while an entry was missing does not know the server. The reader, which never saw the
    // entry missing, takes its return for a heartbeat.
    void peerThatReadTheStoreGetsEveryRow()
    {
        Region region;
        auto& reader = region.addReader("a");
        auto& peer = region.add("c");
        reader.addChanges("servers", 10, rows(14, "i-1", false), region.now, region.now);
        region.pullAndDeliver("c", 12, seconds { 1 });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, peer.results.at(0)->rows.rows.size());
    }

    // The same for an entry whose loss the reader before told.
    void peerThatChangedReaderGetsEveryRow()
    {
        Region region;
        auto& first = region.addReader("a");
        auto& second = region.addReader("b");
        auto& peer = region.add("c");
        first.addChanges("servers", 10, { { { "i-1", "", 12, true } }, 12, false }, region.now, region.now);
        region.pullAndDeliver("c", 10, seconds { 1 });
        CPPUNIT_ASSERT(peer.results.at(0)->rows.rows.at(0).isRemoved);
        first.storeContactLost("servers", region.now);
        region.pullAndDeliver("c", 12, Duration { 0 });
        // The second reader is behind: its answer says nothing of what it will take for a heartbeat.
        region.pullAndDeliver("c", 12, Duration { 0 });
        CPPUNIT_ASSERT(peer.results.back()->rows.rows.empty());
        second.addChanges("servers", 10, rows(14, "i-1", false), region.now, region.now);
        region.pullAndDeliver("c", 12, seconds { 1 });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, peer.results.back()->rows.rows.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableRelayTest);

}
