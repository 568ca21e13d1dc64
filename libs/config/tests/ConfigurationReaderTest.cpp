// The reader takes newer versions from peers or the store, never goes back, and turns reads into evidence as of their
// start.

#include "config/ConfigurationReader.h"

#include "Documents.h"
#include "config/Change.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace peridot;
using namespace peridot::testing;

class ConfigurationReaderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConfigurationReaderTest);
    CPPUNIT_TEST(pollsAndFetches);
    CPPUNIT_TEST(overlappingReadsCountFromTheirStart);
    CPPUNIT_TEST(asksPeersThenStore);
    CPPUNIT_TEST(neverGoesBack);
    CPPUNIT_TEST(rejectsWrongObjects);
    CPPUNIT_TEST_SUITE_END();

    NullEventLog m_log;
    ConfigurationReader m_reader { {}, m_log };
    TimePoint m_now { std::chrono::seconds { 50 } };
    const std::vector<InstanceId> m_peers { InstanceId("a"), InstanceId("b") };

    static Configuration versionOf(ConfigurationVersion version)
    {
        auto data = smallConfiguration().data();
        data.version = version;
        return Configuration::create(std::move(data)).value();
    }

    static StoreResult headOf(ConfigurationVersion version)
    {
        const HeadRow head { version, configurationObjectKey(version, "c"), "c", { { "c", version } } };
        return StoreValue { TableRows { { { configurationHeadKey, head.toJson(), version } } } };
    }

    static StoreResult objectOf(ConfigurationVersion version)
    {
        return StoreValue { ObjectValue { versionOf(version).toJson() } };
    }

    void adopt(ConfigurationVersion version)
    {
        m_reader.adopt(std::make_shared<const Configuration>(versionOf(version)));
    }

public:
    void pollsAndFetches()
    {
        CPPUNIT_ASSERT(m_reader.tick(false, {}, m_now).calls.empty());
        const auto poll = m_reader.tick(true, {}, m_now).calls;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, poll.size());
        CPPUNIT_ASSERT(m_reader.tick(true, {}, m_now + std::chrono::milliseconds { 499 }).calls.empty());
        const auto arrived = m_now + std::chrono::milliseconds { 30 };
        const auto output = m_reader.storeCompleted(poll.front().id, headOf(3), arrived);
        CPPUNIT_ASSERT(output.read && output.read->version == 3 && output.read->start == m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("config/3-c"), std::get<ObjectGet>(output.calls.at(0).request).key);
        CPPUNIT_ASSERT(m_reader.storeCompleted(output.calls.at(0).id, objectOf(3), arrived).isNewVersion);
        CPPUNIT_ASSERT_EQUAL(ConfigurationVersion { 3 }, m_reader.inForce()->version());
    }

    void overlappingReadsCountFromTheirStart()
    {
        adopt(3);
        const auto first = m_reader.tick(true, {}, m_now).calls.at(0);
        const auto second = m_reader.tick(true, {}, m_now + std::chrono::milliseconds { 500 }).calls.at(0);
        const auto late = m_now + std::chrono::milliseconds { 900 };
        CPPUNIT_ASSERT(m_reader.storeCompleted(second.id, headOf(3), late).read->start
            == m_now + std::chrono::milliseconds { 500 });
        CPPUNIT_ASSERT(m_reader.storeCompleted(first.id, headOf(3), late).read->start == m_now);
        const auto failed = makeError(ErrorCode::Unavailable, "read", "store", "down");
        const auto third = m_reader.tick(true, {}, late + std::chrono::milliseconds { 500 }).calls.at(0);
        CPPUNIT_ASSERT(!m_reader.storeCompleted(third.id, StoreResult(failed), late).read);
    }

    void asksPeersThenStore()
    {
        adopt(1);
        m_reader.heard(2);
        for (const char* peer : { "a", "b", "a" }) {
            const auto output = m_reader.tick(false, m_peers, m_now);
            CPPUNIT_ASSERT_EQUAL(InstanceId(peer), output.pulls.at(0).to);
            CPPUNIT_ASSERT(m_reader.tick(false, m_peers, m_now).pulls.empty()); // One at a time.
            m_now += std::chrono::milliseconds { 400 };
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_reader.tick(false, m_peers, m_now).calls.size());
    }

    void neverGoesBack()
    {
        adopt(5);
        CPPUNIT_ASSERT(!m_reader.adopt(std::make_shared<const Configuration>(versionOf(4))));
        m_reader.heard(6);
        const auto pull = m_reader.tick(false, m_peers, m_now).pulls.at(0).message;
        CPPUNIT_ASSERT(!m_reader.receive({ pull.sequence, 4, versionOf(4).toJson() }, m_now).isNewVersion);
        const auto poll = m_reader.tick(true, m_peers, m_now).calls.at(0);
        CPPUNIT_ASSERT(m_reader.storeCompleted(poll.id, headOf(4), m_now).calls.empty());
        CPPUNIT_ASSERT_EQUAL(ConfigurationVersion { 5 }, m_reader.version());
        CPPUNIT_ASSERT(m_reader.answer({ 7, 5 }).body.empty());
        CPPUNIT_ASSERT_EQUAL(ConfigurationVersion { 5 }, m_reader.answer({ 7, 4 }).version);
    }

    void rejectsWrongObjects()
    {
        adopt(1);
        m_reader.heard(2);
        const auto pull = m_reader.tick(false, m_peers, m_now).pulls.at(0).message;
        // The text of another version under the number that was asked for, a broken text, an answer to another pull.
        CPPUNIT_ASSERT(!m_reader.receive({ pull.sequence, 2, versionOf(3).toJson() }, m_now).isNewVersion);
        CPPUNIT_ASSERT(!m_reader.receive({ pull.sequence, 2, "{" }, m_now).isNewVersion);
        CPPUNIT_ASSERT(!m_reader.receive({ pull.sequence + 1, 2, versionOf(2).toJson() }, m_now).isNewVersion);
        CPPUNIT_ASSERT(m_reader.receive({ pull.sequence, 2, versionOf(2).toJson() }, m_now).isNewVersion);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationReaderTest);
