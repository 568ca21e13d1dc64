// The server list during outages of the store.

#include "steering/ServerRegistry.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <functional>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1000s };

ListedServer server(int number)
{
    ListedServer server;
    server.id = BackendServerId("i-" + std::to_string(number));
    server.service = ServiceId("salonik");
    server.address = "10.0.0.1:" + std::to_string(8000 + number);
    return server;
}

std::vector<ListedServer> servers(int count)
{
    std::vector<ListedServer> list;
    list.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        list.push_back(server(i));
    return list;
}

}

class ServerRegistryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ServerRegistryTest);
    CPPUNIT_TEST(putKeepsServerIds);
    CPPUNIT_TEST(removedServersAreDroppedAtOnce);
    CPPUNIT_TEST(expiredEntriesStayUntilServersRegisterAgain);
    CPPUNIT_TEST(fewMissingEntriesAreDroppedAtOnce);
    CPPUNIT_TEST(onlyHeartbeatsLeaveAnEntryCurrent);
    CPPUNIT_TEST(shortOutageKeepsNoMissingEntries);
    CPPUNIT_TEST(refusedEntryIsNewsOnce);
    CPPUNIT_TEST(leavingServerStaysSoInARestoredList);
    CPPUNIT_TEST(removedServerGetsNoRequestsByARestoredList);
    CPPUNIT_TEST(serversThatTheCopyLacksAreKeptForAMoment);
    CPPUNIT_TEST(firstHeartbeatAfterARestoreIsHandedOn);
    CPPUNIT_TEST(removalInTheNewEraIsObeyedAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against moving a server before its id is read: all servers were then stored under one empty id. */
    void putKeepsServerIds()
    {
        ServerRegistry registry({});
        for (const auto& it : servers(3))
            registry.put(it);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, registry.servers().size());
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), registry.servers()[1].id.value());
    }

    /** A server that leaves must stop receiving requests within a bound that starts when its entry changes, so
     *  outside an outage its entry must be dropped without delay. */
    void removedServersAreDroppedAtOnce()
    {
        ServerRegistry registry({});
        registry.replace(servers(3), start);
        registry.remove(BackendServerId("i-0"), start + 1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, registry.servers().size());
        registry.replace(servers(1), start + 2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, registry.servers().size());
    }

    /** Load pattern: full traffic when the store is available again after an outage in which all heartbeats were
     *  lost. All entries have expired, but the servers are still running and must stay in use. */
    void expiredEntriesStayUntilServersRegisterAgain()
    {
        ServerRegistry registry({});
        registry.replace(servers(10), start);
        registry.contactLost(start + 1s);
        registry.contactRegained(start + 6s);
        registry.replace({}, start + 6s);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 10 }, registry.servers().size());
        registry.put(server(4));
        CPPUNIT_ASSERT(!registry.expire(start + 7'900ms));
        CPPUNIT_ASSERT(registry.expire(start + 8s));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, registry.servers().size());
        CPPUNIT_ASSERT_EQUAL(std::string("i-4"), registry.servers()[0].id.value());
    }

    /** Three servers left while only this instance had no connection to the store. Guards against using them for 2 s
     *  after the connection works again. */
    void fewMissingEntriesAreDroppedAtOnce()
    {
        ServerRegistry registry({});
        registry.replace(servers(20), start);
        registry.contactLost(start + 1s);
        registry.contactRegained(start + 13s);
        for (int i = 0; i < 3; ++i)
            registry.remove(server(i).id, start + 13s);
        registry.resolveMissing();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 17 }, registry.servers().size());
    }

    /** Entries do not expire within a few hundred milliseconds, so the missing servers have left and must be dropped.
     */
    void shortOutageKeepsNoMissingEntries()
    {
        ServerRegistry registry({});
        registry.replace(servers(4), start);
        registry.contactLost(start + 1s);
        registry.contactRegained(start + 1'500ms);
        registry.replace(servers(1), start + 1'500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, registry.servers().size());
    }

    /** Guards against treating a change as current: it would not be forwarded to the other instances of the region. */
    void onlyHeartbeatsLeaveAnEntryCurrent()
    {
        ServerRegistry registry({});
        CPPUNIT_ASSERT(!registry.isCurrent(server(1), start));
        auto known = server(1);
        known.coldUntil = start + 2s;
        registry.put(known);
        auto read = known;
        read.coldUntil += 50ms; // The entry was read with another latency.
        CPPUNIT_ASSERT(registry.isCurrent(read, start));
        read.coldUntil = {};
        CPPUNIT_ASSERT(!registry.isCurrent(read, start));
        CPPUNIT_ASSERT(registry.isCurrent(read, start + 3s));
        read.coldUntil = start + 7s;
        CPPUNIT_ASSERT(!registry.isCurrent(read, start + 3s));
        read = known;
        read.isLeaving = true;
        CPPUNIT_ASSERT(!registry.isCurrent(read, start));
        read = known;
        read.incarnation = 7;
        CPPUNIT_ASSERT(!registry.isCurrent(read, start));
        read = known;
        read.address = "10.0.0.2:8000";
        CPPUNIT_ASSERT(!registry.isCurrent(read, start));
        // An entry that expired and is registered again is a change even if its content is the same.
        registry.put(server(2));
        registry.contactLost(start);
        registry.contactRegained(start + 10s);
        registry.remove(known.id, start + 10s);
        CPPUNIT_ASSERT(!registry.isCurrent(known, start + 10s));
    }

    /** Another writer may renew an entry that nobody can use as often as servers send heartbeats. Each time it would
     *  wake all instances of the region and build the list of servers anew. */
    void refusedEntryIsNewsOnce()
    {
        ServerRegistry registry({});
        registry.replace(servers(3), start);
        CPPUNIT_ASSERT(!registry.isRefused(server(1).id));
        registry.refuse(server(1).id, start);
        registry.resolveMissing();
        CPPUNIT_ASSERT(registry.isRefused(server(1).id));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, registry.servers().size());
        registry.put(server(1));
        CPPUNIT_ASSERT(!registry.isRefused(server(1).id));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, registry.servers().size());
        for (const auto& forget : { std::function<void()>([&] { registry.remove(server(1).id, start); }),
                 std::function<void()>([&] { registry.replace(servers(3), start); }) }) {
            registry.refuse(server(1).id, start);
            forget();
            CPPUNIT_ASSERT(!registry.isRefused(server(1).id));
        }
    }

    /** The copy says that a server is ready which has said since that it leaves. Until it says so again, it got
     *  requests. */
    void leavingServerStaysSoInARestoredList()
    {
        ServerRegistry registry({});
        registry.replace(servers(4), start);
        auto leaving = server(1);
        leaving.isLeaving = true;
        registry.put(leaving);
        registry.replaceByRestored(servers(4), start + 1s);
        CPPUNIT_ASSERT(registry.servers()[1].isLeaving);
        CPPUNIT_ASSERT(!registry.expire(start + 8s));
        CPPUNIT_ASSERT(registry.expire(start + 9s)); // Nobody has confirmed it.
        CPPUNIT_ASSERT(!registry.servers()[1].isLeaving);
        // What the server writes after the return holds at once.
        registry.put(leaving);
        registry.replaceByRestored(servers(4), start + 10s);
        registry.put(server(1));
        CPPUNIT_ASSERT(!registry.servers()[1].isLeaving);
        CPPUNIT_ASSERT(!registry.expire(start + 60s));
        // The copy may know more than an instance that did not reach the store before.
        auto list = servers(4);
        list[1] = leaving;
        registry.replaceByRestored(list, start + 61s);
        CPPUNIT_ASSERT(registry.servers()[1].isLeaving);
    }

    /** The copy lists a server that has ended since. */
    void removedServerGetsNoRequestsByARestoredList()
    {
        ServerRegistry registry({});
        registry.replace(servers(4), start);
        registry.remove(BackendServerId("i-1"), start + 1s);
        registry.resolveMissing();
        registry.replaceByRestored(servers(4), start + 5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, registry.servers().size());
        CPPUNIT_ASSERT(registry.servers()[1].isLeaving);
        CPPUNIT_ASSERT(!registry.isCurrent(server(1), start + 6s));
        registry.put(server(1));
        CPPUNIT_ASSERT(!registry.servers()[1].isLeaving);
        // A server that has started anew under the id is another one.
        registry.remove(BackendServerId("i-1"), start + 20s);
        auto restarted = servers(4);
        restarted[1].incarnation = 2;
        registry.replaceByRestored(restarted, start + 21s);
        CPPUNIT_ASSERT(!registry.servers()[1].isLeaving);
    }

    /** Servers that registered after the copy write their entries again within two seconds. However few they are, they
     *  were dropped until then. */
    void serversThatTheCopyLacksAreKeptForAMoment()
    {
        ServerRegistry registry({});
        registry.replace(servers(20), start);
        registry.replaceByRestored(servers(18), start + 1s);
        registry.put(server(3));
        registry.resolveMissing();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 20 }, registry.servers().size());
        registry.put(server(18));
        CPPUNIT_ASSERT(registry.expire(start + 3s));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 19 }, registry.servers().size());
    }

    /** A reader took the heartbeat of a leaving server for one that says nothing new, because it knew the notice from
     *  before the store's return. Peers that did not know it never received it. */
    void firstHeartbeatAfterARestoreIsHandedOn()
    {
        ServerRegistry registry({});
        auto leaving = server(1);
        leaving.isLeaving = true;
        registry.replace({ server(0), leaving }, start);
        registry.replaceByRestored(servers(2), start + 1s);
        CPPUNIT_ASSERT(!registry.isCurrent(leaving, start + 2s));
        registry.put(leaving);
        CPPUNIT_ASSERT(registry.isCurrent(leaving, start + 2s));
    }

    /** Its entry was kept with those that the copy lacks. */
    void removalInTheNewEraIsObeyedAtOnce()
    {
        ServerRegistry registry({});
        registry.replace(servers(20), start);
        registry.replaceByRestored(servers(20), start + 1s);
        registry.remove(BackendServerId("i-3"), start + 2s);
        registry.resolveMissing();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 19 }, registry.servers().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerRegistryTest);
