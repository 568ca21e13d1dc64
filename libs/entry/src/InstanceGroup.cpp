#include "entry/InstanceGroup.h"

#include "base/SteadyTime.h"

#include <boost/asio/post.hpp>

#include <random>
#include <set>

namespace peridot {

namespace {

    constexpr std::chrono::milliseconds tickInterval { 50 };
    // Time from learning of a newer operator state to the first pull from a peer. This instance's own read of the store
    // usually returns the state earlier.
    constexpr Duration operatorStatePullDelay = std::chrono::milliseconds { 250 };
    // Time between two pulls, which doubles with each one that has not brought the state.
    constexpr Duration shortestPullInterval = std::chrono::milliseconds { 300 };
    constexpr Duration longestPullInterval = std::chrono::milliseconds { 2'400 };

    MembershipSettings membershipSettings()
    {
        MembershipSettings settings;
        // QuotaController computes quotas from the demands that digests and heartbeat replies carry, so both have to
        // carry them often. QuotaControllerOptions::propagationDelay states how long a demand takes to reach all
        // instances.
        settings.steadyDigestInterval = std::chrono::milliseconds { 500 };
        settings.loadsEvery = 1;
        return settings;
    }

    PeerTransportSettings transportSettings(
        const DeploymentId& deployment, const MemberInfo& self, const std::string& listenAddress)
    {
        PeerTransportSettings settings;
        settings.deployment = deployment;
        settings.self = self.id;
        settings.incarnation = self.incarnation;
        settings.address = self.peerAddress;
        settings.listenAddress = listenAddress;
        return settings;
    }

}

InstanceGroup::InstanceGroup(boost::asio::io_context& context, const DeploymentId& deployment, const MemberInfo& self,
    const std::string& listenAddress, Handlers handlers, StoreEras& eras, EventLog& log)
    : m_context(context)
    , m_handlers(std::move(handlers))
    , m_eras(eras)
    , m_log(log)
    , m_membership(membershipSettings(), self, std::random_device {}(), log)
    , m_transport(transportSettings(deployment, self, listenAddress), log,
          [this, isAlive = m_isAlive](const Envelope& envelope) {
              boost::asio::post(m_context, [this, isAlive, envelope] {
                  if (*isAlive)
                      receive(envelope);
              });
          })
    , m_timer(context)
{
}

InstanceGroup::~InstanceGroup()
{
    m_transport.stop();
    *m_isAlive = false;
}

Result<void> InstanceGroup::start()
{
    if (auto started = m_transport.start(); !started)
        return started;
    scheduleTick();
    return {};
}

void InstanceGroup::scheduleTick()
{
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this, isAlive = m_isAlive](const boost::system::error_code& ec) {
        if (ec || !*isAlive)
            return;
        tick();
        scheduleTick();
    });
}

void InstanceGroup::tick()
{
    const auto now = steadyNow();
    send(m_membership.tick(now));
    pullOperatorState(now);
}

void InstanceGroup::send(std::vector<MembershipSend> sends)
{
    for (auto& it : sends) {
        std::visit(
            [&](auto& message) { m_transport.send(it.address, PeerMessage { std::move(message) }); }, it.message);
    }
}

void InstanceGroup::receive(const Envelope& envelope)
{
    struct Visitor {
        InstanceGroup& group;
        const Envelope& envelope;

        void operator()(const Heartbeat& message) const { group.receiveMembership(envelope, message); }
        void operator()(const HeartbeatReply& message) const { group.receiveMembership(envelope, message); }
        void operator()(const DigestPull& message) const { group.receiveMembership(envelope, message); }
        void operator()(const Digest& message) const { group.receiveMembership(envelope, message); }
        // Entry instances compute quotas from demands and have no budget ledger, so budget messages are ignored.
        void operator()(const BudgetDemand&) const { }
        void operator()(const BudgetGrant&) const { }

        void operator()(const ConfigurationPull& pull) const
        {
            const auto known = group.learnPosition(StorePosition { pull.haveVersion, pull.era }, envelope.sender);
            const auto& position = group.m_operatorPosition;
            ConfigurationObject object;
            object.sequence = pull.sequence;
            object.version = position.version;
            object.era = position.era;
            if (position > known)
                object.body = group.m_handlers.operatorStateText(pull.takesLargeValues);
            group.m_transport.send(envelope.senderAddress, object);
        }

        void operator()(const ConfigurationObject& object) const
        {
            const auto position = group.learnPosition(StorePosition { object.version, object.era }, envelope.sender);
            if (object.body.empty() || position <= group.m_operatorPosition)
                return;
            group.m_log.write(LogLevel::Info,
                LogLine("operator_state_from_peer")
                    .add("peer", envelope.sender)
                    .add("version", object.version)
                    .add("bytes", object.body.size()));
            group.m_handlers.onOperatorState({ position, object.body }, { envelope.sender, envelope.senderAddress });
        }

        void operator()(const TablePull& pull) const { group.m_handlers.onTablePull(envelope.senderAddress, pull); }
        void operator()(const TableChanges& changes) const { group.m_handlers.onTableChanges(changes); }
        void operator()(const ValuePull& pull) const { group.m_handlers.onValuePull(envelope.senderAddress, pull); }
        void operator()(const ValuePart& part) const { group.m_handlers.onValuePart(envelope.senderAddress, part); }
    };
    std::visit(Visitor { *this, envelope }, envelope.message);
}

