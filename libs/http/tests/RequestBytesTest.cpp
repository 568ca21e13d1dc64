// The bodies of requests: held once however many servers they are sent to, and not after their answer.

#include "LoopbackCaller.h"

#include "http/ClientConnection.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <malloc.h>

#include <string>

using namespace peridot;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

std::size_t heapBytes()
{
    const auto info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

}

class RequestBytesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RequestBytesTest);
    CPPUNIT_TEST(copiesOfARequestShareItsBody);
    CPPUNIT_TEST(capacityIsKnownBefore);
    CPPUNIT_TEST(keptConnectionDoesNotHoldItsLastRequest);
    CPPUNIT_TEST_SUITE_END();

public:
    /** The body was copied for each server that a request was sent to. */
    void copiesOfARequestShareItsBody()
    {
        HttpRequest request(http::verb::post, "/", 11);
        for (int i = 0; i < 100; ++i)
            request.body().append(std::string(10'000, static_cast<char>('a' + i % 26)));
        const HttpRequest copy = request;
        CPPUNIT_ASSERT(copy.body().block(0).data() == request.body().block(0).data());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1'000'000 }, copy.body().size());
        request.body().append("more");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1'000'000 }, copy.body().text().size());
        CPPUNIT_ASSERT(request.body().text() == copy.body().text() + "more");
    }

    /** Memory is claimed before it is taken. */
    void capacityIsKnownBefore()
    {
        for (const std::size_t expected : { 0UL, 50'000UL, 1'000'000UL }) {
            RequestBytes bytes;
            bytes.expect(expected);
            for (std::size_t size = 1; bytes.size() < 1'000'000; size = size * 3 % 20'011) {
                const auto capacity = bytes.capacityWith(size);
                bytes.append(std::string(size, 'x'));
                CPPUNIT_ASSERT_EQUAL(capacity, bytes.capacity());
                CPPUNIT_ASSERT(bytes.capacity() >= bytes.size());
            }
        }
    }

    /** Each idle connection to a server held the last body that it had carried. */
    void keptConnectionDoesNotHoldItsLastRequest()
    {
        constexpr std::size_t bodyBytes = 10'000'000;
        Loopback loopback;
        const auto before = heapBytes();
        const auto connection = std::make_shared<ClientConnection>(
            loopback.context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), loopback.server.port()),
            ClientConnectionOptions {}, [](auto&) {}, [](auto&) {});
        bool isAnswered = false;
        HttpRequest request(http::verb::post, "/", 11);
        request.set(http::field::host, "a");
        request.body() = std::string(bodyBytes, 'b');
        request.prepare_payload();
        connection->send(
            std::move(request), nullptr, [&](const ExchangeResult& result) { isAnswered = result.has_value(); });
        CPPUNIT_ASSERT(loopback.runUntil([&] { return isAnswered; }));
        loopback.exchanges.clear();
        loopback.run(20ms);
        CPPUNIT_ASSERT(connection->isOpen());
        CPPUNIT_ASSERT(heapBytes() < before + bodyBytes / 2);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestBytesTest);
