// The judgement of responses and refusals: a trial is only as good as what its callers notice.

#include "LoadSettings.h"
#include "LoadStatistics.h"
#include "LookupCache.h"
#include "ReferenceBucket.h"
#include "ResponseCheck.h"
#include "RunAudit.h"
#include "HttpClients.h"
#include "program/CheckedBody.h"
#include "support/BrokenHeads.h"
#include "support/CutResponses.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <future>

using namespace peridot;
using namespace std::chrono_literals;

class LoadTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LoadTest);
    CPPUNIT_TEST(acceptsWholeOwnResponse);
    CPPUNIT_TEST(noticesDamagedAndForeignResponses);
    CPPUNIT_TEST(noticesMalformedResponses);
    CPPUNIT_TEST(clientNoticesMalformedResponses);
    CPPUNIT_TEST(acceptsReplayWithoutChecksumHeader);
    CPPUNIT_TEST(tellsRefusalsFromUnknownOutcomes);
    CPPUNIT_TEST(referenceBucketFollowsRateAndBurst);
    CPPUNIT_TEST(refusedRequestsDontCountAgainstTheRate);
    CPPUNIT_TEST(percentilesAreExact);
    CPPUNIT_TEST(mergesStatistics);
    CPPUNIT_TEST(auditFindsContradictions);
    CPPUNIT_TEST(parsesLookups);
    CPPUNIT_TEST(rejectsBadSettings);
    CPPUNIT_TEST_SUITE_END();

    const TimePoint m_start { 100s };

    static RequestKind kind(bool isIdempotent, std::uint32_t responseBytes = 0)
    {
        RequestKind value;
        value.isIdempotent = isIdempotent;
        value.responseBytes = responseBytes;
        return value;
    }

    static HttpOutcome response(const std::string& body)
    {
        HttpOutcome outcome;
        outcome.status = 200;
        outcome.body = body;
        outcome.headers
            = { { "content-length", std::to_string(body.size()) }, { "x-content-checksum", contentChecksum(body) } };
        return outcome;
    }

    /** Sends a request to a server that answers with these bytes and closes the connection. */
    static HttpOutcome exchangeWith(const std::string& bytes)
    {
        boost::asio::io_context context;
        RawServer server(context, [&](const std::string&) { return RawServer::Answer { bytes, BreakOff::Close }; });
        std::promise<HttpOutcome> ended;
        auto outcome = ended.get_future();
        sendHttp(
            server.address(), { "GET", "/", {}, "", false, 10s }, [&](const HttpOutcome& it) { ended.set_value(it); });
        while (outcome.wait_for(0s) != std::future_status::ready)
            context.run_one_for(1ms);
        return outcome.get();
    }

    static HttpOutcome refusal(int status, const std::string& body)
    {
        HttpOutcome outcome;
        outcome.status = status;
        outcome.body = body;
        return outcome;
    }

