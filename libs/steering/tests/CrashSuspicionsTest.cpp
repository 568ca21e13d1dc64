// Evidence that a server has ended: what counts, what doesn't, and how long a report waits for it.

#include "SteeringFixtures.h"
#include "steering/CrashSuspicions.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace peridot;
using namespace peridot::steering_fixtures;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t harmful = 7;

std::string address(int server) { return "10.0.0." + std::to_string(server + 1) + ":80"; }

CrashReport report(int server, std::int64_t incarnation = 100)
{
    return { harmful, BackendServerId("i-" + std::to_string(server)), incarnation };
}

ListedServer entry(int server, std::int64_t incarnation)
{
    ListedServer result;
    result.id = report(server).server;
    result.address = address(server);
    result.incarnation = incarnation;
    return result;
}

}

class CrashSuspicionsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CrashSuspicionsTest);
    CPPUNIT_TEST(laterStartIsEvidence);
    CPPUNIT_TEST(entriesThatSayNothingAreNoEvidence);
    CPPUNIT_TEST(refusalBesideAConnectionIsEvidence);
    CPPUNIT_TEST(refusalsAloneAreNoEvidence);
    CPPUNIT_TEST(outcomesOfDifferentRoundsAreNotCompared);
    CPPUNIT_TEST(serverThatLivesClearsTheRequest);
    CPPUNIT_TEST(responseClearsTheRequest);
    CPPUNIT_TEST(reportsWaitForABoundedTime);
    CPPUNIT_TEST(memoryIsBounded);
    CPPUNIT_TEST(allAddressesAreCheckedInTurn);
    CPPUNIT_TEST_SUITE_END();

