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
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerRegistryTest);
