// Exchanges with backend servers and other instances whose response breaks off or is malformed: the caller must not get
// it.

#include "GatewayHarness.h"

#include "support/BrokenHeads.h"
#include "support/CutResponses.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

using namespace peridot;

namespace {

const std::string sealOfCutResponse = "X-Server-Seal: of-the-cut-response\r\n";
const std::string wholeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Server-Seal: of-the-whole\r\n\r\nwhole";

/** Like CallerAndGateway::runUntil(), but checks after each event. */
bool runQuickly(CallerAndGateway& harness, const std::function<bool()>& isDone)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds { 2 };
    while (!isDone() && std::chrono::steady_clock::now() < end) {
        harness.context.restart();
        harness.context.run_one_for(std::chrono::milliseconds { 1 });
        char buf[4096];
        boost::system::error_code ec;
        harness.received.append(buf, harness.callerSocket.read_some(boost::asio::buffer(buf), ec));
    }
    return isDone();
}

bool hasAnswer(CallerAndGateway& harness)
{
    return runQuickly(harness, [&] { return harness.received.find("\r\n\r\n") != std::string::npos; });
}

SteeringOptions optionsOf(const std::string& instance)
{
    SteeringOptions options;
    options.region = RegionId("jadran");
    options.instance = InstanceId(instance);
    options.bounds.retrySlack = 100; // The retry budget must not hide that requests are repeated.
    return options;
}

/** Two servers, of which the one that gets the first request sends a broken response. */
struct BreakingServers {
    BreakingServers(CallerAndGateway& harness, const RawServer::Answer& broken)
        : handler([this, broken](
                      const std::string&) { return ++requests == 1 ? broken : RawServer::Answer { wholeResponse }; })
        , first(harness.context, handler)
        , second(harness.context, handler)
    {
        harness.setServers({ first.port(), second.port() });
    }

    int requests = 0;
    RawServer::Handler handler;
    RawServer first;
    RawServer second;
};

RawServer::Answer answerOf(const BrokenHead& broken, bool isCut)
{
    return { broken.bytes, {}, isCut ? std::optional(broken.cut) : std::nullopt };
}

/** An instance that reaches no server, and the instance to which it passes requests. */
struct InstanceWithoutServers : CallerAndGateway {
    explicit InstanceWithoutServers(bool isIdempotent)
        : CallerAndGateway(optionsOf("e-0"))
        , other(context, [this](const std::string&) {
            ++passes;
            return answer;
        })
    {
        setRoute(isIdempotent, 2);
        setServers(closedPorts());
        send("/first");
        CPPUNIT_ASSERT(runQuickly(*this, [this] { return steering.isDetached() && gateway.openRequests() == 0; }));
        steering.setInstances({ { InstanceId("e-0"), RegionId("jadran"), true, true, {} },
            { InstanceId("e-1"), RegionId("jadran"), true, false, other.address() } });
    }

    std::vector<std::uint16_t> closedPorts()
    {
        std::vector<boost::asio::ip::tcp::acceptor> acceptors;
        std::vector<std::uint16_t> ports;
        for (int i = 0; i < 4; ++i) {
            acceptors.emplace_back(context, boost::asio::ip::tcp::endpoint { processLoopback(), 0 });
            ports.push_back(acceptors.back().local_endpoint().port());
        }
        return ports;
    }

    /** Sends a request. */
    bool isAnswered()
    {
        passes = 0;
        received.clear();
        send("/1", "two seats", "POST");
        return hasAnswer(*this);
    }

    RawServer::Answer answer;
    int passes = 0;
    RawServer other;
};

}

class BrokenExchangeTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BrokenExchangeTest);
    CPPUNIT_TEST(idempotentRequestIsSentAgain);
    CPPUNIT_TEST(requestThatMayRunOnceGetsAnError);
    CPPUNIT_TEST(brokenResponseOfAnInstanceIsNotPassedOn);
    CPPUNIT_TEST(instancesResponseDoesNotEndWithItsConnection);
    CPPUNIT_TEST(idempotentRequestIsSentAgainAfterABrokenHead);
    CPPUNIT_TEST(brokenHeadForARequestThatMayRunOnceIsAnError);
    CPPUNIT_TEST(brokenHeadFromAnInstanceIsNotPassedOn);
    CPPUNIT_TEST(soundHeadIsPassedOnAsItIs);
    CPPUNIT_TEST_SUITE_END();

public:
    /** A server that ended within its response left the caller with a part of it, framed as whole. */
    void idempotentRequestIsSentAgain()
    {
        for (const auto& cut : cutResponses(sealOfCutResponse)) {
            CallerAndGateway harness(optionsOf("e-0"));
            harness.setRoute(true, 2);
            BreakingServers servers(harness, { cut.bytes, cut.end });
            harness.send("/1");
            CPPUNIT_ASSERT_MESSAGE(cut.description(), hasAnswer(harness));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                cut.description(), wholeResponse.substr(0, 15), harness.received.substr(0, 15));
            CPPUNIT_ASSERT_MESSAGE(harness.received, harness.received.ends_with("whole"));
            CPPUNIT_ASSERT_MESSAGE(cut.description(), harness.received.find(sealOfCutResponse) == std::string::npos);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(cut.description(), 2, servers.requests);
        }
    }

    /** A request that was sent and may run only once must neither be sent again nor be called not run. */
    void requestThatMayRunOnceGetsAnError()
    {
        for (const auto& cut : cutResponses(sealOfCutResponse)) {
            CallerAndGateway harness(optionsOf("e-0"));
            harness.setRoute(false, 2);
            BreakingServers servers(harness, { cut.bytes, cut.end });
            harness.send("/1", "two seats", "POST");
            CPPUNIT_ASSERT_MESSAGE(cut.description(), hasAnswer(harness));
            // The status is 502, see CallerProtocolTest.
            CPPUNIT_ASSERT_MESSAGE(harness.received, harness.received.ends_with("\r\n\r\nserver_failed"));
            CPPUNIT_ASSERT_MESSAGE(harness.received, harness.received.find("Seal") == std::string::npos);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(cut.description(), 1, servers.requests);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, harness.gateway.openRequests());
        }
    }

    /** The other instance may be killed while it responds. The request may have run there. */
    void brokenResponseOfAnInstanceIsNotPassedOn()
    {
        const auto cuts = cutResponses(sealOfCutResponse);
        for (const bool isIdempotent : { true, false }) {
            InstanceWithoutServers harness(isIdempotent);
            for (const auto& cut : cuts) {
                harness.answer = { cut.bytes, cut.end };
                CPPUNIT_ASSERT_MESSAGE(cut.description(), harness.isAnswered());
                CPPUNIT_ASSERT_MESSAGE(harness.received, harness.received.ends_with("\r\n\r\nserver_failed"));
                CPPUNIT_ASSERT_MESSAGE(harness.received, harness.received.find("Seal") == std::string::npos);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(cut.description(), 1, harness.passes);
            }
        }
    }

    /** An instance states the length of each response. Without it, a response whose connection a fault on the way has
     *  closed looks whole at any byte of its body. */
    void instancesResponseDoesNotEndWithItsConnection()
    {
        for (const std::string version : { "HTTP/1.0", "HTTP/1.1" }) {
            InstanceWithoutServers harness(false);
            harness.answer = { version + " 200 OK\r\nX-Server-Seal: s\r\n\r\npart", BreakOff::Close };
            CPPUNIT_ASSERT(harness.isAnswered());
            CPPUNIT_ASSERT_MESSAGE(harness.received, harness.received.ends_with("\r\n\r\nserver_failed"));
            CPPUNIT_ASSERT_EQUAL(1, harness.passes);
            for (const std::string response :
                { "HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 304 Not Modified\r\n\r\n" }) {
                harness.answer = { response };
                CPPUNIT_ASSERT(harness.isAnswered());
                CPPUNIT_ASSERT_EQUAL(response.substr(0, 12), harness.received.substr(0, 12));
            }
        }
    }

    /** A status of 000 reached callers, as did lines whose field has no valid name. */
    void idempotentRequestIsSentAgainAfterABrokenHead()
    {
        for (const auto& broken : brokenHeads(sealOfCutResponse)) {
            for (const bool isCut : { false, true }) {
                CallerAndGateway harness(optionsOf("e-0"));
                harness.setRoute(true, 2);
                BreakingServers servers(harness, answerOf(broken, isCut));
                harness.send("/1");
                const auto description = broken.description(isCut);
                CPPUNIT_ASSERT_MESSAGE(description, hasAnswer(harness));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(description, wholeResponse.substr(0, 15), harness.received.substr(0, 15));
                CPPUNIT_ASSERT_MESSAGE(description + "\n" + harness.received, harness.received.ends_with("whole"));
                CPPUNIT_ASSERT_MESSAGE(harness.received, harness.received.find("Fault") == std::string::npos);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(description, 2, servers.requests);
            }
        }
    }

    void brokenHeadForARequestThatMayRunOnceIsAnError()
    {
        for (const auto& broken : brokenHeads(sealOfCutResponse)) {
            for (const bool isCut : { false, true }) {
                CallerAndGateway harness(optionsOf("e-0"));
                harness.setRoute(false, 2);
                BreakingServers servers(harness, answerOf(broken, isCut));
                harness.send("/1", "two seats", "POST");
                const auto description = broken.description(isCut);
                CPPUNIT_ASSERT_MESSAGE(description, hasAnswer(harness));
                CPPUNIT_ASSERT_MESSAGE(
                    description + "\n" + harness.received, harness.received.ends_with("\r\n\r\nserver_failed"));
                CPPUNIT_ASSERT_MESSAGE(harness.received, harness.received.find("Seal") == std::string::npos);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(description, 1, servers.requests);
            }
        }
    }

    /** A fault on the way between instances, or an instance of another build. */
    void brokenHeadFromAnInstanceIsNotPassedOn()
    {
        for (const bool isIdempotent : { true, false }) {
            InstanceWithoutServers harness(isIdempotent);
            for (const auto& broken : brokenHeads(sealOfCutResponse)) {
                for (const bool isCut : { false, true }) {
                    harness.answer = answerOf(broken, isCut);
                    const auto description = broken.description(isCut);
                    CPPUNIT_ASSERT_MESSAGE(description, harness.isAnswered());
                    CPPUNIT_ASSERT_MESSAGE(
                        description + "\n" + harness.received, harness.received.ends_with("\r\n\r\nserver_failed"));
                    CPPUNIT_ASSERT_MESSAGE(harness.received, harness.received.find("Seal") == std::string::npos);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(description, 1, harness.passes);
                }
            }
        }
    }

    void soundHeadIsPassedOnAsItIs()
    {
        for (const auto& sound : soundHeads(sealOfCutResponse)) {
            CallerAndGateway harness(optionsOf("e-0"));
            harness.setRoute(false, 1);
            BreakingServers servers(harness, { sound.bytes });
            harness.send("/1", "two seats", "POST");
            CPPUNIT_ASSERT_MESSAGE(sound.bytes, hasAnswer(harness));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                sound.bytes, "HTTP/1.1 " + std::to_string(sound.status) + " ", harness.received.substr(0, 13));
            CPPUNIT_ASSERT_MESSAGE(
                harness.received, harness.received.find("\r\n" + sound.field + "\r\n") != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(harness.received, harness.received.find(sealOfCutResponse) != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(harness.received, harness.received.find("\r\none, two") != std::string::npos);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(sound.bytes, 1, servers.requests);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BrokenExchangeTest);
