// Entry instances that lose their links to all backend servers while callers and other instances reach them.

#include "SteeringFixtures.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

using namespace peridot;
using namespace peridot::steering_fixtures;

namespace {

enum class CutKind {
    Refused, // Connections are reset and new ones refused.
    Silent, // Nothing comes back.
    RefusedNew, // Open connections live on, new ones are refused.
    Accepted, // Something on the way accepts connections and resets them.
};

/** Instances in simulated time. Callers send each request once, to a random instance. */
class CutFleet {
public:
    CutFleet(std::size_t instances, std::uint64_t seed)
        : m_random(seed)
        , m_servers(servers(12, 8))
    {
        for (std::size_t i = 0; i < instances; ++i) {
            auto settings = options();
            settings.instance = InstanceId("e-" + std::to_string(i));
            m_instances.push_back({ std::make_unique<TrafficSteering>(settings, m_random(), m_log), {} });
            auto& steering = *m_instances.back().steering;
            steering.setRoutes(*RouteTable::create(data()));
            steering.setServers(m_servers, m_now);
        }
        publishInstances();
    }

    void cut(std::size_t instance, CutKind kind) { m_instances[instance].cut = kind; }
    void mend(std::size_t instance) { m_instances[instance].cut.reset(); }

    void run(Duration time)
    {
        const auto end = m_now + time;
        for (; m_now < end; m_now += 10ms) {
            if (m_now >= m_nextPublish) {
                publishInstances();
                m_nextPublish = m_now + 500ms;
            }
            for (int i = 0; i < 3; ++i)
                beginRequest();
            while (!m_events.empty() && m_events.begin()->first <= m_now)
                m_events.extract(m_events.begin()).mapped()();
            for (std::size_t i = 0; i < m_instances.size(); ++i)
                perform(i, m_instances[i].steering->tick(m_now));
        }
    }

    struct Share {
        double served = 0;
        double sent = 0;
        double value() const { return sent > 0 ? served / sent : 0; }
    };
    /** First tries that callers sent to the instance since @p from and until 1 s ago. */
    Share share(std::size_t instance, TimePoint from) const
    {
        Share share;
        for (const auto& [id, request] : m_requests) {
            if (request.instance != instance || request.sent < from || request.sent > m_now - 1s)
                continue;
            share.sent += 1;
            share.served += request.isServed ? 1 : 0;
        }
        return share;
    }
    /** The longest time to the answer of requests that were sent since @p from on a connection that was being opened.
     */
    Duration longestWhileConnecting(TimePoint from) const
    {
        Duration longest { 0 };
        for (const auto& [id, request] : m_requests) {
            if (request.wasConnecting && request.sent >= from)
                longest = std::max(longest, request.answered.value_or(m_now) - request.sent);
        }
        return longest;
    }
    /** Requests that ran more often than they may. */
    std::size_t repeatedRuns() const
    {
        return static_cast<std::size_t>(std::count_if(m_requests.begin(), m_requests.end(),
            [](const auto& it) { return it.second.runs > (it.second.isIdempotent ? 2U : 1U); }));
    }
    TimePoint now() const noexcept { return m_now; }
    TrafficSteering& steering(std::size_t instance) { return *m_instances[instance].steering; }

private:
    struct Instance {
        std::unique_ptr<TrafficSteering> steering;
        std::optional<CutKind> cut;
    };

    struct Request {
        std::size_t instance = 0;
        TimePoint sent;
        CallerRequest message;
        bool isIdempotent = true;
        bool isServed = false;
        bool wasConnecting = false; // To a server that it didn't reach.
        std::optional<TimePoint> answered;
        unsigned runs = 0;
    };

    struct Send {
        std::uint64_t number = 0;
        bool isConnecting = false; // To a server that the instance doesn't reach, without a byte sent.
    };

    struct Passed {
        std::size_t instance = 0;
        RequestHandle handle = 0;
        std::uint64_t send = 0;
    };

    /** A request at an instance, and where its answer goes: to the caller or to the instance that passed it on. */
    struct Handling {
        std::uint64_t request = 0;
        std::optional<Passed> passedBy;
    };

