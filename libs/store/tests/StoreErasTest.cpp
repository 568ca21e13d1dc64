// Tests what an instance concludes from the eras that the store and peers state.

#include "store/StoreEras.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace peridot {

class StoreErasTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StoreErasTest);
    CPPUNIT_TEST(positionsAreOrderedByEra);
    CPPUNIT_TEST(firstEraIsNoRestore);
    CPPUNIT_TEST(eachNewEraIsReportedOnce);
    CPPUNIT_TEST(responseFromBeforeTheReturnIsNotAccepted);
    CPPUNIT_TEST(storeWithoutErasIsAccepted);
    CPPUNIT_TEST(fallingOrMissingEraDoesNotCostTheStore);
    CPPUNIT_TEST(unstatedEraIsTheNewestUntilOneEnds);
    CPPUNIT_TEST_SUITE_END();

public:
    // A version from before the store's return counted as newer than all that were given out after it.
    void positionsAreOrderedByEra()
    {
        CPPUNIT_ASSERT(StorePosition(5, 2) > StorePosition(90, 1));
        CPPUNIT_ASSERT(StorePosition(6, 2) > StorePosition(5, 2));
        CPPUNIT_ASSERT(StorePosition(0, 0) > StorePosition(90));
    }

    // Every start of an instance would begin with a restore.
    void firstEraIsNoRestore()
    {
        m_eras.learn(7, "store");
        CPPUNIT_ASSERT_EQUAL(0, m_restores);
        CPPUNIT_ASSERT(m_eras.newest() == StoreEra { 7 });
    }

    void eachNewEraIsReportedOnce()
    {
        m_eras.learn(1, "store");
        CPPUNIT_ASSERT(m_eras.acceptResponse(2, 1));
        m_eras.learn(2, "peer");
        m_eras.learn(1, "peer");
        CPPUNIT_ASSERT_EQUAL(1, m_restores);
        m_eras.learn(4, "peer");
        CPPUNIT_ASSERT_EQUAL(2, m_restores);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, m_eras.endedEras());
    }

    // Rows of the lost time would be applied over those of the new era. Without a header, such a response could be one
    // of either.
    void responseFromBeforeTheReturnIsNotAccepted()
    {
        m_eras.learn(1, "store");
        m_eras.learn(2, "store");
        CPPUNIT_ASSERT(!m_eras.acceptResponse(1, 1));
        CPPUNIT_ASSERT(!m_eras.acceptResponse(std::nullopt, 1));
        CPPUNIT_ASSERT(m_eras.acceptResponse(2, 1));
    }

    void storeWithoutErasIsAccepted()
    {
        CPPUNIT_ASSERT(m_eras.acceptResponse(std::nullopt, std::nullopt));
        CPPUNIT_ASSERT(!m_eras.newest());
        CPPUNIT_ASSERT(m_eras.resolve(StorePosition { 9 }) == StorePosition { 9 });
    }

    // An instance that rejected such responses would be without the store until its next start.
    void fallingOrMissingEraDoesNotCostTheStore()
    {
        m_eras.learn(3, "store");
        CPPUNIT_ASSERT(m_eras.acceptResponse(1, 3));
        CPPUNIT_ASSERT(m_eras.acceptResponse(std::nullopt, 3));
        CPPUNIT_ASSERT(m_eras.newest() == StoreEra { 3 });
        CPPUNIT_ASSERT_EQUAL(0, m_restores);
    }

    // A peer of an earlier build states no era. Once versions were given out again, its versions order nothing.
    void unstatedEraIsTheNewestUntilOneEnds()
    {
        m_eras.learn(1, "store");
        CPPUNIT_ASSERT(m_eras.resolve(StorePosition { 9 }) == StorePosition(9, 1));
        m_eras.learn(2, "store");
        CPPUNIT_ASSERT(!m_eras.resolve(StorePosition { 9 }));
        CPPUNIT_ASSERT(m_eras.resolve(StorePosition { 9, 1 }) == StorePosition(9, 1));
        CPPUNIT_ASSERT(m_eras.resolve(StorePosition {}) == StorePosition {});
    }

private:
    NullEventLog m_log;
    int m_restores = 0;
    StoreEras m_eras { [this] { ++m_restores; }, m_log };
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreErasTest);

}
