// Responses that break the grammar of HTTP, or that belong to no request, must not be returned, and a request must not
// be sent more often than the use of connections allows.

#include "rest/StrictHttpClient.h"

#include "support/BrokenHeads.h"
#include "support/CutResponses.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>

using namespace peridot;
using namespace std::chrono_literals;
using web::http::http_exception;

namespace {

constexpr Duration patience = 60s; // Long enough for any loaded machine; no test waits for it to pass.
const std::string wholeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

struct Outcome {
    std::optional<web::http::http_response> response;
    std::string body;
    std::string error; // Empty for a whole response.
    std::error_code code;
};

Outcome get(const StrictHttpClient& client, const std::string& body = {})
{
    web::http::http_request request(body.empty() ? "GET" : "POST");
    request.set_request_uri("/a?b=c");
    if (!body.empty())
        request.set_body(body);
    Outcome outcome;
    try {
        outcome.response = client.request(request).get();
        const auto bytes = outcome.response->extract_vector().get();
        outcome.body.assign(bytes.begin(), bytes.end());
    } catch (const http_exception& error) {
        outcome.error = error.what();
        outcome.code = error.error_code();
    }
    return outcome;
}

}

class StrictHttpClientTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StrictHttpClientTest);
    CPPUNIT_TEST(brokenHeadIsAnError);
    CPPUNIT_TEST(soundHeadIsReturnedAsItIs);
    CPPUNIT_TEST(cutResponseIsAnError);
    CPPUNIT_TEST(requestIsSentOnceMoreIfItsKeptConnectionWasClosed);
    CPPUNIT_TEST(requestOnASingleConnectionIsSentOnce);
    CPPUNIT_TEST(bytesBehindAResponseAreNotTakenForTheNextOne);
    CPPUNIT_TEST(requestWithAnEmptyBodyIsSent);
    CPPUNIT_TEST(unreachableServerIsSaidSo);
    CPPUNIT_TEST(responseThatDoesNotComeEndsWithTheTime);
    CPPUNIT_TEST_SUITE_END();

public:
    void brokenHeadIsAnError()
    {
        for (const auto use : { ConnectionUse::Kept, ConnectionUse::Single }) {
            for (const auto& broken : brokenHeads("X-Id: 1\r\n")) {
                for (const bool isCut : { false, true }) {
                    const ThreadedServer server([&](int) {
                        return RawServer::Answer { broken.bytes, {}, isCut ? std::optional(broken.cut) : std::nullopt };
                    });
                    const auto outcome = get(StrictHttpClient(server.address(), use, patience));
                    const auto description = broken.description(isCut) + "\n" + outcome.error;
                    CPPUNIT_ASSERT_MESSAGE(description, outcome.error.starts_with("malformed response: "));
                    CPPUNIT_ASSERT_MESSAGE(description, outcome.code == std::errc::bad_message);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(description, 1, server.requests());
                }
            }
        }
    }

    void soundHeadIsReturnedAsItIs()
    {
        for (const auto& sound : soundHeads("X-Id: 1\r\n")) {
            const ThreadedServer server([&](int) { return RawServer::Answer { sound.bytes }; });
            auto outcome = get(StrictHttpClient(server.address(), ConnectionUse::Kept, patience));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(sound.bytes, std::string(), outcome.error);
            CPPUNIT_ASSERT_EQUAL(static_cast<int>(sound.status), static_cast<int>(outcome.response->status_code()));
            CPPUNIT_ASSERT_EQUAL(std::string("one, two"), outcome.body);
            CPPUNIT_ASSERT_EQUAL(std::string("1"), outcome.response->headers()["X-Id"]);
            if (sound.field.empty())
                continue;
            const auto colon = sound.field.find(": ");
            CPPUNIT_ASSERT_EQUAL(
                sound.field.substr(colon + 2), outcome.response->headers()[sound.field.substr(0, colon)]);
        }
    }

    void cutResponseIsAnError()
    {
        for (const auto& cut : cutResponses("X-Id: 1\r\n")) {
            const ThreadedServer server([&](int) { return RawServer::Answer { cut.bytes, cut.end }; });
            const auto outcome = get(StrictHttpClient(server.address(), ConnectionUse::Single, patience));
            CPPUNIT_ASSERT_MESSAGE(cut.description(), !outcome.error.empty());
            CPPUNIT_ASSERT_MESSAGE(cut.description(), outcome.code == std::errc::connection_aborted);
        }
    }

    /** A server closes an idle connection while the next request is on its way. */
    void requestIsSentOnceMoreIfItsKeptConnectionWasClosed()
    {
        for (const std::string body : { "", "content" }) {
            const ThreadedServer server([](int n) {
                return n == 2 ? RawServer::Answer { "", BreakOff::Close } : RawServer::Answer { wholeResponse };
            });
            const StrictHttpClient client(server.address(), ConnectionUse::Kept, patience);
            for (const int requests : { 1, 3 }) {
                CPPUNIT_ASSERT_EQUAL(std::string("whole"), get(client, body).body);
                CPPUNIT_ASSERT_EQUAL(requests, server.requests());
            }
        }
    }

    void requestOnASingleConnectionIsSentOnce()
    {
        const ThreadedServer server([](int n) {
            return n == 2 ? RawServer::Answer { "", BreakOff::Close } : RawServer::Answer { wholeResponse };
        });
        const StrictHttpClient client(server.address(), ConnectionUse::Single, patience);
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), get(client, "content").body);
        CPPUNIT_ASSERT(!get(client, "content").error.empty());
        CPPUNIT_ASSERT_EQUAL(2, server.requests());
    }

    void bytesBehindAResponseAreNotTakenForTheNextOne()
    {
        const ThreadedServer server([](int n) {
            return RawServer::Answer { wholeResponse
                + (n == 1 ? "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra" : "") };
        });
        const StrictHttpClient client(server.address(), ConnectionUse::Kept, patience);
        for (int i = 0; i < 3; ++i)
            CPPUNIT_ASSERT_EQUAL(std::string("whole"), get(client).body);
    }

    void requestWithAnEmptyBodyIsSent()
    {
        const ThreadedServer server([](int) { return RawServer::Answer { wholeResponse }; });
        for (const auto use : { ConnectionUse::Kept, ConnectionUse::Single }) {
            web::http::http_request request("POST");
            request.headers().add("Content-Length", "0");
            const auto response = StrictHttpClient(server.address(), use, patience).request(request).get();
            CPPUNIT_ASSERT_EQUAL(std::string("whole"), response.extract_utf8string(true).get());
        }
    }

    void unreachableServerIsSaidSo()
    {
        std::string address;
        {
            const ThreadedServer server([](int) { return RawServer::Answer {}; });
            address = server.address();
        }
        const auto outcome = get(StrictHttpClient(address, ConnectionUse::Kept, patience));
        CPPUNIT_ASSERT_MESSAGE(outcome.error, outcome.code == std::errc::host_unreachable);
    }

    void responseThatDoesNotComeEndsWithTheTime()
    {
        const ThreadedServer server(
            [](int) { return RawServer::Answer { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\np" }; });
        const auto outcome = get(StrictHttpClient(server.address(), ConnectionUse::Single, 100ms));
        CPPUNIT_ASSERT_MESSAGE(outcome.error, outcome.code == std::errc::timed_out);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StrictHttpClientTest);