    void publishInstances()
    {
        std::vector<EntryInstance> all;
        for (std::size_t i = 0; i < m_instances.size(); ++i)
            all.push_back({ InstanceId("e-" + std::to_string(i)), jadran, true, m_instances[i].steering->isDetached(),
                std::to_string(i) });
        for (auto& instance : m_instances)
            instance.steering->setInstances(all);
    }

    void at(TimePoint time, std::function<void()> event) { m_events.emplace(time, std::move(event)); }

    void beginRequest()
    {
        const auto index = m_random() % m_instances.size();
        const auto id = ++m_lastRequest;
        auto& it = m_requests[id];
        it.instance = index;
        it.sent = m_now;
        it.isIdempotent = m_random() % 2 == 0;
        it.message = request(it.isIdempotent ? "/lookup/" : "/book/", m_random() % 200);
        begin(index, { id, {} }, it.message);
    }

    void begin(std::size_t index, Handling handling, const CallerRequest& message)
    {
        const auto handle = ++m_lastHandle;
        m_handlings[handle] = handling;
        perform(index, m_instances[index].steering->begin(handle, message, m_now));
    }

    void perform(std::size_t index, const SteeringActions& actions)
    {
        for (const auto& action : actions)
            std::visit([&](const auto& it) { perform(index, it); }, action);
    }

    /** Notes a send of the request. Returns its number, for close(). */
    std::uint64_t open(RequestHandle handle, bool isConnecting = false)
    {
        m_open[handle] = { ++m_lastSend, isConnecting };
        return m_lastSend;
    }

    /** Returns whether the send was open until now. */
    bool close(RequestHandle handle, std::uint64_t send)
    {
        const auto it = m_open.find(handle);
        if (it == m_open.end() || it->second.number != send)
            return false;
        m_open.erase(it);
        return true;
    }

    void finishAt(TimePoint time, std::size_t index, RequestHandle handle, std::uint64_t send, DispatchResult result,
        std::optional<Duration> connectTime = std::nullopt)
    {
        at(time, [=, this] {
            if (close(handle, send))
                finish(index, handle, result, connectTime);
        });
    }

    void perform(std::size_t index, const SendToServer& send)
    {
        const auto handle = send.request;
        const auto cut = m_instances[index].cut;
        if (!cut) {
            ++m_requests[m_handlings[handle].request].runs;
            at(m_now + 120ms, [this, index, handle, number = open(handle)] {
                // A cut that began meanwhile takes the response.
                const auto kind = m_instances[index].cut;
                if (!close(handle, number) || kind == CutKind::Silent)
                    return;
                finish(index, handle,
                    kind == CutKind::Refused || kind == CutKind::Accepted ? DispatchResult::Broken
                                                                          : DispatchResult::Succeeded);
            });
        } else if (*cut == CutKind::Silent) {
            const bool isConnecting = m_random() % 2 != 0;
            const auto number = open(handle, isConnecting);
            m_requests[m_handlings[handle].request].wasConnecting = isConnecting;
            if (isConnecting)
                finishAt(m_now + 1s, index, handle, number, DispatchResult::NotSent);
        } else if (*cut == CutKind::Accepted) {
            finishAt(m_now + 10ms, index, handle, open(handle), DispatchResult::Broken, 1ms);
        } else {
            finishAt(m_now + 10ms, index, handle, open(handle), DispatchResult::NotSent);
        }
    }

    void perform(std::size_t index, const PassToInstance& pass)
    {
        at(m_now + 10ms, [this, index, pass, number = open(pass.request)] {
            auto message = m_requests[m_handlings[pass.request].request].message;
            message.passedAfter = pass.waited;
            message.remainingTime = pass.remainingTime;
            begin(std::stoul(pass.address),
                { m_handlings[pass.request].request, Passed { index, pass.request, number } }, message);
        });
    }

    void perform(std::size_t index, const ProbeServer& probe)
    {
        const auto cut = m_instances[index].cut;
        at(m_now + (cut == CutKind::Silent ? 300ms : 10ms), [this, index, probe, cut] {
            perform(index,
                m_instances[index].steering->probed(
                    probe, cut ? ConnectOutcome::Refused : ConnectOutcome::Connected, m_now));
        });
    }

