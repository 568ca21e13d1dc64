// Entry instances and backend servers in simulated time, for tests of limits that bind the sum over all instances.

#pragma once

#include "steering/TrafficSteering.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace peridot {

/** Callers' requests are spread evenly over the instances, which are spread over three regions as the servers are. */
class LimitedFleet {
public:
    LimitedFleet(std::size_t instances, std::size_t servers, double requestsPerSecond, std::uint64_t seed)
        : m_random(seed)
        , m_requestGap(requestsPerSecond)
    {
        const std::vector<RegionId> regions { RegionId("jadran"), RegionId("slavonija"), RegionId("zagorje") };
        for (std::size_t i = 0; i < servers; ++i) {
            ListedServer server;
            server.id = BackendServerId("s-" + std::to_string(i));
            server.service = ServiceId("salonik");
            server.address = "10.0.0.1:" + std::to_string(8000 + i);
            server.region = regions[i % regions.size()];
            server.failureDomain = FailureDomainId(server.region.value() + "-a");
            server.slots = 8;
            m_servers.push_back(server);
        }
        for (std::size_t i = 0; i < instances; ++i) {
            m_instances.emplace_back();
            m_instances.back().id = InstanceId("e-" + std::to_string(i));
            m_instances.back().region = regions[i % regions.size()];
            start(i);
        }
        connectInstances();
    }

    /** Sets the limit that the server names from now on. */
    void setLimit(std::size_t server, double perSecond) { m_limits[m_servers[server].id] = perSecond; }
    void clearLimit(std::size_t server) { m_limits.erase(m_servers[server].id); }
    /** The instance starts anew and knows nothing. */
    void restart(std::size_t instance)
    {
        ++m_instances[instance].starts;
        start(instance);
        connectInstances();
    }

    /** The instance ends. The others find out one by one, within @p longest, and likewise that it is back. */
    void stop(std::size_t instance, Duration longest)
    {
        ++m_instances[instance].starts;
        m_instances[instance].isRunning = false;
        tellOthers(instance, false, longest);
    }
    void startAgain(std::size_t instance, Duration longest)
    {
        start(instance);
        m_instances[instance].isRunning = true;
        tellOthers(instance, true, longest);
        // It knows the others, as far as they run.
        auto& live = m_instances[instance].live;
        live.clear();
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            if (m_instances[i].isRunning)
                live.insert(i);
        }
        connectInstance(instance);
    }

    void run(Duration time)
    {
        const auto end = m_now + time;
        for (; m_now < end; m_now += s_step) {
            while (!m_news.empty() && m_news.begin()->first <= m_now) {
                const auto news = m_news.extract(m_news.begin()).mapped();
                auto& live = m_instances[news.to].live;
                if (news.isRunning)
                    live.insert(news.about);
                else
                    live.erase(news.about);
                connectInstance(news.to);
            }
            if (m_now >= m_nextExchange)
                exchangeLimits();
            for (; m_nextRequest <= m_now; m_nextRequest += fromSeconds(m_requestGap(m_random)))
                beginRequest();
            while (!m_runs.empty() && m_runs.begin()->first <= m_now) {
                const auto run = m_runs.extract(m_runs.begin()).mapped();
                finish(run);
            }
            for (std::size_t i = 0; i < m_instances.size(); ++i) {
                if (m_instances[i].isRunning)
                    perform(i, m_instances[i].steering->tick(m_now));
            }
        }
    }

    /** Requests beyond what the limit allows in the worst window of 4 s since @p from, of those that came from
     * instances that had passed on a response with the limit at least 0.5 s before. */
    double excess(std::size_t server, TimePoint from) const
    {
        constexpr Duration window = std::chrono::seconds { 4 };
        const auto it = m_arrivals.find(m_servers[server].id);
        double worst = -std::numeric_limits<double>::infinity();
        if (it == m_arrivals.end())
            return worst;
        std::deque<Arrival> inWindow;
        for (const auto& arrival : it->second) {
            if (arrival.at < from || !arrival.wasTold)
                continue;
            inWindow.push_back(arrival);
            while (arrival.at - inWindow.front().at >= window)
                inWindow.pop_front();
            const auto limit = std::max_element(inWindow.begin(), inWindow.end(), [](const auto& a, const auto& b) {
                return a.limit < b.limit;
            })->limit;
            worst = std::max(worst, static_cast<double>(inWindow.size()) - (1.5 * limit * 4 + 5));
        }
        return worst;
    }
    /** Requests per second that the server has got since @p from. */
    double rate(std::size_t server, TimePoint from) const
    {
        double count = 0;
        if (const auto it = m_arrivals.find(m_servers[server].id); it != m_arrivals.end())
            for (const auto& arrival : it->second)
                count += arrival.at >= from ? 1 : 0;
        return count / toSeconds(m_now - from);
    }

    TimePoint now() const noexcept { return m_now; }
    std::size_t answered() const noexcept { return m_answered; }
    std::size_t rejected() const noexcept { return m_rejected; }