public:
    /** While all servers are down, no connection tells whether they have ended. */
    void laterStartIsEvidence()
    {
        m_suspicions.add(report(0), address(0), start);
        m_suspicions.add(report(1), address(1), start);
        m_suspicions.listed({ entry(0, 101) });
        CPPUNIT_ASSERT((m_suspicions.takeConfirmed() == std::vector { report(0) }));
        auto successor = entry(2, 101); // Another id at the address of the server that has ended.
        successor.address = address(1);
        m_suspicions.listed({ successor });
        CPPUNIT_ASSERT((m_suspicions.takeConfirmed() == std::vector { report(1) }));
        CPPUNIT_ASSERT(m_suspicions.isEmpty());
    }

    /** Among them the entry of an older start, from a store that has come back from a copy. */
    void entriesThatSayNothingAreNoEvidence()
    {
        m_suspicions.add(report(0), address(0), start);
        m_suspicions.add(report(1, 0), address(1), start);
        for (const auto& it : { entry(0, 100), entry(0, 99), entry(0, 0), entry(1, 0), entry(1, 100), entry(2, 200) })
            m_suspicions.listed({ it });
        CPPUNIT_ASSERT(m_suspicions.takeConfirmed().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, m_suspicions.size());
    }

    void refusalBesideAConnectionIsEvidence()
    {
        for (const bool isRefusedFirst : { true, false }) {
            CrashSuspicions suspicions({});
            suspicions.add(report(0), address(0), start);
            CPPUNIT_ASSERT((suspicions.beginRound(1, start) == std::vector { address(0) }));
            if (isRefusedFirst)
                suspicions.connectEnded(1, address(0), ConnectOutcome::Refused, start);
            suspicions.connectEnded(1, address(5), ConnectOutcome::Connected, start);
            if (!isRefusedFirst)
                suspicions.connectEnded(1, address(0), ConnectOutcome::Refused, start);
            CPPUNIT_ASSERT((suspicions.takeConfirmed() == std::vector { report(0) }));
        }
    }

    /** To an instance that is cut off, all servers refuse connections, or none answers. */
    void refusalsAloneAreNoEvidence()
    {
        m_suspicions.add(report(0), address(0), start);
        for (std::uint64_t round = 1; round < 20; ++round) {
            const auto now = start + round * 1s;
            m_suspicions.beginRound(round, now);
            m_suspicions.connectEnded(round, address(0), ConnectOutcome::Refused, now);
            m_suspicions.connectEnded(
                round, address(1), round % 2 == 0 ? ConnectOutcome::Refused : ConnectOutcome::Failed, now);
        }
        CPPUNIT_ASSERT(m_suspicions.takeConfirmed().empty());
    }

    /** The links of the instance may have come back between them. */
    void outcomesOfDifferentRoundsAreNotCompared()
    {
        m_suspicions.add(report(0), address(0), start);
        m_suspicions.beginRound(1, start);
        m_suspicions.connectEnded(1, address(0), ConnectOutcome::Refused, start);
        m_suspicions.beginRound(2, start + 1s);
        m_suspicions.connectEnded(2, address(5), ConnectOutcome::Connected, start + 1s);
        m_suspicions.connectEnded(1, address(0), ConnectOutcome::Refused, start + 1s); // Late.
        CPPUNIT_ASSERT(m_suspicions.takeConfirmed().empty());
        m_suspicions.connectEnded(2, address(0), ConnectOutcome::Connected, start + 1s);
        CPPUNIT_ASSERT(m_suspicions.takeConfirmed().empty());
    }

    /** A request whose connection was lost must not be blamed when the server ends for another reason. */
    void serverThatLivesClearsTheRequest()
    {
        const CrashSuspicionsOptions options;
        m_suspicions.add(report(0), address(0), start);
        m_suspicions.beginRound(1, start);
        m_suspicions.connectEnded(1, address(0), ConnectOutcome::Connected, start);
        m_suspicions.beginRound(2, start + 2s);
        m_suspicions.connectEnded(2, address(0), ConnectOutcome::Refused, start + 2s);
        m_suspicions.connectEnded(2, address(5), ConnectOutcome::Connected, start + 2s);
        CPPUNIT_ASSERT(m_suspicions.takeConfirmed().empty());
        CPPUNIT_ASSERT(m_suspicions.takeDropped(start + options.listingTime - 1ms).empty());
        const auto dropped = m_suspicions.takeDropped(start + options.listingTime);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, dropped.size());
        CPPUNIT_ASSERT(dropped[0].reason == CrashDropReason::ServerLives);
        m_suspicions.listed({ entry(0, 101) });
        CPPUNIT_ASSERT(m_suspicions.takeConfirmed().empty());
    }

    void responseClearsTheRequest()
    {
        m_suspicions.add(report(0), address(0), start);
        m_suspicions.completed(harmful);
        m_suspicions.listed({ entry(0, 101) });
        CPPUNIT_ASSERT(m_suspicions.takeConfirmed().empty());
    }

    void reportsWaitForABoundedTime()
    {
        const CrashSuspicionsOptions options;
        m_suspicions.add(report(0), address(0), start);
        CPPUNIT_ASSERT(m_suspicions.takeDropped(start + options.longestWait - 1ms).empty());
        const auto dropped = m_suspicions.takeDropped(start + options.longestWait);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, dropped.size());
        CPPUNIT_ASSERT(dropped[0].reason == CrashDropReason::NoEvidence);
        CPPUNIT_ASSERT(!m_suspicions.isRoundDue(start + 1h));
    }

    /** All requests that were open end when an instance loses its links. */
    void memoryIsBounded()
    {
        CrashSuspicionsOptions options;
        options.maximumReports = 2;
        CrashSuspicions suspicions(options);
        for (int i = 0; i < 3; ++i)
            suspicions.add(report(i), address(i), start + i * 1ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, suspicions.size());
        const auto dropped = suspicions.takeDropped(start + 3ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, dropped.size());
        CPPUNIT_ASSERT(dropped[0].report == report(0));
        CPPUNIT_ASSERT(dropped[0].reason == CrashDropReason::TooMany);
    }

    void allAddressesAreCheckedInTurn()
    {
        const CrashSuspicionsOptions options;
        for (int i = 0; i < 20; ++i)
            m_suspicions.add(report(i), address(i), start);
        std::set<std::string> checked;
        for (int round = 0; round < 3; ++round) {
            const auto now = start + round * options.checkInterval;
            CPPUNIT_ASSERT(m_suspicions.isRoundDue(now));
            const auto addresses = m_suspicions.beginRound(static_cast<std::uint64_t>(round) + 1, now);
            CPPUNIT_ASSERT_EQUAL(options.checksPerRound, addresses.size());
            CPPUNIT_ASSERT(!m_suspicions.isRoundDue(now));
            checked.insert(addresses.begin(), addresses.end());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 20 }, checked.size());
    }

private:
    CrashSuspicions m_suspicions { {} };
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashSuspicionsTest);