    void perform(std::size_t index, const CheckServer& check)
    {
        const auto cut = m_instances[index].cut;
        at(m_now + (cut == CutKind::Silent ? 300ms : 10ms), [this, index, check, cut] {
            m_instances[index].steering->checked(
                check, cut ? ConnectOutcome::Refused : ConnectOutcome::Connected, m_now);
        });
    }

    void perform(std::size_t, const CancelSend& cancel) { m_open.erase(cancel.request); }

    void perform(std::size_t index, const WithdrawSend& withdraw)
    {
        if (const auto it = m_open.find(withdraw.request); it != m_open.end() && it->second.isConnecting)
            finishAt(m_now, index, withdraw.request, it->second.number, DispatchResult::Withdrawn);
    }

    void perform(std::size_t, const DeliverResponse& deliver) { answer(deliver.request, true); }

    void perform(std::size_t, const RejectRequest& reject) { answer(reject.request, false); }

    void answer(RequestHandle handle, bool isServed)
    {
        const auto handling = m_handlings[handle];
        auto& request = m_requests[handling.request];
        request.isServed = isServed;
        request.answered = m_now;
        if (!handling.passedBy)
            return;
        const auto& passed = *handling.passedBy;
        finishAt(m_now + 10ms, passed.instance, passed.handle, passed.send, DispatchResult::Succeeded);
    }

    void finish(std::size_t index, RequestHandle handle, DispatchResult result,
        std::optional<Duration> connectTime = std::nullopt)
    {
        SendReport report;
        report.result = result;
        report.connectTime = connectTime;
        if (result == DispatchResult::Succeeded && m_random() % 4 == 0 && !m_instances[index].cut)
            report.connectTime = 1ms;
        perform(index, m_instances[index].steering->finished(handle, report, m_now));
    }

    NullEventLog m_log;
    std::mt19937_64 m_random;
    TimePoint m_now = start;
    TimePoint m_nextPublish = start;
    std::vector<ListedServer> m_servers;
    std::vector<Instance> m_instances;
    std::map<std::uint64_t, Request> m_requests;
    std::map<RequestHandle, Handling> m_handlings;
    std::map<RequestHandle, Send> m_open; // Sends without a result.
    std::uint64_t m_lastSend = 0;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::uint64_t m_lastRequest = 0;
    RequestHandle m_lastHandle = 0;
};

}

class DetachedInstanceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DetachedInstanceTest);
    CPPUNIT_TEST(callersOfAnInstanceWithoutServersAreServed);
    CPPUNIT_TEST(requestsThatAreStillConnectingArePassedAtOnce);
    CPPUNIT_TEST(attachedInstanceServesItsCallersItself);
    CPPUNIT_TEST(cutOfAllInstancesIsRejectedAtOnce);
    CPPUNIT_TEST(homedRequestsArePassedWithinTheirHomes);
    CPPUNIT_TEST(passedRequestIsNotPassedAgainNorRepeated);
    CPPUNIT_TEST(instanceThatWasReachedTooLateIsNotUnable);
    CPPUNIT_TEST(unableInstanceIsLeftOutForAWhile);
    CPPUNIT_TEST(passedRequestsAreNoLateAttempts);
    CPPUNIT_TEST(timeoutOfAPassedRequestCountsFromItsArrival);
    CPPUNIT_TEST(cutInstanceBlamesNoRequest);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Callers keep using an instance that reaches no server, because they keep connections and lookups. */
    void callersOfAnInstanceWithoutServersAreServed()
    {
        for (const auto kind : { CutKind::Refused, CutKind::Silent, CutKind::RefusedNew, CutKind::Accepted }) {
            for (const std::size_t cuts : { 1, 3 }) {
                CutFleet fleet(6, 1);
                fleet.run(3s);
                for (std::size_t i = 0; i < cuts; ++i)
                    fleet.cut(i, kind);
                const auto began = fleet.now();
                fleet.run(12s);
                double others = 0;
                for (std::size_t i = cuts; i < 6; ++i)
                    others += fleet.share(i, began + 3s).value() / static_cast<double>(6 - cuts);
                for (std::size_t i = 0; i < cuts; ++i) {
                    const auto own = fleet.share(i, began + 3s).value();
                    CPPUNIT_ASSERT_MESSAGE("served " + std::to_string(own) + ", others " + std::to_string(others),
                        own >= others * 2 / 3 && others > 0.9);
                }
                CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, fleet.repeatedRuns());
            }
        }
    }

    /** Connections to silent servers open for a second before they fail, and nothing was sent on them until then. */
    void requestsThatAreStillConnectingArePassedAtOnce()
    {
        CutFleet fleet(6, 3);
        fleet.run(3s);
        fleet.cut(0, CutKind::Silent);
        const auto began = fleet.now();
        while (!fleet.steering(0).isDetached() && fleet.now() < began + 2s)
            fleet.run(10ms);
        CPPUNIT_ASSERT(fleet.steering(0).isDetached());
        const auto detached = fleet.now();
        fleet.run(3s);
        const auto longest = fleet.longestWhileConnecting(detached - 300ms);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(toSeconds(longest)) + " s", longest > 0ms && longest < 600ms);
    }

    /** An instance that went on passing requests, or avoided the servers that it had failed to reach, would load its
     *  peers for no reason. */
    void attachedInstanceServesItsCallersItself()
    {
        for (const auto kind : { CutKind::Refused, CutKind::Silent, CutKind::RefusedNew }) {
            CutFleet fleet(6, 2);
            fleet.run(3s);
            for (int i = 0; i < 3; ++i) {
                fleet.cut(0, kind);
                fleet.run(4s);
                CPPUNIT_ASSERT(fleet.steering(0).isDetached());
                fleet.mend(0);
                const auto mended = fleet.now();
                fleet.run(500ms);
                const auto passed = fleet.steering(0).counters().passed;
                fleet.run(3s);
                CPPUNIT_ASSERT(!fleet.steering(0).isDetached());
                CPPUNIT_ASSERT_EQUAL(passed, fleet.steering(0).counters().passed);
                CPPUNIT_ASSERT(fleet.share(0, mended + 500ms).value() > 0.98);
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, fleet.repeatedRuns());
        }
    }

    /** Without an instance to pass to, requests must not wait for their deadline. */
    void cutOfAllInstancesIsRejectedAtOnce()
    {
        auto& it = detached({ { InstanceId("e-0"), jadran }, { InstanceId("e-1"), jadran, true, true, "1" } });
        const auto actions = it.begin(1, request("/book/"), m_now);
        const auto* rejected = only<RejectRequest>(actions);
        CPPUNIT_ASSERT(rejected && rejected->reason == RejectReason::Detached);
    }

    /** The body of a request must not reach an instance outside the homes of its route. */
    void homedRequestsArePassedWithinTheirHomes()
    {
        auto& it = detached({ { InstanceId("e-0"), jadran }, { InstanceId("e-1"), jadran, true, false, "1" },
            { InstanceId("e-2"), zagorje, true, false, "2" } });
        auto homed = data(2);
        homed.routes[0].homeRegions = { zagorje };
        it.setRoutes(*RouteTable::create(homed));
        for (RequestHandle handle = 1; handle < 20; ++handle) {
            const auto actions = it.begin(handle, request("/lookup/"), m_now);
            CPPUNIT_ASSERT(only<PassToInstance>(actions) && only<PassToInstance>(actions)->address == "2");
        }
        // The own region has an instance for requests without homes.
        const auto actions = it.begin(20, request("/book/"), m_now);
        CPPUNIT_ASSERT(only<PassToInstance>(actions) && only<PassToInstance>(actions)->address == "1");
    }

    /** A request may run at the instance that it was passed to, even if that ends without a response. */
    void passedRequestIsNotPassedAgainNorRepeated()
    {
        auto& it = detached({ { InstanceId("e-0"), jadran }, { InstanceId("e-1"), jadran, true, false, "1" },
            { InstanceId("e-2"), jadran, true, false, "2" } });
        for (const auto* path : { "/book/", "/lookup/" }) {
            const RequestHandle handle = path[1] == 'b' ? 1 : 2;
            CPPUNIT_ASSERT(only<PassToInstance>(it.begin(handle, request(path), m_now)));
            SendReport lost;
            lost.result = DispatchResult::NotSent;
            CPPUNIT_ASSERT(only<PassToInstance>(it.finished(handle, lost, m_now)));
            lost.result = DispatchResult::Broken;
            const auto actions = it.finished(handle, lost, m_now);
            CPPUNIT_ASSERT(only<RejectRequest>(actions)->reason == RejectReason::ServerFailed);
        }
        auto passed = request("/book/");
        passed.passedAfter = 0ms;
        CPPUNIT_ASSERT(only<RejectRequest>(it.begin(3, passed, m_now))->reason == RejectReason::Detached);
        // A caller that leaves, and the deadline, close the connection to the other instance.
        it.begin(4, request("/book/"), m_now);
        CPPUNIT_ASSERT(only<CancelSend>(it.callerDisconnected(4, m_now)));
        it.begin(5, request("/book/"), m_now);
        const auto expired = it.tick(m_now + 2s);
        CPPUNIT_ASSERT(std::any_of(expired.begin(), expired.end(), [](const auto& action) {
            const auto* reject = std::get_if<RejectRequest>(&action);
            return reject && reject->request == 5 && reject->reason == RejectReason::TimedOut;
        }));
    }

    /** Load pattern: the process is paused while it connects to another instance. Nothing of the request was sent, and
     *  the other instance isn't the cause. */
    void instanceThatWasReachedTooLateIsNotUnable()
    {
        auto& it = detached({ { InstanceId("e-0"), jadran }, { InstanceId("e-1"), jadran, true, false, "1" },
            { InstanceId("e-2"), jadran, true, false, "2" } });
        auto actions = it.begin(1, request("/book/"), m_now);
        CPPUNIT_ASSERT(only<PassToInstance>(actions));
        const auto first = only<PassToInstance>(actions)->address;
        SendReport late;
        late.result = DispatchResult::Withdrawn;
        actions = it.finished(1, late, m_now);
        CPPUNIT_ASSERT(only<PassToInstance>(actions) && only<PassToInstance>(actions)->address != first);
        std::set<std::string> addresses;
        for (RequestHandle handle = 2; handle < 40; ++handle)
            addresses.insert(only<PassToInstance>(it.begin(handle, request("/book/"), m_now))->address);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, addresses.size());
    }

    /** Heartbeats tell about a second later that another instance is cut off as well. */
    void unableInstanceIsLeftOutForAWhile()
    {
        auto& it = detached({ { InstanceId("e-0"), jadran }, { InstanceId("e-1"), jadran, true, false, "1" },
            { InstanceId("e-2"), jadran, true, false, "2" }, { InstanceId("e-3"), jadran, true, false, "3" } });
        RequestHandle handle = 0;
        const auto addresses = [&](TimePoint now) {
            std::set<std::string> addresses;
            for (int i = 0; i < 40; ++i) {
                const auto actions = it.begin(++handle, request("/book/"), now);
                CPPUNIT_ASSERT(only<PassToInstance>(actions));
                addresses.insert(only<PassToInstance>(actions)->address);
            }
            return addresses;
        };
        SendReport unable;
        unable.result = DispatchResult::Shed;
        auto actions = it.begin(++handle, request("/book/"), m_now);
        const auto first = handle;
        std::set<std::string> able { "1", "2", "3" };
        // The request goes on to each of the others, and is rejected after the last one.
        while (const auto* pass = only<PassToInstance>(actions)) {
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, able.erase(pass->address));
            actions = it.finished(first, unable, m_now);
            if (!able.empty())
                CPPUNIT_ASSERT(addresses(m_now) == able);
        }
        CPPUNIT_ASSERT(only<RejectRequest>(actions)->reason == RejectReason::Detached);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, addresses(m_now + 2s).size());
    }

    /** A quota admits requests last that state less time than others, because they come back too late. Callers state
     *  more time than the timeout of the route, and so must the instance that passes their requests on. */
    void passedRequestsAreNoLateAttempts()
    {
        auto& cut = detached({ { InstanceId("e-0"), jadran }, { InstanceId("e-1"), jadran, true, false, "1" } });
        auto limited = data();
        limited.workspaces[0].ratePerSecond = 50;
        TrafficSteering peer(options(), 1, m_log);
        peer.setRoutes(*RouteTable::create(limited));
        peer.setServers(servers(6, 1'000), start);
        peer.quotas().setAdmission(WorkspaceId("kavana"), { 0.6, 10'000, 1s });
        RequestHandle handle = 0;
        const auto admits = [&](const CallerRequest& message) {
            const auto actions = peer.begin(++handle, message, m_now);
            return std::holds_alternative<SendToServer>(actions.at(0));
        };
        double own = 0;
        double passed = 0;
        constexpr int rounds = 500;
        for (int i = 0; i < rounds; ++i) {
            auto message = request("/book/", static_cast<std::uint64_t>(i));
            message.remainingTime = 3s;
            for (int j = 0; j < 3; ++j)
                own += admits(message) ? 1.0 / 3 : 0;
            const auto actions = cut.begin(++handle, message, m_now);
            CPPUNIT_ASSERT(only<PassToInstance>(actions));
            message.remainingTime = only<PassToInstance>(actions)->remainingTime;
            message.passedAfter = only<PassToInstance>(actions)->waited;
            passed += admits(message) ? 1 : 0;
        }
        CPPUNIT_ASSERT_MESSAGE(
            "admitted " + std::to_string(passed / rounds) + ", others " + std::to_string(own / rounds),
            passed >= own * 2 / 3);
    }

    /** A request that waited at the instance without servers must not get the timeout of its route once more. */
    void timeoutOfAPassedRequestCountsFromItsArrival()
    {
        TrafficSteering peer(options(), 1, m_log);
        peer.setRoutes(*RouteTable::create(data()));
        peer.setServers(servers(6, 8), start);
        auto message = request("/book/");
        message.passedAfter = 1s;
        const auto actions = peer.begin(1, message, start);
        CPPUNIT_ASSERT(only<SendToServer>(actions));
        CPPUNIT_ASSERT(only<SendToServer>(actions)->remainingTime == 500ms);
    }

    /** To an instance that is cut off, all servers seem to have ended while they ran requests. */
    void cutInstanceBlamesNoRequest()
    {
        for (const bool isCut : { true, false }) {
            TrafficSteering steering(options(), 1, m_log);
            steering.setServers(servers(6, 8), start);
            for (std::size_t i = 0; i < 3; ++i)
                answerProbes(steering, sendLost(steering, i), !isCut, start);
            for (auto now = start; now < start + 2s; now += 100ms)
                answerProbes(steering, steering.tick(now), !isCut, now);
            CPPUNIT_ASSERT_EQUAL(!isCut, steering.crashes().isIsolated(7));
        }
    }

private:
    /** Loses request 7 at a server whose address refuses connections then. */
    static SteeringActions sendLost(TrafficSteering& steering, std::size_t server)
    {
        const auto listed = servers(6, 8)[server];
        return steering.sendLost({ 7, listed.id }, listed.address, ConnectOutcome::Refused, start);
    }

    static void answerProbes(TrafficSteering& steering, const SteeringActions& actions, bool didConnect, TimePoint now)
    {
        for (const auto& action : actions) {
            if (const auto* probe = std::get_if<ProbeServer>(&action))
                steering.probed(*probe, didConnect ? ConnectOutcome::Connected : ConnectOutcome::Refused, now);
            if (const auto* check = std::get_if<CheckServer>(&action))
                steering.checked(*check, ConnectOutcome::Refused, now);
        }
    }

    /** A detached instance e-0 that knows these instances. */
    TrafficSteering& detached(const std::vector<EntryInstance>& instances)
    {
        auto settings = options();
        settings.instance = InstanceId("e-0");
        m_steering = std::make_unique<TrafficSteering>(settings, 1, m_log);
        m_steering->setRoutes(*RouteTable::create(data()));
        m_steering->setServers(servers(6, 8), start);
        m_steering->setInstances(instances);
        answerProbes(*m_steering, sendLost(*m_steering, 0), false, start);
        for (m_now = start; !m_steering->isDetached() && m_now < start + 2s; m_now += 100ms)
            answerProbes(*m_steering, m_steering->tick(m_now), false, m_now);
        CPPUNIT_ASSERT(m_steering->isDetached());
        return *m_steering;
    }

    NullEventLog m_log;
    std::unique_ptr<TrafficSteering> m_steering;
    TimePoint m_now = start;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DetachedInstanceTest);
