// Guards the transport between instances on loopback: delivery in both directions, and input that must be dropped.

#include "wire/PeerTransport.h"

#include <cppunit/extensions/HelperMacros.h>
#include <zmq.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace peridot {

namespace {

    std::string freeAddress()
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        CPPUNIT_ASSERT_EQUAL(0, ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address));
        socklen_t size = sizeof address;
        ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
        ::close(descriptor);
        return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    }

    /** A transport that keeps what it received. */
    struct Peer {
        explicit Peer(const std::string& name, const std::string& deployment = "plesni-caj", const CurveKeys& keys = {})
            : address(freeAddress())
            , transport(
                  { DeploymentId { deployment }, InstanceId { name }, 1, address, 1000, !keys.publicKey.empty(), keys },
                  log, [this](const Envelope& envelope) { receive(envelope); })
        {
            CPPUNIT_ASSERT(transport.start().has_value());
        }

        void receive(const Envelope& envelope)
        {
            const std::lock_guard lock(mutex);
            received.push_back(envelope);
            changed.notify_all();
        }

        bool waitFor(std::size_t count)
        {
            std::unique_lock lock(mutex);
            return changed.wait_for(lock, std::chrono::seconds { 30 }, [&] { return received.size() >= count; });
        }

        NullEventLog log;
        std::string address;
        std::mutex mutex;
        std::condition_variable changed;
        std::vector<Envelope> received;
        PeerTransport transport;
    };

}

namespace {

    std::pair<std::string, std::string> makeKeyPair()
    {
        std::array<char, 41> publicKey {};
        std::array<char, 41> secretKey {};
        CPPUNIT_ASSERT_EQUAL(0, zmq_curve_keypair(publicKey.data(), secretKey.data()));
        return { publicKey.data(), secretKey.data() };
    }

}

class PeerTransportTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PeerTransportTest);
    CPPUNIT_TEST(deliversInBothDirections);
    CPPUNIT_TEST(dropsGarbageAndOtherDeployments);
    CPPUNIT_TEST(refusesAnAddressInUse);
    CPPUNIT_TEST(acceptsBothGenerationsOfKeysOnly);
    CPPUNIT_TEST_SUITE_END();

public:
    void deliversInBothDirections()
    {
        Peer one("one");
        Peer two("two");
        one.transport.send(two.address, ConfigurationPull { 1, 2 });
        CPPUNIT_ASSERT(two.waitFor(1));
        CPPUNIT_ASSERT_EQUAL(std::string("one"), two.received[0].sender.value());
        CPPUNIT_ASSERT_EQUAL(one.address, two.received[0].senderAddress);
        two.transport.send(one.address, ConfigurationObject { 1, 3, std::string(300000, 'c') });
        CPPUNIT_ASSERT(one.waitFor(1));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t { 300000 }, std::get<ConfigurationObject>(one.received[0].message).body.size());
    }

    // Neither plain bytes, nor ZeroMQ messages that are no envelopes, nor another deployment's messages reach the
    // receiver, and valid messages still arrive afterwards.
    void dropsGarbageAndOtherDeployments()
    {
        Peer target("target");
        sendPlainBytes(target.address);

        zmq::context_t context;
        zmq::socket_t garbage(context, zmq::socket_type::dealer);
        garbage.set(zmq::sockopt::linger, 1000);
        garbage.connect("tcp://" + target.address);
        garbage.send(zmq::buffer("no envelope", 11));
        garbage.send(zmq::buffer("two", 3), zmq::send_flags::sndmore);
        garbage.send(zmq::buffer("parts", 5));

        Peer foreign("foreign", "lithoplan");
        foreign.transport.send(target.address, ConfigurationPull { 1, 1 });
        while (target.transport.counters().foreign < 1 || target.transport.counters().unparsable < 2)
            std::this_thread::sleep_for(std::chrono::milliseconds { 5 });

        Peer valid("valid");
        valid.transport.send(target.address, ConfigurationPull { 7, 1 });
        CPPUNIT_ASSERT(target.waitFor(1));
        CPPUNIT_ASSERT_EQUAL(std::string("valid"), target.received[0].sender.value());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, target.received.size());
    }

    void refusesAnAddressInUse()
    {
        Peer first("first");
        NullEventLog log;
        PeerTransport second(
            { DeploymentId { "plesni-caj" }, InstanceId { "second" }, 1, first.address }, log, [](const Envelope&) {});
        const auto started = second.start();
        CPPUNIT_ASSERT(!started.has_value());
        CPPUNIT_ASSERT(started.error().message.find("in use") != std::string::npos);
    }

    // While keys are replaced, instances with the old and with the new key talk; a stranger and plain text don't.
    void acceptsBothGenerationsOfKeysOnly()
    {
        const auto server = makeKeyPair();
        const auto oldKeys = makeKeyPair();
        const auto newKeys = makeKeyPair();
        const auto keysOf = [&](const std::pair<std::string, std::string>& own) {
            return CurveKeys { server.first, server.second, own.first, own.second, { oldKeys.first, newKeys.first } };
        };
        Peer target("target", "plesni-caj", keysOf(newKeys));
        Peer stranger("stranger", "plesni-caj", keysOf(makeKeyPair()));
        Peer plain("plain");
        stranger.transport.send(target.address, ConfigurationPull { 1, 1 });
        plain.transport.send(target.address, ConfigurationPull { 2, 2 });
        while (target.transport.counters().refusedConnections == 0)
            std::this_thread::sleep_for(std::chrono::milliseconds { 5 });

        Peer current("current", "plesni-caj", keysOf(newKeys));
        Peer previous("previous", "plesni-caj", keysOf(oldKeys));
        current.transport.send(target.address, ConfigurationPull { 3, 3 });
        previous.transport.send(target.address, ConfigurationPull { 4, 4 });
        CPPUNIT_ASSERT(target.waitFor(2));
        target.transport.send(previous.address, ConfigurationPull { 5, 5 });
        CPPUNIT_ASSERT(previous.waitFor(1));
        for (const auto& envelope : target.received)
            CPPUNIT_ASSERT(envelope.sender.value() == "current" || envelope.sender.value() == "previous");
    }

private:
    static void sendPlainBytes(const std::string& address)
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in target {};
        target.sin_family = AF_INET;
        target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        target.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
        CPPUNIT_ASSERT_EQUAL(0, ::connect(descriptor, reinterpret_cast<sockaddr*>(&target), sizeof target));
        const std::string bytes = "GET / HTTP/1.1\r\nHost: x\r\n\r\n" + std::string(4096, '\xff');
        CPPUNIT_ASSERT(::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0);
        ::close(descriptor);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerTransportTest);

}
