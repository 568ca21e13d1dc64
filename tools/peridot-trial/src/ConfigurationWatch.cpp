#include "ConfigurationWatch.h"

#include "CallerKeys.h"

#include "config/HeadRow.h"

#include <fmt/format.h>

#include <stdexcept>

namespace peridot::trial {

namespace {

    const char* const firstChange = "trial-first";
    constexpr int keysPerWorkspace = 2;

    AcceptedConfiguration acceptedState(const Configuration& configuration)
    {
        AcceptedConfiguration result;
        const ConfigurationData& data = configuration.data();
        result.version = data.version;
        for (const auto& [id, workspace] : data.workspaces)
            result.workspaces[id.value()]
                = { static_cast<double>(workspace.ratePerSecond), static_cast<double>(workspace.burst) };
        for (const auto& [id, key] : data.keys)
            result.keys[id.value()] = key.workspace.value();
        return result;
    }

}

ConfigurationWatch::ConfigurationWatch(Platform& platform, Judge& judge, Verdict& verdict)
    : m_platform(platform)
    , m_judge(judge)
    , m_verdict(verdict)
{
}

void ConfigurationWatch::install(const Configuration& configuration, VirtualTime now)
{
    HeadRow head;
    head.version = configuration.version();
    head.changeId = firstChange;
    head.objectKey = configurationObjectKey(head.version, head.changeId);
    head.recent = { { head.changeId, head.version } };
    const TableCommit commit { { { configurationHeadKey, 0 } }, { { configurationHeadKey, head.toJson() } } };
    if (!m_platform.apply(ObjectPut { head.objectKey, configuration.toJson() }) || !m_platform.apply(commit))
        throw std::logic_error("cannot install the first configuration");
    committed(commit, now);
}

void ConfigurationWatch::committed(const TableCommit& commit, VirtualTime now)
{
    for (const TableWrite& write : commit.writes) {
        if (write.key == configurationHeadKey)
            accept(write.value.value_or(""), now);
    }
}

void ConfigurationWatch::accept(const std::string& headText, VirtualTime now)
{
    const auto head = HeadRow::parse(headText);
    const auto object = head ? m_platform.apply(ObjectGet { head->objectKey }) : StoreResult { StoreValue {} };
    const auto* value = object ? std::get_if<ObjectValue>(&*object) : nullptr;
    const auto configuration = Configuration::parse(value && value->value ? *value->value : "", "accepted version");
    if (!head || !configuration) {
        m_verdict.violate(Rule::LostChange, now, "the head row names no valid configuration: " + headText);
        return;
    }
    const bool isNew = m_applied.emplace(head->changeId, head->version).second;
    m_verdict.check(Rule::LostChange, isNew, now, [&] { return "applied twice: change=" + head->changeId; });
    m_verdict.check(Rule::LostChange, m_refused.count(head->changeId) == 0, now,
        [&] { return "applied after its refusal: change=" + head->changeId; });
    m_judge.configurationAccepted(acceptedState(*configuration), now);
}

std::uint64_t ConfigurationWatch::versionOf(const std::string& changeId) const
{
    const auto it = m_applied.find(changeId);
    return it == m_applied.end() ? 0 : it->second;
}

void ConfigurationWatch::refused(const std::string& changeId, VirtualTime now)
{
    m_refused.emplace(changeId, now);
    m_verdict.check(Rule::LostChange, versionOf(changeId) == 0, now,
        [&] { return "refused as not applied, but applied: change=" + changeId; });
}

Configuration firstConfiguration(
    const Deployment& deployment, const std::function<AcceptedConfiguration::Limit(std::size_t workspace)>& limitOf)
{
    ConfigurationData data;
    data.version = 1;
    data.changeId = firstChange;
    for (const ServiceSize& it : deployment.services)
        data.services.emplace(it.name);
    for (const ClassShape& it : deployment.classes) {
        TrafficClass trafficClass;
        trafficClass.id = ClassId { it.id };
        trafficClass.service = ServiceId { deployment.services[it.service].name };
        trafficClass.methods = { it.method };
        trafficClass.pathPrefix = it.pathPrefix;
        trafficClass.importance = static_cast<std::uint32_t>(it.importance);
        trafficClass.targetLatency = it.target;
        trafficClass.isIdempotent = it.isIdempotent;
        trafficClass.isOpen = it.isOpen;
        data.classes[trafficClass.id] = trafficClass;
    }
    for (std::size_t n = 0; n < deployment.workspaces.size(); ++n) {
        const WorkspaceId workspace { deployment.workspaces[n].id };
        const auto [rate, burst] = limitOf(n);
        data.workspaces[workspace] = { workspace, static_cast<std::uint32_t>(rate), static_cast<std::uint32_t>(burst) };
        for (int key = 1; key <= keysPerWorkspace; ++key) {
            const std::string id = fmt::format("k-{}-{}", workspace.value(), key);
            data.keys[KeyId { id }] = { KeyId { id }, hashKey(presentedKey(id)), workspace };
        }
    }
    auto configuration = Configuration::create(std::move(data));
    if (!configuration)
        throw std::logic_error(configuration.error().describe());
    return *configuration;
}

}
