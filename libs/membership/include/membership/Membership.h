// One instance's part in membership: its live view, evidence, member agent and relay agent. Messages to itself are
// handled inside.

#pragma once

#include "membership/MemberAgent.h"
#include "membership/RelayAgent.h"

#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace peridot {

using MembershipMessage = std::variant<Heartbeat, HeartbeatReply, DigestPull, Digest>;

struct MembershipSend {
    InstanceId to;
    std::string address;
    MembershipMessage message;
};

/** Not thread-safe. */
class Membership {
public:
    // A member that is no reader polls the store itself if its evidence is older than this, at random intervals within
    // these bounds: 1,500 members then make 500 reads per second, a quarter of the platform's rate.
    static constexpr Duration s_selfReadAge = std::chrono::milliseconds { 1500 };
    static constexpr Duration s_selfReadLowest = std::chrono::seconds { 2 };
    static constexpr Duration s_selfReadHighest = std::chrono::seconds { 4 };

    Membership(MembershipSettings, MemberInfo self, std::uint64_t randomSeed, EventLog&);
    Membership(const Membership&) = delete;
    Membership& operator=(const Membership&) = delete;

    /** Call it every 10 to 50 ms. */
    std::vector<MembershipSend> tick(TimePoint now);
    /** @p address is where the sender takes messages. */
    std::vector<MembershipSend> receive(
        const InstanceId& from, const std::string& address, const MembershipMessage&, TimePoint now);
    void applyPlatformList(const std::vector<PlatformInstance>& instances, TimePoint now);

    /** A read of the head row succeeded. */
    void headRead(ConfigurationVersion version, TimePoint readStart, TimePoint now);
    /** Any other store call succeeded. */
    void storeSucceeded(TimePoint now) noexcept { m_contact.succeeded(now); }
    void holdReachable(TimePoint until) noexcept { m_contact.holdReachable(until); }
    /** A version is in force here. */
    void adopted(const StorePosition&);
    /** A version exists, for example because this instance has just written it. */
    void heard(const StorePosition&);
    void setState(InstanceState state) { m_member.setState(state); }
    void setDetached(bool isDetached) { m_member.setDetached(isDetached); }
    void setLedgerEpoch(std::uint64_t epoch) noexcept { m_member.setLedgerEpoch(epoch); }
    void setLoads(std::vector<ServiceLoad> loads) { m_member.setLoads(std::move(loads)); }
    void setDemands(std::vector<WorkspaceDemand> demands) { m_member.setDemands(std::move(demands)); }
    void setServerReports(std::vector<ServerReport> serverReports, TimePoint now)
    {
        m_member.setServerReports(std::move(serverReports), now);
    }

    const LiveView& view() const noexcept { return m_view; }
    const Evidence& evidence() const noexcept { return m_evidence; }
    const MemberInfo& self() const noexcept { return m_member.self(); }
    bool isRelay() const noexcept { return m_relay.isActive(); }
    /** Whether this instance has to poll the head row now. */
    bool pollsStore(TimePoint now) const noexcept { return isRelay() || now < m_selfReadUntil; }
    /** For ConfigurationWriter: whether evidence cannot miss @p version even if this instance dies now. */
    bool isKnownToPeers(ConfigurationVersion version, TimePoint now) const
    {
        return m_member.isKnownToPeers(version, now);
    }
    /** The newest version that this instance has heard of. */
    StorePosition highest() const noexcept;
    /** In force at every live member, for `--wait`. */
    ConfigurationVersion lowestVersion() const noexcept { return m_member.lowestVersion(); }
    /** The instances that may read the store for the own region, best first. Of each domain it is the one with the
     *  fastest link, since a reader sends every change to several others; of equal ones the best relay. */
    std::vector<InstanceId> readers() const;
    /** Peers that are likely to have a newer configuration: the relays of the own domain. */
    std::vector<InstanceId> configurationPeers() const;

private:
    // A longer time between two ticks is a pause of the process.
    static constexpr Duration s_longestTick = std::chrono::milliseconds { 400 };

    void noticePause(TimePoint now);
    void scheduleSelfRead(TimePoint now);
    void addSends(std::vector<MemberAgent::Send>, TimePoint now, std::vector<MembershipSend>&);

    LiveView m_view;
    Evidence m_evidence;
    StoreContact m_contact;
    MemberAgent m_member;
    RelayAgent m_relay;
    std::mt19937_64 m_random;
    std::optional<TimePoint> m_lastTick;
    TimePoint m_nextSelfRead;
    TimePoint m_selfReadUntil;
};

}
