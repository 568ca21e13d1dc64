// A fleet under random faults, one or several at once: loss, delay, duplication, reordering, pauses, deaths, restarts,
// cut domains and regions, isolated instances, outages of the store for all, for some or for all but one. Guards
// against evidence that lies and against states from which the fleet does not recover.

#include "Fleet.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace peridot;
using namespace peridot::testing;

using namespace std::chrono_literals;

namespace {

class MembershipTrial {
public:
    MembershipTrial(std::uint64_t seed, FleetMutation mutation)
        : m_random(seed * 7919)
        , m_fleet(settingsOf(seed, mutation))
    {
        // The moment after an acceptance is the dangerous one: the writer vanishes and nobody can ask the store.
        m_fleet.onAccepted = [this](std::size_t writer) {
            if (!m_hasFaults || m_random() % 6 != 0)
                return;
            m_fleet.kill(writer);
            m_fleet.setStoreUp(false);
        };
    }

    /** Returns what is wrong; empty if nothing is. */
    std::string run()
    {
        m_fleet.run(5s);
        for (int round = 0; round < 5; ++round) {
            m_hasFaults = true;
            for (int step = 0; step < 8; ++step) {
                fault();
                for (int i = 0; i < 4; ++i) {
                    m_fleet.change(m_random() % m_fleet.size());
                    m_fleet.run(std::chrono::milliseconds { 100 + m_random() % 900 });
                }
                if (m_random() % 4 == 0)
                    m_fleet.heal();
            }
            m_hasFaults = false;
            m_fleet.heal();
            for (std::size_t i = 0; i < m_fleet.size(); ++i)
                m_fleet.start(i);
            m_fleet.run(15s);
            if (!m_fleet.violation().empty())
                return m_fleet.violation();
            if (const auto missing = m_fleet.missing(); !missing.empty())
                return "15 s after all faults: " + missing;
        }
        return m_fleet.acceptedCount() < 10 ? "too few changes were accepted" : "";
    }

private:
    static FleetSettings settingsOf(std::uint64_t seed, FleetMutation mutation)
    {
        FleetSettings settings;
        settings.seed = seed;
        settings.membersPerDomain = { 3, 2, 4, 1, 2, 3 };
        settings.delayBetweenRegions = seed % 2 == 0 ? 55ms : 12ms;
        settings.mutation = mutation;
        return settings;
    }

    std::size_t any() { return m_random() % m_fleet.size(); }

    void fault()
    {
        switch (m_random() % 12) {
        case 0:
            m_fleet.kill(any());
            break;
        case 1:
            m_fleet.start(any());
            break;
        case 2:
            m_fleet.pause(any(), std::chrono::milliseconds { 300 + m_random() % 8000 });
            break;
        case 3:
            m_fleet.setLoss(0.02 * static_cast<double>(m_random() % 15));
            break;
        case 4:
            m_fleet.setJitter(std::chrono::milliseconds { m_random() % 2500 });
            m_fleet.setDuplication(0.2);
            break;
        case 5:
            m_fleet.cutRegion(m_fleet.regions()[m_random() % m_fleet.regions().size()], m_random() % 3 != 0);
            break;
        case 6:
            m_fleet.cutDomain(m_fleet.domains()[m_random() % m_fleet.domains().size()], m_random() % 3 != 0);
            break;
        case 7:
            m_fleet.isolate(any(), m_random() % 3 != 0);
            break;
        case 8:
            m_fleet.setStoreUp(m_random() % 3 == 0);
            break;
        case 9:
            for (std::size_t i = 0; i < m_fleet.size(); ++i)
                m_fleet.setReachesStore(i, m_random() % 3 == 0);
            break;
        case 10: {
            const auto only = any();
            for (std::size_t i = 0; i < m_fleet.size(); ++i)
                m_fleet.setReachesStore(i, i == only);
            m_fleet.change(only);
            break;
        }
        default:
            m_fleet.setStoreDelay(std::chrono::milliseconds { 10 + m_random() % 3000 });
            break;
        }
    }

    std::mt19937_64 m_random;
    bool m_hasFaults = true;
    Fleet m_fleet;
};

}

class MembershipTrialTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MembershipTrialTest);
    CPPUNIT_TEST(holdsUnderFaults);
    CPPUNIT_TEST(checksBite);
    CPPUNIT_TEST_SUITE_END();

public:
    void holdsUnderFaults()
    {
        for (std::uint64_t seed = 1; seed <= 24; ++seed) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                "seed " + std::to_string(seed), std::string(), MembershipTrial(seed, FleetMutation::None).run());
        }
    }

    void checksBite()
    {
        // FleetTest::acceptanceSurvivesItsWriter finds AcceptsAlone.
        for (const auto mutation :
            { FleetMutation::RelayVouchesAlone, FleetMutation::AgesAreDropped, FleetMutation::SilentDomainsCount }) {
            bool isFound = false;
            for (std::uint64_t seed = 1; seed <= 20 && !isFound; ++seed)
                isFound = MembershipTrial(seed, mutation).run().find("serves with version") != std::string::npos;
            CPPUNIT_ASSERT_MESSAGE("mutation " + std::to_string(static_cast<int>(mutation)), isFound);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTrialTest);
