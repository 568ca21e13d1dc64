// Each series has at least four sizes. Times are processor time of this thread, the least of several repetitions,
// because other work on the machine only adds to it.

#include "Measurements.h"

#include "base/EventLog.h"
#include "budget/RegionLedger.h"
#include "config/Configuration.h"
#include "config/KeyHash.h"
#include "peridot/Node.h"
#include "routing/LookupPlanner.h"
#include "store/StoreJson.h"
#include "wire/Codec.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <ctime>
#include <functional>
#include <limits>

namespace peridot::capacity {

namespace {

    constexpr int repetitions = 5;
    const TimePoint start { std::chrono::seconds { 100 } };

    double threadMicroseconds()
    {
        timespec time {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
    }

    /** Least processor time of one call, in microseconds. */
    double cost(int calls, const std::function<void(int)>& call)
    {
        double least = std::numeric_limits<double>::max();
        for (int repetition = 0; repetition < repetitions; ++repetition) {
            const auto before = threadMicroseconds();
            for (int i = 0; i < calls; ++i)
                call(i);
            least = std::min(least, (threadMicroseconds() - before) / calls);
        }
        return least;
    }

    std::string regionName(int n) { return fmt::format("region-{}", n); }

    MemberInfo member(int n, int regions, int domains)
    {
        const auto domain = n % domains;
        const auto name = fmt::format("instance-{:04}", n);
        return { InstanceId(name), 1, RegionId(regionName(domain % regions)),
            FailureDomainId(fmt::format("domain-{:02}", domain)), fmt::format("10.0.{}.{}:8080", n / 250, n % 250),
            fmt::format("10.0.{}.{}:8081", n / 250, n % 250), InstanceState::Ready, 0 };
    }

    ConfigurationData configurationOf(int workspaces)
    {
        ConfigurationData data;
        data.version = 1;
        data.changeId = "capacity";
        data.services.insert(ServiceId("booking"));
        TrafficClass search;
        search.id = ClassId("search");
        search.service = ServiceId("booking");
        search.methods = { "GET" };
        search.pathPrefix = "/search";
        search.targetLatency = std::chrono::milliseconds { 300 };
        search.isIdempotent = true;
        data.classes[search.id] = search;
        for (int i = 0; i < workspaces; ++i) {
            const WorkspaceId workspace(fmt::format("workspace-{}", i));
            data.workspaces[workspace] = { workspace, 100, 50 };
            const auto text = fmt::format("key-{}.secret-{}", i, i);
            const KeyId key(fmt::format("key-{}", i));
            data.keys[key] = { key, hashKey(text), workspace };
        }
        return data;
    }

    NodeSettings settingsWithBlocks(int blocks)
    {
        constexpr int regions = 8;
        NodeSettings settings;
        settings.deployment = DeploymentId("capacity");
        settings.self = member(0, regions, 21);
        for (int i = 0; i < regions; ++i)
            settings.regions.emplace_back(regionName(i));
        settings.clientBlocks.reserve(static_cast<std::size_t>(blocks));
        for (int i = 0; i < blocks; ++i) {
            settings.clientBlocks.push_back({ fmt::format("{}.{}.{}.0/24", 1 + i / 65536, i / 256 % 256, i % 256),
                { RegionId(regionName(i % regions)) } });
        }
        return settings;
    }

    /** A node that has its configuration and a live view of itself alone. */
    struct ReadyNode {
        explicit ReadyNode(NodeSettings settings)
            : node(std::move(settings), log)
        {
            const auto body = Configuration::create(configurationOf(8))->toJson();
            auto now = start;
            const PlatformInstance self { PlatformInstanceKind::Entry, "instance-0000", RegionId(regionName(0)),
                FailureDomainId("domain-00"), {}, "10.0.0.0:8080", "10.0.0.0:8081", 0, 0, PlatformInstanceState::Live };
            for (int i = 0; i < 400; ++i) {
                now += std::chrono::milliseconds { 10 };
                for (const auto& action : node.tick(now)) {
                    if (const auto* call = std::get_if<StoreCall>(&action))
                        answer(*call, body, self, now);
                }
            }
            readyAt = now;
        }

        void answer(const StoreCall& call, const std::string& body, const PlatformInstance& self, TimePoint now)
        {
            const TableRow head { "config/head",
                R"({"version":1,"object":"config/1-capacity","change":"capacity","recent":[{"id":"capacity","version":1}]})",
                1 };
            StoreResult result = makeError(ErrorCode::Unavailable, "call", "store", "not part of this measurement");
            if (std::holds_alternative<ListInstances>(call.request))
                result = InstanceList { { self } };
            else if (std::holds_alternative<ObjectGet>(call.request))
                result = ObjectValue { body };
            else if (const auto* read = std::get_if<TableRead>(&call.request); read && read->keys.front() == head.key)
                result = TableRows { { head } };
            node.storeCompleted(call.id, result, now);
        }

        NullEventLog log;
        Node node;
        TimePoint readyAt;
    };

    std::size_t listBytes(const InstanceList& list)
    {
        std::size_t bytes = 0;
        for (const auto& instance : list.instances)
            bytes += encodePlatformInstance(instance).dump().size() + 1;
        return bytes;
    }

    BudgetDemand demandOf(const InstanceId& holder, std::uint64_t sequence, int keys)
    {
        BudgetDemand demand { holder, 1, sequence, {} };
        for (int i = 0; i < keys; ++i) {
            demand.items.push_back({ { BudgetKind::WorkspaceRate, fmt::format("workspace-{}", i) },
                static_cast<Units>(sequence * 3), 0, 2, 3, 0 });
        }
        return demand;
    }

}

Series measureLookup()
{
    Series series { "lookup", "client blocks", "processor time of a lookup, us", 810'000, {} };
    for (const int blocks : { 1'000, 10'000, 100'000, 400'000, 810'000 }) {
        ReadyNode ready(settingsWithBlocks(blocks));
        std::size_t listed = 0;
        const auto microseconds = cost(20'000, [&](int i) {
            const auto n = static_cast<int>(static_cast<long long>(i) * 7919 % blocks);
            const LookupQuery query { ServiceId("booking"),
                fmt::format("{}.{}.{}.7", 1 + n / 65536, n / 256 % 256, n % 256) };
            const auto result = ready.node.lookup(query, ready.readyAt);
            listed += std::holds_alternative<LookupResponse>(result);
        });
        if (listed == 0)
            throw std::logic_error("no lookup was answered");
        series.points.push_back({ static_cast<double>(blocks), microseconds });
    }
    return series;
}

Series measurePlan()
{
    Series series { "lookup_plan", "live instances", "processor time of a new lookup plan, us", 1'500, {} };
    for (const int instances : { 11, 60, 300, 750, 1'500 }) {
        LookupInputs inputs;
        inputs.localRegion = RegionId(regionName(0));
        for (int i = 0; i < instances; ++i)
            inputs.instances.push_back(member(i, 8, 21));
        series.points.push_back({ static_cast<double>(instances),
            cost(50, [&](int) { LookupPlanner().build(inputs); }) });
    }
    return series;
}

Series measureLedger()
{
    Series series { "ledger_answer", "holders in the region", "processor time of answering a demand of 8 budgets, us", 188,
        {} };
    for (const int holders : { 4, 16, 64, 128, 188 }) {
        NullEventLog log;
        RegionLedger ledger(RegionId("r"), log);
        ledger.activate(1, start, start);
        for (int i = 0; i < 8; ++i) {
            ledger.setShare({ BudgetKind::WorkspaceRate, fmt::format("workspace-{}", i) }, { 1'000'000, 1'000 }, start);
        }
        std::uint64_t sequence = 0;
        auto now = start;
        series.points.push_back({ static_cast<double>(holders), cost(4'000, [&](int i) {
            if (i % holders == 0)
                ++sequence;
            now += std::chrono::microseconds { 20'000 / holders };
            ledger.answer(demandOf(InstanceId(fmt::format("holder-{}", i % holders)), sequence, 8), now);
        }) });
    }
    return series;
}

Series measureDemandBytes()
{
    Series series { "demand_bytes", "budgets in use", "encoded bytes of a demand and its grant", 8, {} };
    for (const int keys : { 1, 2, 4, 8, 16 }) {
        Envelope demand { DeploymentId("plesni-caj"), InstanceId("jadran-1-entry-1"), 1, "127.0.0.1:21301",
            demandOf(InstanceId("jadran-1-entry-1"), 1'000, keys) };
        BudgetGrant grant { RegionId("jadran"), 1, 1, 1'000, {} };
        for (const auto& item : std::get<BudgetDemand>(demand.message).items)
            grant.items.push_back({ item.key, 3, unitLifetime, Duration { 0 } });
        auto bytes = encode(demand).size();
        demand.message = grant;
        bytes += encode(demand).size();
        series.points.push_back({ static_cast<double>(keys), static_cast<double>(bytes) });
    }
    return series;
}

Series measureConfigurationBytes()
{
    Series series { "configuration_bytes", "workspaces", "bytes of a version as a peer sends it", 2'000, {} };
    for (const int workspaces : { 8, 100, 500, 1'000, 2'000 }) {
        const auto body = Configuration::create(configurationOf(workspaces))->toJson();
        const Envelope envelope { DeploymentId("plesni-caj"), InstanceId("jadran-1-entry-1"), 1, "127.0.0.1:21301",
            ConfigurationObject { 1, 1, body } };
        series.points.push_back({ static_cast<double>(workspaces), static_cast<double>(encode(envelope).size()) });
    }
    return series;
}

Series measureConfigurationParse()
{
    Series series { "configuration_parse", "workspaces", "processor time of reading a version, us", 2'000, {} };
    for (const int workspaces : { 8, 100, 500, 1'000, 2'000 }) {
        const auto body = Configuration::create(configurationOf(workspaces))->toJson();
        series.points.push_back({ static_cast<double>(workspaces), cost(5, [&](int) {
            if (!Configuration::parse(body, "capacity"))
                throw std::logic_error("the configuration was refused");
        }) });
    }
    return series;
}

Series measureInstanceListBytes()
{
    Series series { "instance_list_bytes", "backend servers", "bytes of the platform's list as JSON", 6'800, {} };
    for (const int servers : { 40, 400, 2'000, 6'800 }) {
        InstanceList list;
        for (int i = 0; i < servers; ++i) {
            list.instances.push_back({ PlatformInstanceKind::BackendServer, fmt::format("salonik-{:04}", i),
                RegionId(regionName(i % 8)), FailureDomainId(fmt::format("domain-{:02}", i % 21)), ServiceId("salonik"),
                fmt::format("10.1.{}.{}:8080", i / 250, i % 250), "", 8, 360, PlatformInstanceState::Live });
        }
        series.points.push_back(
            { static_cast<double>(servers), static_cast<double>(listBytes(list)) });
    }
    return series;
}

Series measureIdleTick()
{
    Series series { "idle_tick", "client blocks", "processor time of an idle tick, us", 810'000, {} };
    for (const int blocks : { 1'000, 100'000, 400'000, 810'000 }) {
        ReadyNode ready(settingsWithBlocks(blocks));
        auto now = ready.readyAt;
        series.points.push_back({ static_cast<double>(blocks), cost(200, [&](int) {
            now += std::chrono::milliseconds { 10 };
            ready.node.tick(now);
        }) });
    }
    return series;
}

std::vector<Series> measureAll()
{
    return { measureLookup(), measurePlan(), measureLedger(), measureDemandBytes(), measureConfigurationBytes(),
        measureConfigurationParse(), measureInstanceListBytes(), measureIdleTick() };
}

}