StorePosition InstanceGroup::learnPosition(const StorePosition& position, const InstanceId& peer)
{
    m_eras.learn(position.era, peer.value());
    return m_eras.resolve(position).value_or(StorePosition {});
}

void InstanceGroup::receiveMembership(const Envelope& envelope, MembershipMessage message)
{
    std::visit([&](auto& it) { it.highest = learnPosition(it.highest, envelope.sender); }, message);
    send(m_membership.receive(envelope.sender, envelope.senderAddress, message, steadyNow()));
}

void InstanceGroup::pullOperatorState(TimePoint now)
{
    if (m_membership.highest() <= m_operatorPosition) {
        m_newerStateKnownSince.reset();
        return;
    }
    if (!m_newerStateKnownSince) {
        m_newerStateKnownSince = now;
        m_pullInterval = shortestPullInterval;
        m_log.write(LogLevel::Info,
            LogLine("operator_state_newer")
                .add("version", m_membership.highest().version)
                .add("in_force", m_operatorPosition.version));
    }
    if (now - *m_newerStateKnownSince < operatorStatePullDelay || now < m_nextPull)
        return;
    const auto peers = m_membership.configurationPeers();
    if (peers.empty())
        return;
    m_nextPull = now + m_pullInterval;
    m_pullInterval = std::min(m_pullInterval * 2, longestPullInterval);
    const auto* peer = m_membership.view().find(peers[m_nextPeer++ % peers.size()]);
    if (!peer)
        return;
    m_log.write(LogLevel::Info,
        LogLine("operator_state_pulled").add("peer", peer->id).add("known_ms", now - *m_newerStateKnownSince));
    m_transport.send(peer->peerAddress,
        ConfigurationPull { ++m_pullSequence, m_operatorPosition.version, m_operatorPosition.era, true });
}

void InstanceGroup::setListedInstances(const std::vector<PlatformInstance>& instances)
{
    m_membership.applyPlatformList(instances, steadyNow());
}

void InstanceGroup::setState(InstanceState state) { m_membership.setState(state); }

void InstanceGroup::setDemands(const std::map<WorkspaceId, double>& demands)
{
    std::vector<WorkspaceDemand> list;
    list.reserve(demands.size());
    for (const auto& [workspace, rate] : demands)
        list.push_back({ workspace, rate });
    m_membership.setDemands(std::move(list));
}

void InstanceGroup::setOperatorState(const StorePosition& position)
{
    m_operatorPosition = position;
    m_membership.adopted(position);
}

void InstanceGroup::operatorStateConfirmed(TimePoint readStart)
{
    m_membership.headRead(m_operatorPosition.version, readStart, steadyNow());
}

std::vector<PeerInstance> InstanceGroup::instancesOfRegion() const
{
    std::vector<PeerInstance> instances;
    m_membership.view().forEachLive([&](const MemberInfo& member) {
        if (member.region == m_membership.self().region)
            instances.push_back({ member.id, member.peerAddress });
    });
    return instances;
}

std::vector<TableReader> InstanceGroup::tableReaders() const
{
    std::vector<TableReader> readers;
    for (const auto& id : m_membership.readers()) {
        if (const auto* member = m_membership.view().find(id))
            readers.push_back({ id, member->peerAddress });
    }
    return readers;
}

std::vector<MemberInfo> InstanceGroup::liveMembers() const
{
    std::vector<MemberInfo> members;
    m_membership.view().forEachLive([&](const MemberInfo& member) { members.push_back(member); });
    return members;
}

std::set<RegionId> InstanceGroup::regions() const
{
    std::set<RegionId> regions;
    for (const auto& [id, domain] : m_membership.view().domains())
        regions.insert(domain.region);
    return regions;
}

std::map<ServiceId, std::map<RegionId, double>> InstanceGroup::offeredLoads() const
{
    std::map<ServiceId, std::map<RegionId, double>> result;
    for (const auto& region : regions()) {
        for (const auto& load : m_membership.view().loads(region))
            result[load.service][region] = load.offered;
    }
    return result;
}

void InstanceGroup::setServerReports(std::vector<ServerReport> serverReports)
{
    m_membership.setServerReports(std::move(serverReports), steadyNow());
}

std::vector<ServerReport> InstanceGroup::serverReports() const
{
    const auto now = steadyNow();
    std::vector<ServerReport> result;
    for (const auto& region : regions()) {
        for (auto& report : m_membership.view().serverReports(region, now))
            result.push_back(std::move(report));
    }
    return result;
}

std::map<WorkspaceId, double> InstanceGroup::totalDemands() const
{
    std::map<WorkspaceId, double> totals;
    for (const auto& region : regions()) {
        for (const auto& demand : m_membership.view().demands(region))
            totals[demand.workspace] += demand.requestsPerSecond;
    }
    return totals;
}

}