private:
    static constexpr Duration s_step = std::chrono::milliseconds { 20 };
    static constexpr Duration s_work = std::chrono::milliseconds { 120 };

    struct Instance {
        InstanceId id;
        RegionId region;
        unsigned starts = 0;
        bool isRunning = true;
        std::set<std::size_t> live {}; // Instances that it takes for running.
        std::unique_ptr<TrafficSteering> steering;
        std::map<BackendServerId, TimePoint> told; // When it passed on the first response with a limit.
    };

    struct Run {
        std::size_t instance = 0;
        unsigned start = 0; // Of the instance.
        RequestHandle request = 0;
        BackendServerId server;
    };

    struct News {
        std::size_t to = 0;
        std::size_t about = 0;
        bool isRunning = false;
    };

    struct Arrival {
        TimePoint at;
        double limit = 0;
        bool wasTold = false;
    };

    void start(std::size_t index)
    {
        auto& instance = m_instances[index];
        SteeringOptions options;
        options.region = instance.region;
        options.instance = instance.id;
        instance.steering = std::make_unique<TrafficSteering>(options, m_random(), m_log);
        instance.told.clear();
        RouteTableData data;
        data.version = 1;
        data.services = { { ServiceId("salonik"), "/health", 360, {}, 0 } };
        Route route;
        route.name = "r";
        route.host = "a";
        route.pathPrefix = "/";
        route.services = { { ServiceId("salonik"), 1 } };
        route.timeout = std::chrono::milliseconds { 1'500 };
        route.targetLatency = std::chrono::milliseconds { 400 };
        route.isIdempotent = true;
        route.isSticky = true;
        route.maximumAttempts = 2;
        data.routes = { route };
        instance.steering->setRoutes(*RouteTable::create(data));
        instance.steering->setServers(m_servers, m_now);
    }

    void connectInstances()
    {
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            for (std::size_t j = 0; j < m_instances.size(); ++j)
                m_instances[i].live.insert(j);
            connectInstance(i);
        }
    }

    void connectInstance(std::size_t index)
    {
        std::vector<EntryInstance> all;
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            const auto& instance = m_instances[i];
            all.push_back({ instance.id, instance.region, m_instances[index].live.contains(i) });
        }
        m_instances[index].steering->setInstances(std::move(all));
    }

    void tellOthers(std::size_t about, bool isRunning, Duration longest)
    {
        for (std::size_t to = 0; to < m_instances.size(); ++to) {
            const auto delay = m_random() % static_cast<std::uint64_t>(longest.count());
            if (to != about)
                m_news.emplace(m_now + Duration { static_cast<Duration::rep>(delay) }, News { to, about, isRunning });
        }
    }

    /** Each instance gets the statements of the others about as late as heartbeats bring them. */
    void exchangeLimits()
    {
        constexpr Duration interval = std::chrono::milliseconds { 500 };
        m_nextExchange = m_now + interval;
        for (auto& statement : m_exchanged)
            statement.age += interval;
        for (auto& instance : m_instances)
            instance.steering->learn(m_exchanged, m_now);
        m_exchanged.clear();
        for (const auto& instance : m_instances) {
            for (const auto& statement : instance.steering->serverNotices(m_now))
                m_exchanged.push_back(statement);
        }
    }

    void beginRequest()
    {
        const auto index = m_random() % m_instances.size();
        if (!m_instances[index].isRunning)
            return;
        CallerRequest request;
        request.id = "r";
        request.host = "a";
        request.path = "/";
        request.object = std::to_string(m_random() % 300);
        request.remainingTime = std::chrono::milliseconds { 2'000 };
        perform(index, m_instances[index].steering->begin(++m_lastRequest, request, m_now));
    }

    void perform(std::size_t index, const SteeringActions& actions)
    {
        for (const auto& action : actions) {
            if (const auto* send = std::get_if<SendToServer>(&action)) {
                const auto& told = m_instances[index].told;
                const auto it = told.find(send->server);
                m_arrivals[send->server].push_back({ m_now, limit(send->server),
                    it != told.end() && m_now - it->second >= std::chrono::milliseconds { 500 } });
                m_runs.emplace(m_now + s_work, Run { index, m_instances[index].starts, send->request, send->server });
            } else if (std::holds_alternative<DeliverResponse>(action)) {
                ++m_answered;
            } else if (std::holds_alternative<RejectRequest>(action)) {
                ++m_rejected;
            }
        }
    }

    void finish(const Run& run)
    {
        auto& instance = m_instances[run.instance];
        if (instance.starts != run.start)
            return;
        SendReport report;
        report.statement.requestLimit = limit(run.server);
        if (report.statement.requestLimit < unlimitedRate)
            instance.told.try_emplace(run.server, m_now);
        perform(run.instance, instance.steering->finished(run.request, report, m_now));
    }

    double limit(const BackendServerId& server) const
    {
        if (const auto it = m_limits.find(server); it != m_limits.end())
            return it->second;
        return unlimitedRate;
    }

    NullEventLog m_log;
    std::mt19937_64 m_random;
    std::exponential_distribution<double> m_requestGap { 1 };
    TimePoint m_now { std::chrono::seconds { 1'000 } };
    TimePoint m_nextRequest = m_now;
    TimePoint m_nextExchange = m_now;
    std::vector<ServerNotice> m_exchanged; // On their way.
    std::vector<ListedServer> m_servers;
    std::map<BackendServerId, double> m_limits;
    std::vector<Instance> m_instances;
    std::multimap<TimePoint, News> m_news; // On their way.
    std::multimap<TimePoint, Run> m_runs; // By the time of their end.
    std::map<BackendServerId, std::vector<Arrival>> m_arrivals;
    RequestHandle m_lastRequest = 0;
    std::size_t m_answered = 0;
    std::size_t m_rejected = 0;
};

}
