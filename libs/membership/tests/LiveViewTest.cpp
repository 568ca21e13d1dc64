// Deltas bring a follower to the same list, whatever it knew, and ranks are stable.

#include "membership/LiveView.h"
#include "membership/RelayRank.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace peridot;
using namespace std::chrono_literals;

class LiveViewTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LiveViewTest);
    CPPUNIT_TEST(followerConvergesByDeltas);
    CPPUNIT_TEST(oldStateGetsFullList);
    CPPUNIT_TEST(silentDomainKeepsMembersButNotLive);
    CPPUNIT_TEST(platformListBootstrapsAndForgets);
    CPPUNIT_TEST(sumsLoadsByRegion);
    CPPUNIT_TEST(rankMovesOnlyTheMemberThatLeft);
    CPPUNIT_TEST_SUITE_END();

    const TimePoint m_now { 100s };
    LiveView m_view;

    static MemberInfo member(int domain, int number, std::uint64_t incarnation = 1)
    {
        const auto name = std::to_string(domain) + "-" + std::to_string(number);
        return { InstanceId("i" + name), incarnation, RegionId("r" + std::to_string(domain / 2)),
            FailureDomainId("d" + std::to_string(domain)), name + ":80", name + ":7400", InstanceState::Ready, 0 };
    }

    static PlatformInstance listed(int domain, int number)
    {
        const auto info = member(domain, number);
        PlatformInstance item;
        item.name = info.id.value();
        item.region = info.region;
        item.failureDomain = info.failureDomain;
        item.peerAddress = info.peerAddress;
        return item;
    }

    void fill(int domains, int members)
    {
        for (int d = 0; d < domains; ++d) {
            for (int i = 0; i < members; ++i)
                m_view.put(member(d, i));
        }
    }

public:
    void followerConvergesByDeltas()
    {
        std::mt19937 random(5);
        fill(4, 10);
        LiveView follower;
        for (int step = 0; step < 400; ++step) {
            const auto info = member(static_cast<int>(random() % 4), static_cast<int>(random() % 10), random() % 3);
            if (random() % 2 == 0)
                m_view.put(info);
            else
                m_view.remove(info.failureDomain, info.id, m_now);
            if (random() % 8 == 0)
                m_view.setSilent(info.failureDomain, random() % 2 == 0, m_now);
            if (step != 0 && random() % 3 != 0)
                continue; // The follower misses some states.
            const auto changes = m_view.changesSince(follower.hash());
            CPPUNIT_ASSERT(changes.has_value());
            for (const auto& summary : *changes)
                follower.apply(summary, m_now);
            CPPUNIT_ASSERT_EQUAL(m_view.hash(), follower.hash());
            CPPUNIT_ASSERT_EQUAL(m_view.liveCount(), follower.liveCount());
        }
    }

    void oldStateGetsFullList()
    {
        fill(1, 3);
        const KnownView old = m_view.known(FailureDomainId("d0"));
        for (std::uint64_t i = 2; i < 400; ++i)
            m_view.put(member(0, 1, i));
        CPPUNIT_ASSERT(m_view.changesSince(old).isFull);
        const auto recent = m_view.known(FailureDomainId("d0"));
        m_view.put(member(0, 2, 9));
        const auto delta = m_view.changesSince(recent);
        CPPUNIT_ASSERT(!delta.isFull && delta.members.size() == 1 && delta.removed.empty());
    }

    void silentDomainKeepsMembersButNotLive()
    {
        fill(2, 2);
        m_view.setSilent(FailureDomainId("d1"), true, m_now);
        CPPUNIT_ASSERT(!m_view.find(InstanceId("i1-0")));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, m_view.liveCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, m_view.findDomain(FailureDomainId("d1"))->members.size());
        m_view.setSilent(FailureDomainId("d1"), false, m_now);
        CPPUNIT_ASSERT(m_view.find(InstanceId("i1-0")));
    }

    void platformListBootstrapsAndForgets()
    {
        m_view.applyPlatformList({ listed(0, 0), listed(1, 0) }, std::nullopt, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, m_view.liveCount());
        // A relay's list wins over the platform's.
        auto summary = m_view.changesSince(KnownView { FailureDomainId("d0"), {} });
        summary.members = { member(0, 5) };
        m_view.apply(summary, m_now);
        m_view.applyPlatformList({ listed(0, 0), listed(1, 0) }, std::nullopt, m_now);
        CPPUNIT_ASSERT(!m_view.find(InstanceId("i0-0")));
        // A silent domain stays required until the list has dropped it for 30 s.
        m_view.setSilent(FailureDomainId("d1"), true, m_now);
        m_view.applyPlatformList({ listed(0, 0) }, std::nullopt, m_now + 29s);
        CPPUNIT_ASSERT(m_view.findDomain(FailureDomainId("d1")));
        m_view.applyPlatformList({ listed(0, 0), listed(1, 0) }, std::nullopt, m_now + 31s);
        CPPUNIT_ASSERT(m_view.findDomain(FailureDomainId("d1")));
        m_view.applyPlatformList({ listed(0, 0) }, std::nullopt, m_now + 31s);
        CPPUNIT_ASSERT(!m_view.findDomain(FailureDomainId("d1")));
    }

    void sumsLoadsByRegion()
    {
        fill(4, 1);
        const std::vector<ServiceLoad> loads { { ServiceId("s"), 10, 4, 1 } };
        for (int d = 0; d < 4; ++d)
            m_view.setReport(FailureDomainId("d" + std::to_string(d)), 7U + static_cast<unsigned>(d), loads, m_now);
        CPPUNIT_ASSERT_EQUAL(20U, m_view.loads(RegionId("r0")).at(0).slots);
        CPPUNIT_ASSERT_EQUAL(ConfigurationVersion { 7 }, m_view.lowestVersion());
        m_view.setSilent(FailureDomainId("d0"), true, m_now);
        CPPUNIT_ASSERT_EQUAL(8U, m_view.loads(RegionId("r0")).at(0).inFlight + 4);
        CPPUNIT_ASSERT_EQUAL(ConfigurationVersion { 8 }, m_view.lowestVersion());
    }

    void rankMovesOnlyTheMemberThatLeft()
    {
        fill(1, 20);
        const FailureDomainId domain("d0");
        auto before = rankMembers(m_view, domain);
        const auto relays = relaysOf(m_view, domain);
        CPPUNIT_ASSERT_EQUAL(relaysPerDomain, relays.size());
        CPPUNIT_ASSERT_EQUAL(before[2], relaysOf(m_view, domain, { { before[0], m_now } })[1]);
        auto leaving = *m_view.find(before[0]);
        leaving.state = InstanceState::Leaving;
        m_view.put(leaving);
        CPPUNIT_ASSERT_EQUAL(before[1], relaysOf(m_view, domain)[0]);
        m_view.remove(domain, before[0], m_now);
        before.erase(before.begin());
        CPPUNIT_ASSERT(before == rankMembers(m_view, domain));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LiveViewTest);
