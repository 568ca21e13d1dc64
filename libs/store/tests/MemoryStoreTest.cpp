// Compare-and-set must be all or nothing; leases, budget shares and the configuration head depend on it.

#include "store/MemoryStore.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace peridot;

class MemoryStoreTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MemoryStoreTest);
    CPPUNIT_TEST(commitsAllWritesTogether);
    CPPUNIT_TEST(refusesAllWritesIfOneConditionFails);
    CPPUNIT_TEST(reportsRowsNamedInConditions);
    CPPUNIT_TEST(neverRepeatsVersionAfterDeletion);
    CPPUNIT_TEST(rejectsKeysNamedTwice);
    CPPUNIT_TEST(scansPrefixInOrderUpToLimit);
    CPPUNIT_TEST(keepsObjects);
    CPPUNIT_TEST(listsInstances);
    CPPUNIT_TEST_SUITE_END();

    MemoryStore m_store;

    template <typename T> T get(const StoreRequest& request)
    {
        auto result = m_store.apply(request);
        CPPUNIT_ASSERT(result);
        return std::get<T>(*result);
    }

    RowVersion write(const std::string& key, const std::string& value, RowVersion expected)
    {
        auto result = get<CommitResult>(TableCommit { { { key, expected } }, { { key, value } } });
        CPPUNIT_ASSERT(result.isCommitted);
        return result.current.at(0).version;
    }

public:
    void commitsAllWritesTogether()
    {
        auto result = get<CommitResult>(TableCommit { { { "a", 0 }, { "b", 0 } }, { { "a", "1" }, { "b", "2" } } });
        CPPUNIT_ASSERT(result.isCommitted);
        auto rows = get<TableRows>(TableRead { { "b", "missing", "a" } }).rows;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, rows.size());
        CPPUNIT_ASSERT_EQUAL(std::string("2"), rows[0].value);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), rows[1].value);
    }

    void refusesAllWritesIfOneConditionFails()
    {
        const auto version = write("a", "1", 0);
        auto result
            = get<CommitResult>(TableCommit { { { "a", version }, { "b", 7 } }, { { "a", "2" }, { "b", "2" } } });
        CPPUNIT_ASSERT(!result.isCommitted);
        auto rows = get<TableRows>(TableRead { { "a", "b" } }).rows;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, rows.size());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), rows[0].value);
        CPPUNIT_ASSERT_EQUAL(version, rows[0].version);
    }

    void reportsRowsNamedInConditions()
    {
        const auto version = write("a", "1", 0);
        auto refused = get<CommitResult>(TableCommit { { { "a", 0 }, { "b", 0 } }, { { "a", "2" } } });
        CPPUNIT_ASSERT(!refused.isCommitted);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, refused.current.size());
        CPPUNIT_ASSERT_EQUAL(version, refused.current[0].version);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), refused.current[0].value);
        CPPUNIT_ASSERT_EQUAL(RowVersion { 0 }, refused.current[1].version);
        auto committed = get<CommitResult>(TableCommit { { { "a", version } }, { { "a", "2" } } });
        CPPUNIT_ASSERT_EQUAL(std::string("2"), committed.current.at(0).value);
        CPPUNIT_ASSERT(committed.current[0].version > version);
    }

    // A holder that was paused across a deletion must not win with a version of an earlier life of the row.
    void neverRepeatsVersionAfterDeletion()
    {
        const auto version = write("a", "1", 0);
        get<CommitResult>(TableCommit { { { "a", version } }, { { "a", std::nullopt } } });
        CPPUNIT_ASSERT(get<TableRows>(TableRead { { "a" } }).rows.empty());
        CPPUNIT_ASSERT(write("a", "2", 0) > version);
    }

    void rejectsKeysNamedTwice()
    {
        for (const auto& commit : { TableCommit { {}, { { "a", "1" }, { "a", "2" } } },
                 TableCommit { { { "a", 0 }, { "a", 1 } }, {} }, TableCommit { {}, { { "", "1" } } } }) {
            auto result = m_store.apply(commit);
            CPPUNIT_ASSERT(!result);
            CPPUNIT_ASSERT(result.error().code == ErrorCode::InvalidArgument);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_store.table().size());
    }

    void scansPrefixInOrderUpToLimit()
    {
        for (const auto* key : { "b/2", "a/1", "b/1", "b/3", "c" })
            write(key, "", 0);
        auto rows = get<TableRows>(TableScan { "b/", 2 }).rows;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, rows.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b/1"), rows[0].key);
        CPPUNIT_ASSERT_EQUAL(std::string("b/2"), rows[1].key);
    }

    void keepsObjects()
    {
        CPPUNIT_ASSERT(!get<ObjectValue>(ObjectGet { "config/1" }).value);
        get<ObjectStored>(ObjectPut { "config/1", std::string("a\0b", 3) });
        CPPUNIT_ASSERT_EQUAL(std::string("a\0b", 3), get<ObjectValue>(ObjectGet { "config/1" }).value.value());
        CPPUNIT_ASSERT(!m_store.apply(ObjectPut { "", "" }));
    }

    void listsInstances()
    {
        PlatformInstance instance;
        instance.name = "entry-1";
        m_store.putInstance(instance);
        CPPUNIT_ASSERT(m_store.setInstanceState("entry-1", PlatformInstanceState::Leaving));
        auto listed = get<InstanceList>(ListInstances {}).instances;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, listed.size());
        CPPUNIT_ASSERT(listed[0].state == PlatformInstanceState::Leaving);
        CPPUNIT_ASSERT(m_store.removeInstance("entry-1"));
        CPPUNIT_ASSERT(!m_store.removeInstance("entry-1"));
        CPPUNIT_ASSERT(!m_store.setInstanceState("entry-1", PlatformInstanceState::Live));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryStoreTest);
