// Requests that an instance without servers passes to another instance, over loopback sockets.

#include "GatewayHarness.h"

#include <boost/asio/ip/tcp.hpp>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <linux/filter.h>
#include <sys/socket.h>

#include <cstdint>
#include <memory>
#include <string>

using namespace peridot;

namespace {

/** Runs @p harness and @p others until the harness's caller has received @p text. */
bool receives(CallerAndGateway& harness, const std::vector<CallerAndGateway*>& others, const std::string& text)
{
    return harness.runUntil([&] {
        for (auto* other : others) {
            other->context.restart();
            other->context.poll();
        }
        return harness.received.find(text) != std::string::npos;
    });
}

/** Ports at which nothing listens. They stay bound until the program ends, because another program would get a port
 * that is free, and respond there. */
std::vector<std::uint16_t> closedPorts(std::size_t count)
{
    static boost::asio::io_context context;
    static std::vector<boost::asio::ip::tcp::socket> sockets;
    std::vector<std::uint16_t> ports;
    for (std::size_t i = 0; i < count; ++i) {
        sockets.emplace_back(context, boost::asio::ip::tcp::endpoint { processLoopback(), 0 });
        ports.push_back(sockets.back().local_endpoint().port());
    }
    return ports;
}

}

/** Listens, but the kernel drops all that arrives, so that connections to it stay half open. */
class SilentListener {
public:
    explicit SilentListener(boost::asio::io_context& context)
        : m_acceptor(context, { processLoopback(), 0 })
    {
        sock_filter drop[] = { BPF_STMT(BPF_RET | BPF_K, 0) };
        const sock_fprog filter { 1, drop };
        CPPUNIT_ASSERT_EQUAL(
            0, ::setsockopt(m_acceptor.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter));
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    boost::asio::ip::tcp::acceptor m_acceptor;
};

/** An instance with a server that responds to each request. */
struct ServingInstance : CallerAndGateway {
    explicit ServingInstance(const SteeringOptions& options)
        : CallerAndGateway(options)
        , server(context, {}, 10, [this](const auto& exchange) {
            seen = exchange->request.body().text();
            exchange->respond(makeResponse(boost::beast::http::status::ok, "text/plain", "from the server"));
        })
    {
        setRoute(false, 1);
        CPPUNIT_ASSERT(server.listen(onProcessLoopback()));
        setServers({ server.port() });
    }

    HttpServer server;
    std::string seen; // Body of the server's last request.
};

class PassedRequestTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PassedRequestTest);
    CPPUNIT_TEST(instanceWithoutServersPassesRequests);
    CPPUNIT_TEST(lostInstanceIsReplacedByAnother);
    CPPUNIT_TEST(instanceThatCannotServeIsReplacedByAnother);
    CPPUNIT_TEST(requestWhoseConnectionIsBeingOpenedIsPassed);
    CPPUNIT_TEST(connectionThatALeavingInstanceHasClosedIsNotUsed);
    CPPUNIT_TEST_SUITE_END();

    static SteeringOptions options(const std::string& instance)
    {
        SteeringOptions options;
        options.region = RegionId("jadran");
        options.instance = InstanceId(instance);
        return options;
    }

    static std::string addressOf(const CallerAndGateway& harness)
    {
        return onProcessLoopback(harness.callerServer.port());
    }

    /** Sends requests until the instance has found out that it reaches no server. */
    static void detach(CallerAndGateway& harness)
    {
        harness.setServers(closedPorts(4));
        harness.send("/first");
        CPPUNIT_ASSERT(harness.runUntil([&] { return harness.steering.isDetached(); }));
        CPPUNIT_ASSERT(harness.runUntil([&] { return harness.gateway.openRequests() == 0; }));
        harness.received.clear();
    }