public:
    void acceptsWholeOwnResponse()
    {
        const auto whole = response(makeCheckedBody({ "r", "e1", "s" }, 900));
        CPPUNIT_ASSERT(judgeResponse(whole, kind(false, 900), "e1").outcome == Outcome::Completed);
    }

    void noticesDamagedAndForeignResponses()
    {
        const auto body = makeCheckedBody({ "r", "e1", "s" }, 900);
        const auto expect = [](const HttpOutcome& outcome, const RequestKind& kind, const char* code) {
            const auto judgement = judgeResponse(outcome, kind, "e1");
            CPPUNIT_ASSERT(judgement.outcome == Outcome::Wrong);
            CPPUNIT_ASSERT_EQUAL(std::string(code), judgement.code);
        };
        expect(response(makeCheckedBody({ "r", "e2", "s" }, 900)), kind(true), "response_of_another_request");
        expect(response(body), kind(true, 901), "short_body");
        expect(response("{}"), kind(true), "damaged_body");
        auto truncated = response(body);
        truncated.body.pop_back();
        expect(truncated, kind(true), "wrong_length");
        truncated.headers.erase("content-length");
        expect(truncated, kind(true), "wrong_checksum");
        auto unchecked = response(body);
        unchecked.headers.erase("x-content-checksum");
        expect(unchecked, kind(true), "no_checksum");
    }

    void acceptsReplayWithoutChecksumHeader()
    {
        auto replay = response(makeCheckedBody({ "r", "e1", "s" }, 900));
        replay.headers.erase("x-content-checksum");
        auto keyed = kind(false);
        keyed.hasIdempotencyKey = true;
        CPPUNIT_ASSERT(judgeResponse(replay, keyed, "e1").outcome == Outcome::Completed);
        replay.body[replay.body.find("filler") + 20] = 'X';
        CPPUNIT_ASSERT(judgeResponse(replay, keyed, "e1").outcome == Outcome::Wrong);
    }

    /** A malformed response counted as a lost connection, which may happen to a sound system. */
    void noticesMalformedResponses()
    {
        const std::string notRun = R"({"code":"rate_exceeded","run":"not_run"})";
        for (const int status : { 1, 99, 100, 199, 600, 999 }) {
            CPPUNIT_ASSERT(judgeResponse(refusal(status, notRun), kind(true), "").outcome == Outcome::Wrong);
            CPPUNIT_ASSERT_EQUAL(std::string("malformed"), judgeResponse(refusal(status, ""), kind(true), "").code);
        }
        for (const bool isIdempotent : { true, false }) {
            HttpOutcome malformed;
            malformed.error = "malformed response: status code 0";
            malformed.isMalformed = true;
            CPPUNIT_ASSERT(judgeResponse(malformed, kind(isIdempotent), "").outcome == Outcome::Wrong);
        }
    }

    /** The client must tell a malformed response from a connection that ended. */
    void clientNoticesMalformedResponses()
    {
        for (const auto& broken : brokenHeads("X-Content-Checksum: 1\r\n")) {
            const auto outcome = exchangeWith(broken.bytes);
            CPPUNIT_ASSERT_MESSAGE(broken.description(false) + outcome.error, outcome.isMalformed);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(broken.description(false), 0, outcome.status);
        }
        CPPUNIT_ASSERT(!exchangeWith("").isMalformed);
        CPPUNIT_ASSERT_EQUAL(204, exchangeWith("HTTP/1.1 204 No Content\r\n\r\n").status);
    }

    void tellsRefusalsFromUnknownOutcomes()
    {
        const auto notRun = refusal(429, R"({"code":"rate_exceeded","run":"not_run"})");
        CPPUNIT_ASSERT(judgeResponse(notRun, kind(false), "").outcome == Outcome::RefusedInside);
        CPPUNIT_ASSERT_EQUAL(std::string("rate_exceeded"), judgeResponse(notRun, kind(false), "").code);
        const auto unknown = refusal(502, R"({"code":"backend_failed","run":"unknown"})");
        CPPUNIT_ASSERT(judgeResponse(unknown, kind(false), "").outcome == Outcome::Unknown);
        CPPUNIT_ASSERT(judgeResponse(unknown, kind(true), "").outcome == Outcome::Failed);
        CPPUNIT_ASSERT_EQUAL(std::string("status_500"), judgeResponse(refusal(500, "<html>"), kind(true), "").code);
        HttpOutcome lost;
        CPPUNIT_ASSERT(judgeResponse(lost, kind(false), "").outcome == Outcome::Unknown);
        CPPUNIT_ASSERT(judgeResponse(lost, kind(true), "").outcome == Outcome::Failed);
        lost.isConnected = false;
        CPPUNIT_ASSERT(judgeResponse(lost, kind(false), "").outcome == Outcome::Failed);
    }

    void referenceBucketFollowsRateAndBurst()
    {
        ReferenceBucket bucket(10, 3, m_start);
        for (int i = 0; i < 3; ++i)
            CPPUNIT_ASSERT(bucket.take(m_start));
        CPPUNIT_ASSERT(!bucket.take(m_start + 99ms));
        CPPUNIT_ASSERT(bucket.take(m_start + 100ms));
        CPPUNIT_ASSERT(!bucket.take(m_start + 100ms));
        for (int i = 0; i < 3; ++i)
            CPPUNIT_ASSERT(bucket.take(m_start + 10s));
        CPPUNIT_ASSERT(!bucket.take(m_start + 10s));
    }

    void refusedRequestsDontCountAgainstTheRate()
    {
        ReferenceBucket bucket(10, 1, m_start);
        CPPUNIT_ASSERT(bucket.take(m_start));
        bucket.giveBack(m_start);
        CPPUNIT_ASSERT(bucket.take(m_start));
        CPPUNIT_ASSERT(!bucket.take(m_start));
        bucket.giveBack(m_start);
        bucket.giveBack(m_start);
        CPPUNIT_ASSERT(bucket.take(m_start));
        CPPUNIT_ASSERT(!bucket.take(m_start)); // Never more than the burst.
    }

    void percentilesAreExact()
    {
        LoadStatistics statistics;
        CPPUNIT_ASSERT(statistics.percentile(99) == Duration { 0 });
        for (int i = 100; i >= 1; --i)
            statistics.add(Outcome::Completed, "", std::chrono::milliseconds { i });
        statistics.add(Outcome::Failed, "x", 1h);
        CPPUNIT_ASSERT(statistics.percentile(50) == 50ms);
        CPPUNIT_ASSERT(statistics.percentile(99) == 99ms);
        CPPUNIT_ASSERT(statistics.percentile(99.9) == 100ms);
        CPPUNIT_ASSERT(statistics.percentile(100) == 100ms);
    }

    void mergesStatistics()
    {
        LoadStatistics first;
        LoadStatistics second;
        first.add(Outcome::RefusedInside, "rate_exceeded", 0ms);
        second.add(Outcome::RefusedInside, "rate_exceeded", 0ms);
        second.add(Outcome::Completed, "", 7ms);
        second.addRetry();
        first.merge(second);
        const auto document = first.toJson();
        CPPUNIT_ASSERT_EQUAL(3, document["sent"].get<int>());
        CPPUNIT_ASSERT_EQUAL(2, document["codes"]["refused_inside_rate"]["rate_exceeded"].get<int>());
        CPPUNIT_ASSERT_EQUAL(1, document["retries"].get<int>());
        CPPUNIT_ASSERT_EQUAL(7.0, document["latency_ms"]["p50"].get<double>());
    }

    void auditFindsContradictions()
    {
        RunAudit audit;
        audit.record("get", true, Outcome::Completed);
        audit.record("post", false, Outcome::Unknown);
        audit.record("refused", false, Outcome::RefusedAbove);
        // Attempts with one idempotency key: the first was refused, the second ran.
        audit.record("keyed", false, Outcome::RefusedInside);
        audit.record("keyed", false, Outcome::Completed);
        const auto clean = audit.compare({ { "get", 2 }, { "post", 1 }, { "keyed", 1 }, { "of another run", 5 } });
        CPPUNIT_ASSERT(clean.isClean());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 4 }, clean.runs);
        const auto dirty = audit.compare({ { "post", 2 }, { "refused", 1 }, { "keyed", 1 } });
        CPPUNIT_ASSERT(dirty.ranTwice == std::vector<std::string> { "post" });
        CPPUNIT_ASSERT(dirty.ranAlthoughRefused == std::vector<std::string> { "refused" });
        CPPUNIT_ASSERT(dirty.completedWithoutRun == std::vector<std::string> { "get" });
    }

    void parsesLookups()
    {
        const auto lookup = parseLookup(
            R"({"service":"a","version":1,"ttl_ms":5000,"instances":[{"address":"h:1"},{"address":"h:2"}]})", m_start);
        CPPUNIT_ASSERT(lookup.has_value());
        CPPUNIT_ASSERT(lookup->expires == m_start + 5s);
        CPPUNIT_ASSERT_EQUAL(std::string("h:2"), lookup->addresses.at(1));
        for (const auto* text : { "", "[]", R"({"ttl_ms":1})", R"({"ttl_ms":1,"instances":[]})",
                 R"({"ttl_ms":1,"instances":[{"name":"a"}]})", R"({"ttl_ms":"1","instances":[{"address":"h:1"}]})" })
            CPPUNIT_ASSERT_MESSAGE(text, !parseLookup(text, m_start));
    }

    void rejectsBadSettings()
    {
        const auto parse = [](const std::string& caller) {
            const auto text = R"({"deployment":"d","entry_addresses":["h:1"],"callers":[)" + caller + "]}";
            return parseLoadSettings(parseJsonWithComments(text, "test").value(), "test");
        };
        const std::string mix = R"("mix":[{"service":"a","method":"GET","path":"/x"}]})";
        CPPUNIT_ASSERT(parse(R"({"workspace":"w","rate_per_second":5,)" + mix));
        CPPUNIT_ASSERT(!parse(R"({"workspace":"w","rate_per_second":0,)" + mix));
        CPPUNIT_ASSERT(!parse(R"({"workspace":"w","rate_per_second":5,"mix":[]})"));
        CPPUNIT_ASSERT(!parse(R"({"workspace":"w","rate_per_second":5,"rate":1,)" + mix));
        CPPUNIT_ASSERT(
            !parse(R"({"workspace":"w","rate_per_second":5,"mix":[{"service":"a","method":"GET","path":"x"}]})"));
        CPPUNIT_ASSERT(!parse(""));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadTest);
