// Baselines send at once; only the backend pool and the central queue let requests wait at the instance.

#include "InstancePolicies.h"

#include <algorithm>

namespace peridot {

namespace {

    class PoolPolicy final : public InstancePolicy {
    public:
        PoolPolicy(const std::vector<InstanceId>& instances, std::size_t self, std::mt19937_64& random)
            : m_pool(ServiceId("service"), instances[self], {}, random)
        {
            m_pool.setEntryInstances(instances);
        }

        void setServers(TimePoint now, const std::vector<BackendServerInfo>& list) override
        {
            m_pool.setServers(now, list);
        }
        std::optional<BackendServerId> choose(TimePoint now, std::span<const BackendServerId> excluded) override
        {
            const auto choice = m_pool.choose(now, 1, excluded);
            return choice ? std::optional(choice->server) : std::nullopt;
        }
        void started(TimePoint now, const BackendServerId& id) override { m_pool.started(now, id, 1); }
        void finished(TimePoint now, const BackendServerId& id, BackendOutcome outcome, Duration latency) override
        {
            m_pool.finished(now, id, 1, outcome, latency);
        }
        void report(TimePoint now, const BackendServerId& id, const LoadReport& report, Duration age) override
        {
            m_pool.report(now, id, report, age);
        }
        const BackendPool* pool() const override { return &m_pool; }

    private:
        BackendPool m_pool;
    };

    class BaselinePolicy : public InstancePolicy {
    public:
        void setServers(TimePoint, const std::vector<BackendServerInfo>& list) override
        {
            m_servers.clear();
            for (const auto& info : list) {
                if (!info.isLeaving)
                    m_servers.push_back(info.id);
            }
        }

    protected:
        std::vector<BackendServerId> usable(std::span<const BackendServerId> excluded) const
        {
            std::vector<BackendServerId> result;
            std::copy_if(
                m_servers.begin(), m_servers.end(), std::back_inserter(result), [&](const BackendServerId& id) {
                    return std::find(excluded.begin(), excluded.end(), id) == excluded.end();
                });
            return result;
        }

        std::vector<BackendServerId> m_servers;
    };

    class RoundRobinPolicy final : public BaselinePolicy {
    public:
        explicit RoundRobinPolicy(std::size_t first)
            : m_next(first)
        {
        }
        std::optional<BackendServerId> choose(TimePoint, std::span<const BackendServerId> excluded) override
        {
            const auto servers = usable(excluded);
            if (servers.empty())
                return std::nullopt;
            return servers[m_next++ % servers.size()];
        }

    private:
        std::size_t m_next;
    };

    class RandomPolicy final : public BaselinePolicy {
    public:
        explicit RandomPolicy(std::mt19937_64& random)
            : m_random(random)
        {
        }
        std::optional<BackendServerId> choose(TimePoint, std::span<const BackendServerId> excluded) override
        {
            const auto servers = usable(excluded);
            if (servers.empty())
                return std::nullopt;
            return servers[m_random() % servers.size()];
        }

    private:
        std::mt19937_64& m_random;
    };

    class LeastReportedPolicy final : public BaselinePolicy {
    public:
        explicit LeastReportedPolicy(std::mt19937_64& random)
            : m_random(random)
        {
        }
        std::optional<BackendServerId> choose(TimePoint, std::span<const BackendServerId> excluded) override
        {
            auto servers = usable(excluded);
            if (servers.empty())
                return std::nullopt;
            std::shuffle(servers.begin(), servers.end(), m_random);
            return *std::min_element(servers.begin(), servers.end(),
                [this](const auto& a, const auto& b) { return m_loads[a] < m_loads[b]; });
        }
        void report(TimePoint, const BackendServerId& id, const LoadReport& report, Duration) override
        {
            m_loads[id] = report.inFlight + report.queued;
        }

    private:
        std::mt19937_64& m_random;
        std::map<BackendServerId, std::uint32_t> m_loads;
    };

    class CentralQueuePolicy final : public BaselinePolicy {
    public:
        explicit CentralQueuePolicy(std::function<bool(const BackendServerId&)> hasFreeSlot)
            : m_hasFreeSlot(std::move(hasFreeSlot))
        {
        }
        std::optional<BackendServerId> choose(TimePoint, std::span<const BackendServerId> excluded) override
        {
            for (const auto& id : usable(excluded)) {
                if (m_hasFreeSlot(id))
                    return id;
            }
            return std::nullopt;
        }

    private:
        std::function<bool(const BackendServerId&)> m_hasFreeSlot;
    };

}

std::unique_ptr<InstancePolicy> makePolicy(PolicyKind kind, const std::vector<InstanceId>& instances, std::size_t self,
    std::mt19937_64& random, std::function<bool(const BackendServerId&)> hasFreeSlot)
{
    switch (kind) {
    case PolicyKind::BackendPool:
        return std::make_unique<PoolPolicy>(instances, self, random);
    case PolicyKind::RoundRobin:
        return std::make_unique<RoundRobinPolicy>(self);
    case PolicyKind::LeastReported:
        return std::make_unique<LeastReportedPolicy>(random);
    case PolicyKind::Random:
        return std::make_unique<RandomPolicy>(random);
    case PolicyKind::CentralQueue:
        return std::make_unique<CentralQueuePolicy>(std::move(hasFreeSlot));
    }
    return nullptr;
}

}