public:
    /** The caller must get the response of the server, and the server the request, with their bodies. */
    void instanceWithoutServersPassesRequests()
    {
        CallerAndGateway cut(options("e-0"));
        ServingInstance peer(options("e-1"));
        cut.setRoute(false, 1);
        detach(cut);
        cut.steering.setInstances({ { InstanceId("e-0"), RegionId("jadran"), true, true, {} },
            { InstanceId("e-1"), RegionId("jadran"), true, false, addressOf(peer) } });
        cut.send("/book", "two seats", "POST");
        CPPUNIT_ASSERT_MESSAGE(cut.received, receives(cut, { &peer }, "from the server"));
        CPPUNIT_ASSERT_EQUAL(std::string("two seats"), peer.seen);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, cut.steering.counters().passed);
    }

    void lostInstanceIsReplacedByAnother()
    {
        CallerAndGateway cut(options("e-0"));
        ServingInstance peer(options("e-1"));
        cut.setRoute(false, 1);
        detach(cut);
        const auto gone = onProcessLoopback(closedPorts(1).front());
        cut.steering.setInstances({ { InstanceId("e-0"), RegionId("jadran"), true, true, {} },
            { InstanceId("e-1"), RegionId("jadran"), true, false, addressOf(peer) },
            { InstanceId("e-2"), RegionId("jadran"), true, false, gone } });
        for (int i = 0; i < 8; ++i) {
            cut.send("/book");
            CPPUNIT_ASSERT_MESSAGE(cut.received, receives(cut, { &peer }, "from the server"));
            cut.received.clear();
        }
    }

    /** Other instances may be cut off at the same time, or leave, before this one hears of it. */
    void instanceThatCannotServeIsReplacedByAnother()
    {
        CallerAndGateway cut(options("e-0"));
        CallerAndGateway cutToo(options("e-1"));
        CallerAndGateway leaving(options("e-2"));
        ServingInstance peer(options("e-3"));
        for (auto* it : { &cut, &cutToo, &leaving })
            it->setRoute(false, 1);
        leaving.gateway.rejectNewRequestsFrom(steadyNow());
        detach(cut);
        detach(cutToo);
        std::vector<EntryInstance> instances { { InstanceId("e-0"), RegionId("jadran"), true, true, {} } };
        for (auto* it : std::initializer_list<CallerAndGateway*> { &cutToo, &leaving, &peer })
            instances.push_back({ InstanceId("e-" + std::to_string(instances.size())), RegionId("jadran"), true, false,
                addressOf(*it) });
        cut.steering.setInstances(instances);
        for (int i = 0; i < 8; ++i) {
            cut.send("/book");
            CPPUNIT_ASSERT_MESSAGE(cut.received, receives(cut, { &cutToo, &leaving, &peer }, "from the server"));
            cut.received.clear();
        }
    }

    /** In a silent cut nothing of such a request was sent; it would wait for the connect timeout. */
    void requestWhoseConnectionIsBeingOpenedIsPassed()
    {
        auto settings = options("e-0");
        settings.reach.silence = std::chrono::milliseconds { 50 };
        ServerConnectionsOptions connections;
        connections.attemptTimeout = std::chrono::milliseconds { 50 };
        connections.connection.connectTimeout = std::chrono::seconds { 5 };
        CallerAndGateway cut(settings, connections);
        ServingInstance peer(options("e-1"));
        cut.setRoute(false, 1);
        SilentListener listeners[] = { SilentListener(cut.context), SilentListener(cut.context) };
        cut.setServers({ listeners[0].port(), listeners[1].port() });
        cut.steering.setInstances({ { InstanceId("e-0"), RegionId("jadran"), true, false, {} },
            { InstanceId("e-1"), RegionId("jadran"), true, false, addressOf(peer) } });
        // As many as it takes to have one at each server.
        for (int i = 0; i < 8; ++i)
            cut.send("/book/" + std::to_string(i), "a seat", "POST");
        CPPUNIT_ASSERT_MESSAGE(cut.received, receives(cut, { &peer }, "from the server"));
        CPPUNIT_ASSERT(cut.steering.isDetached());
        const auto& results = cut.steering.counters().results;
        CPPUNIT_ASSERT(results.contains(DispatchResult::Withdrawn) && !results.contains(DispatchResult::NotSent));
    }

    /** Load pattern: the other instance leaves and closes its connections, and a busy process handles a caller's
     * request before that. The other instance never read the request, but the caller was told that it may have run. */
    void connectionThatALeavingInstanceHasClosedIsNotUsed()
    {
        CallerAndGateway cut(options("e-0"));
        ServingInstance leaving(options("e-1"));
        ServingInstance peer(options("e-2"));
        cut.setRoute(false, 1);
        detach(cut);
        const EntryInstance self { InstanceId("e-0"), RegionId("jadran"), true, true, {} };
        const EntryInstance other { InstanceId("e-1"), RegionId("jadran"), true, false, addressOf(leaving) };
        cut.steering.setInstances({ self, other });
        cut.send("/book/1", "a seat", "POST");
        CPPUNIT_ASSERT_MESSAGE(cut.received, receives(cut, { &leaving }, "from the server"));
        cut.received.clear();
        // The own region's instance is preferred.
        cut.steering.setInstances(
            { self, other, { InstanceId("e-2"), RegionId("slavonija"), true, false, addressOf(peer) } });
        cut.send("/book/2", "a seat", "POST");
        leaving.callerServer.closeAll();
        CPPUNIT_ASSERT_MESSAGE(cut.received, receives(cut, { &peer }, "from the server"));
        CPPUNIT_ASSERT_EQUAL(std::string("a seat"), peer.seen);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PassedRequestTest);
