// Backend servers that state that they leave, or that they want no requests of this instance for a while.

#include "SteeringFixtures.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

using namespace peridot;
using namespace peridot::steering_fixtures;

namespace {

ServerStatement leaving()
{
    ServerStatement statement;
    statement.isLeaving = true;
    return statement;
}

ServerStatement pause(Duration length)
{
    ServerStatement statement;
    statement.pause = length;
    return statement;
}

SendReport report(DispatchResult result, const ServerStatement& statement = {})
{
    SendReport report;
    report.result = result;
    report.statement = statement;
    return report;
}

std::vector<ListedServer> incarnationsOf(std::vector<ListedServer> servers, std::int64_t incarnation)
{
    for (auto& server : servers)
        server.incarnation = incarnation;
    return servers;
}

template <typename T> std::vector<T> all(const SteeringActions& actions)
{
    std::vector<T> result;
    for (const auto& action : actions) {
        if (const auto* it = std::get_if<T>(&action))
            result.push_back(*it);
    }
    return result;
}

}

class ServerStatementTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ServerStatementTest);
    CPPUNIT_TEST(leavingServerGetsNothingWhateverTheTableSays);
    CPPUNIT_TEST(newStartOfALeavingServerIsUsed);
    CPPUNIT_TEST(leavingIsToldWithItsIncarnation);
    CPPUNIT_TEST(requestsOnTheirWayToAClosedServerAreWithdrawn);
    CPPUNIT_TEST(pausedServerGetsNothingUntilTheEnd);
    CPPUNIT_TEST(pauseOutlastsTheServersEntry);
    CPPUNIT_TEST(endOfAPauseIsNoBurst);
    CPPUNIT_TEST(pauseOfAllServersIsAwaitedOrRejectedAtOnce);
    CPPUNIT_TEST(queuedRequestsAreRejectedWhenAllServersPause);
    CPPUNIT_TEST(pausedServersCountAsNoCapacity);
    CPPUNIT_TEST(unreadableStatementsAreNotedOnce);
    CPPUNIT_TEST_SUITE_END();

    const BackendServerId m_server { "i-0" };

    static ServicePool pool(std::int64_t incarnation = 7)
    {
        ServicePool pool(jadran, {}, 1);
        pool.setServers(incarnationsOf(servers(1, 8), incarnation), start);
        return pool;
    }

    static bool isUsed(ServicePool& pool, TimePoint now) { return pool.choose({}, now).hasFreeSlot; }

    TrafficSteering& steering(int count, std::uint32_t slots)
    {
        m_steering = std::make_unique<TrafficSteering>(options(), 1, m_log);
        m_steering->setRoutes(*RouteTable::create(data()));
        m_steering->setServers(servers(count, slots), start);
        return *m_steering;
    }

    NullEventLog m_log;
    std::unique_ptr<TrafficSteering> m_steering;

