// Order, bounds, fairness and refusals of the request queue, in virtual time with a server of constant rate.

#include "routing/RequestQueue.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <random>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1000s };

QueuedRequest request(const std::string& id, const char* workspace, Duration target, TimePoint arrived = start)
{
    QueuedRequest result;
    result.id = RequestId(id);
    result.workspace = WorkspaceId(workspace);
    result.target = target;
    result.arrived = arrived;
    return result;
}

std::string drain(RequestQueue& queue, TimePoint now)
{
    std::string ids;
    while (const auto next = queue.pop(now))
        ids += next->id.value();
    return ids;
}

/** Calls @p tick every 10 ms, each time followed by one pop: a server of 100 requests a second. */
template <typename Tick, typename Served>
void serve(RequestQueue& queue, Duration length, const Tick& tick, const Served& served)
{
    for (auto now = start; now < start + length; now += 10ms) {
        tick(now);
        if (const auto next = queue.pop(now))
            served(now, *next);
    }
}

}

class RequestQueueTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RequestQueueTest);
    CPPUNIT_TEST(servesEarliestDeadlineFirst);
    CPPUNIT_TEST(workspacesTakeTurns);
    CPPUNIT_TEST(expensiveRequestsCountTheirCost);
    CPPUNIT_TEST(fullQueueDisplacesLeastImportant);
    CPPUNIT_TEST(fullQueueProtectsSmallWorkspaces);
    CPPUNIT_TEST(expiredAndCancelledLeaveAtOnce);
    CPPUNIT_TEST(putBackKeepsItsPlace);
    CPPUNIT_TEST(earlyRefusalsAreJustified);
    CPPUNIT_TEST(leastImportantClassIsRefusedFirst);
    CPPUNIT_TEST(tenfoldWorkspaceDelaysNobody);
    CPPUNIT_TEST(stalledServiceRefusesEarlyAndRecovers);
    CPPUNIT_TEST_SUITE_END();