public:
    /** The table may be stale, or the store away; a row that vanishes and comes back changes nothing either. */
    void leavingServerGetsNothingWhateverTheTableSays()
    {
        auto it = pool();
        CPPUNIT_ASSERT(isUsed(it, start));
        CPPUNIT_ASSERT(it.stated(m_server, leaving(), start, start + 100ms).hasClosed());
        CPPUNIT_ASSERT(!isUsed(it, start + 100ms));
        it.setServers(incarnationsOf(servers(1, 8), 7), start + 1s);
        CPPUNIT_ASSERT(!isUsed(it, start + 1s));
        it.setServers({}, start + 2s);
        it.setServers(incarnationsOf(servers(1, 8), 7), start + 3s);
        CPPUNIT_ASSERT(!isUsed(it, start + 3s));
        std::vector<const ListedServer*> usable;
        it.addUsableServers(usable);
        CPPUNIT_ASSERT(usable.empty()); // Not probed either.
    }

    void newStartOfALeavingServerIsUsed()
    {
        auto it = pool();
        it.stated(m_server, leaving(), start, start + 100ms);
        it.setServers(incarnationsOf(servers(1, 8), 8), start + 1s);
        CPPUNIT_ASSERT(isUsed(it, start + 1s));
        // A response to a request that the earlier start got.
        CPPUNIT_ASSERT(!it.stated(m_server, leaving(), start + 900ms, start + 1100ms).hasClosed());
        CPPUNIT_ASSERT(isUsed(it, start + 1100ms));
        it.setServers({}, start + 2s);
        it.setServers(incarnationsOf(servers(1, 8), 8), start + 3s);
        CPPUNIT_ASSERT(isUsed(it, start + 3s));
    }

    /** Other instances would send requests until they have had such a response themselves. */
    void leavingIsToldWithItsIncarnation()
    {
        auto it = pool();
        CPPUNIT_ASSERT(it.notices(start).empty());
        it.stated(m_server, leaving(), start, start + 100ms);
        const auto notices = it.notices(start + 300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, notices.size());
        CPPUNIT_ASSERT(notices[0].isLeaving && notices[0].incarnation == 7 && notices[0].age == 200ms);
        CPPUNIT_ASSERT(notices[0].requestsPerSecond == unlimitedRate);
        auto other = pool();
        CPPUNIT_ASSERT(other.learn(notices[0], start + 300ms).leaving);
        CPPUNIT_ASSERT(!other.learn(notices[0], start + 400ms).leaving);
        CPPUNIT_ASSERT(!isUsed(other, start + 300ms));
        CPPUNIT_ASSERT(other.notices(start + 300ms).empty()); // It was not told by the server.
        auto restarted = pool(8);
        CPPUNIT_ASSERT(!restarted.learn(notices[0], start + 300ms).leaving);
        CPPUNIT_ASSERT(isUsed(restarted, start + 300ms));
        // An instance that learns of the server later.
        ServicePool late(jadran, {}, 1);
        late.learn(notices[0], start + 300ms);
        late.setServers(incarnationsOf(servers(1, 8), 7), start + 1s);
        CPPUNIT_ASSERT(!isUsed(late, start + 1s));
        CPPUNIT_ASSERT(it.notices(start + 60s).empty());
    }

    /** Their connections may open long after the server has said that it wants nothing. */
    void requestsOnTheirWayToAClosedServerAreWithdrawn()
    {
        for (const auto& statement : { leaving(), pause(2s) }) {
            auto& it = steering(2, 8);
            std::map<RequestHandle, BackendServerId> sent;
            for (RequestHandle handle = 1; handle <= 8; ++handle) {
                for (const auto& send : all<SendToServer>(it.begin(handle, request("/lookup/", handle), start)))
                    sent.emplace(send.request, send.server);
            }
            const auto server = sent.at(1);
            std::set<RequestHandle> expected;
            for (const auto& [handle, at] : sent) {
                if (handle != 1 && at == server)
                    expected.insert(handle);
            }
            CPPUNIT_ASSERT(!expected.empty() && expected.size() < 7);
            std::set<RequestHandle> withdrawn;
            for (const auto& action :
                all<WithdrawSend>(it.finished(1, report(DispatchResult::Shed, statement), start + 100ms)))
                withdrawn.insert(action.request);
            CPPUNIT_ASSERT(withdrawn == expected);
            // They, and the one that was turned away, go to the other server.
            const auto again = it.finished(*expected.begin(), report(DispatchResult::Withdrawn), start + 110ms);
            CPPUNIT_ASSERT(only<SendToServer>(again) && only<SendToServer>(again)->server != server);
        }
    }

    void pausedServerGetsNothingUntilTheEnd()
    {
        auto it = pool();
        CPPUNIT_ASSERT(it.stated(m_server, pause(1500ms), start, start + 100ms).hasClosed());
        // A shorter one that another response states does not lift it.
        CPPUNIT_ASSERT(!it.stated(m_server, pause(200ms), start, start + 200ms).hasClosed());
        // Nor does a success that was on its way.
        it.started(m_server, {}, start);
        it.finished(m_server, DispatchResult::Succeeded, 300ms, 300ms, {}, start + 300ms);
        for (auto now = start + 100ms; now < start + 1600ms; now += 100ms)
            CPPUNIT_ASSERT(!isUsed(it, now) && it.choose({}, now).pausedFor == start + 1600ms - now);
        CPPUNIT_ASSERT(isUsed(it, start + 1600ms));
    }

    /** Entries lapse in an outage of the store, and the server still wants nothing when they are back. */
    void pauseOutlastsTheServersEntry()
    {
        auto it = pool();
        it.stated(m_server, pause(5s), start, start + 100ms);
        it.setServers({}, start + 1s);
        it.setServers(incarnationsOf(servers(1, 8), 7), start + 2s);
        CPPUNIT_ASSERT(!isUsed(it, start + 2s));
        CPPUNIT_ASSERT(isUsed(it, start + 5100ms));
        it.stated(m_server, pause(5s), start + 6s, start + 6100ms);
        it.setServers(incarnationsOf(servers(1, 8), 8), start + 7s);
        CPPUNIT_ASSERT(isUsed(it, start + 7s));
    }

    /** All that has waited would reach a server in need at the same moment. */
    void endOfAPauseIsNoBurst()
    {
        auto it = pool();
        it.stated(m_server, pause(1s), start, start);
        const auto end = start + 1s;
        CPPUNIT_ASSERT(isUsed(it, end));
        it.started(m_server, {}, end);
        CPPUNIT_ASSERT(!isUsed(it, end + 50ms));
        it.finished(m_server, DispatchResult::Shed, 100ms, 100ms, {}, end + 100ms);
        CPPUNIT_ASSERT(isUsed(it, end + 200ms));
        it.started(m_server, {}, end + 200ms);
        CPPUNIT_ASSERT(!isUsed(it, end + 250ms));
        it.finished(m_server, DispatchResult::Succeeded, 100ms, 100ms, {}, end + 300ms);
        it.started(m_server, {}, end + 300ms);
        CPPUNIT_ASSERT(isUsed(it, end + 310ms));
    }

    /** A request that can't be served in time must not wait for its deadline, and its caller must not come too early.
     */
    void pauseOfAllServersIsAwaitedOrRejectedAtOnce()
    {
        for (const auto length : { 200ms, 5000ms }) {
            auto& it = steering(1, 8);
            it.begin(1, request("/book/"), start);
            it.finished(1, report(DispatchResult::Shed, pause(length)), start + 10ms);
            const auto actions = it.begin(2, request("/book/"), start + 20ms);
            if (length > 1s) {
                const auto* rejected = only<RejectRequest>(actions);
                CPPUNIT_ASSERT(rejected && rejected->reason == RejectReason::Paused);
                CPPUNIT_ASSERT(rejected->retryAfter >= length - 10ms);
                continue;
            }
            CPPUNIT_ASSERT(actions.empty());
            CPPUNIT_ASSERT(all<SendToServer>(it.tick(start + 200ms)).empty());
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, all<SendToServer>(it.tick(start + 220ms)).size());
        }
    }

    void queuedRequestsAreRejectedWhenAllServersPause()
    {
        auto& it = steering(1, 1);
        for (RequestHandle handle = 1; handle <= 6; ++handle)
            it.begin(handle, request("/book/", handle), start);
        const auto open = it.openRequests();
        auto actions = it.finished(1, report(DispatchResult::Shed, pause(10s)), start + 10ms);
        const auto more = it.tick(start + 30ms);
        actions.insert(actions.end(), more.begin(), more.end());
        std::size_t rejections = 0;
        for (const auto& rejected : all<RejectRequest>(actions)) {
            if (rejected.request == 1)
                continue;
            CPPUNIT_ASSERT(rejected.reason == RejectReason::Paused && rejected.retryAfter > 9s);
            ++rejections;
        }
        CPPUNIT_ASSERT(rejections >= 1);
        CPPUNIT_ASSERT_EQUAL(open - 1 - rejections, it.openRequests());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, it.openRequests()); // It runs at the server.
    }

    /** Requests would be kept for slots that nobody may use. */
    void pausedServersCountAsNoCapacity()
    {
        auto it = pool();
        CPPUNIT_ASSERT_DOUBLES_EQUAL(8, it.localSlots(), 1e-9);
        it.stated(m_server, pause(1s), start, start);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, it.localSlots(), 1e-9);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, it.statedServers().paused);
        it.tick(start + 1s, false);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(8, it.localSlots(), 1e-9);
    }

    void unreadableStatementsAreNotedOnce()
    {
        auto it = pool();
        ServerStatement unreadable;
        unreadable.isUnreadable = true;
        CPPUNIT_ASSERT(it.stated(m_server, unreadable, start, start).unreadable);
        CPPUNIT_ASSERT(!it.stated(m_server, unreadable, start, start + 1s).unreadable);
        CPPUNIT_ASSERT(isUsed(it, start + 1s));
        it.setServers(incarnationsOf(servers(1, 8), 8), start + 2s);
        CPPUNIT_ASSERT(it.stated(m_server, unreadable, start + 2s, start + 3s).unreadable);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerStatementTest);