public:
    void servesEarliestDeadlineFirst()
    {
        RequestQueue queue({});
        auto urgent = request("d", "w", 9s);
        urgent.deadline = start + 1s;
        auto important = request("b", "w", 2s);
        important.importance = 5;
        for (const auto& item : { request("a", "w", 3s), request("c", "w", 2s), important, urgent })
            CPPUNIT_ASSERT(queue.push(start, item));
        CPPUNIT_ASSERT(queue.front(start)->id == RequestId("d"));
        CPPUNIT_ASSERT_EQUAL(std::string("dbca"), drain(queue, start));
    }

    /** A long queue of one workspace must not be served before the single request of another. */
    void workspacesTakeTurns()
    {
        RequestQueue queue({});
        for (const auto* id : { "1", "2", "3", "4" })
            CPPUNIT_ASSERT(queue.push(start, request(id, "large", 1s)));
        CPPUNIT_ASSERT(queue.push(start, request("a", "small", 5s)));
        CPPUNIT_ASSERT_EQUAL(std::string("1a234"), drain(queue, start));
    }

    /** Equal numbers of unequal requests would not be equal shares of the service. */
    void expensiveRequestsCountTheirCost()
    {
        RequestQueue queue({});
        for (int i = 0; i < 40; ++i) {
            auto expensive = request("x" + std::to_string(i), "expensive", 1s);
            expensive.cost = 4;
            CPPUNIT_ASSERT(queue.push(start, expensive));
            CPPUNIT_ASSERT(queue.push(start, request("c" + std::to_string(i), "cheap", 1s)));
        }
        int expensive = 0;
        for (int i = 0; i < 50; ++i)
            expensive += queue.pop(start)->workspace == WorkspaceId("expensive");
        CPPUNIT_ASSERT(expensive >= 10 && expensive <= 13);
    }

    void fullQueueDisplacesLeastImportant()
    {
        RequestQueueOptions options;
        options.maximumLength = 2;
        RequestQueue queue(options);
        auto important = request("i", "w", 1s);
        important.importance = 2;
        CPPUNIT_ASSERT(queue.push(start, request("a", "w", 1s)));
        CPPUNIT_ASSERT(queue.push(start, request("b", "w", 2s)));
        CPPUNIT_ASSERT(queue.push(start, request("c", "w", 1s)).error().reason == QueueRefusalReason::QueueFull);
        CPPUNIT_ASSERT(queue.push(start, important));
        const auto removed = queue.removed(start);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, removed.size());
        CPPUNIT_ASSERT(removed.front().request.id == RequestId("b"));
        CPPUNIT_ASSERT(removed.front().refusal.reason == QueueRefusalReason::Displaced);
        CPPUNIT_ASSERT(removed.front().refusal.retryAfter.count() > 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, queue.length());
    }

    /** A workspace that fills the queue must not shut out the others. */
    void fullQueueProtectsSmallWorkspaces()
    {
        RequestQueueOptions options;
        options.maximumLength = 10;
        RequestQueue queue(options);
        for (int i = 0; i < 10; ++i)
            CPPUNIT_ASSERT(queue.push(start, request(std::to_string(i), "large", 1s)));
        CPPUNIT_ASSERT(!queue.push(start, request("x", "large", 1s)));
        for (const auto* id : { "a", "b", "c", "d", "e" })
            CPPUNIT_ASSERT(queue.push(start, request(id, "small", 1s)));
        CPPUNIT_ASSERT(!queue.push(start, request("f", "small", 1s)));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 5 }, queue.length(WorkspaceId("small")));
    }

    void expiredAndCancelledLeaveAtOnce()
    {
        RequestQueue queue({});
        auto hasty = request("a", "w", 1s);
        hasty.deadline = start + 300ms;
        for (const auto& item : { hasty, request("b", "w", 1s), request("c", "w", 5s) })
            CPPUNIT_ASSERT(queue.push(start, item));
        CPPUNIT_ASSERT(*queue.nextExpiry() == start + 300ms);
        CPPUNIT_ASSERT(queue.removed(start + 299ms).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, queue.removed(start + 300ms).size());
        CPPUNIT_ASSERT(queue.cancel(start + 301ms, RequestId("c")));
        CPPUNIT_ASSERT(!queue.cancel(start + 302ms, RequestId("c")));
        CPPUNIT_ASSERT(!queue.pop(start + 2s));
        CPPUNIT_ASSERT(queue.removed(start + 2s).front().refusal.reason == QueueRefusalReason::Expired);
        CPPUNIT_ASSERT(!queue.nextExpiry());
        auto late = request("d", "w", 1s, start + 3s);
        late.deadline = start + 3s;
        CPPUNIT_ASSERT(queue.push(start + 3s, late).error().reason == QueueRefusalReason::DeadlineUnreachable);
    }

    /** A request that a server refused must not go to the end of the queue. */
    void putBackKeepsItsPlace()
    {
        RequestQueue queue({});
        for (const auto* id : { "a", "b", "c" })
            CPPUNIT_ASSERT(queue.push(start, request(id, "w", 1s)));
        queue.putBack(start + 1ms, *queue.pop(start));
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), drain(queue, start + 2ms));
    }

    /** Refusing what could have been served wastes capacity; keeping what cannot only delays the refusal. The true wait
     *  is the number of requests ahead times 10 ms; the target allows 500 ms. */
    void earlyRefusalsAreJustified()
    {
        std::mt19937_64 random(6);
        RequestQueue queue({});
        int refused = 0;
        int late = 0;
        int served = 0;
        std::uint64_t id = 0;
        serve(
            queue, 60s,
            [&](TimePoint now) {
                for (auto n = random() % 4; n > 0; --n) { // 150% of the rate on average.
                    const auto ahead = queue.length();
                    const auto result = queue.push(now, request(std::to_string(++id), "w", 500ms, now));
                    if (result)
                        continue;
                    ++refused;
                    const auto wait = static_cast<int>(ahead) * 10ms;
                    CPPUNIT_ASSERT_MESSAGE("unjustified with " + std::to_string(ahead), wait >= 400ms);
                    CPPUNIT_ASSERT(result.error().retryAfter <= 500ms);
                }
            },
            [&](TimePoint now, const QueuedRequest& next) {
                ++served;
                late += now - next.arrived > 500ms;
            });
        CPPUNIT_ASSERT(refused > 2500);
        CPPUNIT_ASSERT(served > 5900);
        CPPUNIT_ASSERT(late * 50 < served);
    }

    /** With 80% of the rate in each of two classes, only the less important one may lose. */
    void leastImportantClassIsRefusedFirst()
    {
        std::mt19937_64 random(8);
        RequestQueue queue({});
        std::uint64_t id = 0;
        std::map<int, int> offered;
        std::map<int, int> served;
        serve(
            queue, 60s,
            [&](TimePoint now) {
                for (const int importance : { 0, 1 }) {
                    if (random() % 5 == 0)
                        continue;
                    auto item = request(std::to_string(++id), random() % 2 ? "a" : "b", 500ms, now);
                    item.importance = importance;
                    ++offered[importance];
                    static_cast<void>(queue.push(now, item));
                }
            },
            [&](TimePoint, const QueuedRequest& next) { ++served[next.importance]; });
        CPPUNIT_ASSERT(served[1] * 100 >= offered[1] * 99);
        CPPUNIT_ASSERT(served[0] + served[1] > 5900);
    }

    /** Five workspaces use 60% of the rate, a sixth sends ten times its share: the others must not notice. */
    void tenfoldWorkspaceDelaysNobody()
    {
        std::mt19937_64 random(9);
        RequestQueue queue({});
        std::uint64_t id = 0;
        int refusedOthers = 0;
        std::map<WorkspaceId, std::vector<Duration>> waits;
        serve(
            queue, 120s,
            [&](TimePoint now) {
                for (const auto* workspace : { "a", "b", "c", "d", "e", "tenfold" }) {
                    const bool isTenfold = std::string(workspace) == "tenfold";
                    std::poisson_distribution<int> count(isTenfold ? 1.2 : 0.12);
                    for (int n = count(random); n > 0; --n) {
                        const auto result = queue.push(now, request(std::to_string(++id), workspace, 500ms, now));
                        refusedOthers += !result && !isTenfold;
                    }
                }
                for (const auto& removed : queue.removed(now))
                    refusedOthers += removed.request.workspace != WorkspaceId("tenfold");
            },
            [&](TimePoint now, const QueuedRequest& next) { waits[next.workspace].push_back(now - next.arrived); });
        CPPUNIT_ASSERT_EQUAL(0, refusedOthers);
        for (auto& [workspace, list] : waits) {
            std::sort(list.begin(), list.end());
            if (workspace != WorkspaceId("tenfold"))
                CPPUNIT_ASSERT(list[list.size() * 99 / 100] <= 500ms);
        }
        // Its share of the rate is what the others leave: 40 a second.
        CPPUNIT_ASSERT(waits[WorkspaceId("tenfold")].size() > 4500);
    }

    /** While nothing is served, callers must be told early, and the first success must reopen the queue. */
    void stalledServiceRefusesEarlyAndRecovers()
    {
        RequestQueue queue({});
        int refused = 0;
        for (int i = 0; i < 1000; ++i) {
            const auto now = start + i * 10ms;
            refused += !queue.push(now, request(std::to_string(i), "w", 500ms, now));
            queue.removed(now);
        }
        CPPUNIT_ASSERT(refused > 800);
        const auto now = start + 10s;
        drain(queue, now);
        int admitted = 0;
        for (int i = 0; i < 100; ++i) {
            admitted
                += queue.push(now + i * 10ms, request("r" + std::to_string(i), "w", 500ms, now + i * 10ms)).has_value();
            queue.pop(now + i * 10ms);
        }
        CPPUNIT_ASSERT_EQUAL(100, admitted);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestQueueTest);
