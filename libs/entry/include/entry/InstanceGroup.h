// The other entry instances as this one sees them: who lives, what callers ask of them, and which operator state they
// know. Joins membership to its transport.

#pragma once

#include "base/EventLog.h"
#include "entry/TableRelay.h"
#include "membership/Membership.h"
#include "wire/PeerTransport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace peridot {

/** What operators have set, as text that instances hand to each other, with the store's version of it. */
struct OperatorState {
    std::uint64_t version = 0;
    std::string text;
};

/** Not thread-safe: runs on the thread of the io_context. */
class InstanceGroup {
public:
    struct Handlers {
        /** A peer has a newer state than this instance. */
        std::function<void(const OperatorState&)> onOperatorState;
        std::function<void(const std::string& senderAddress, const TablePull&)> onTablePull;
        std::function<void(const TableChanges&)> onTableChanges;
    };

    InstanceGroup(boost::asio::io_context&, const DeploymentId&, const MemberInfo& self, Handlers, EventLog&);
    ~InstanceGroup();
    InstanceGroup(const InstanceGroup&) = delete;
    InstanceGroup& operator=(const InstanceGroup&) = delete;

    Result<void> start();
    /** The instances that the store lists. */
    void setListedInstances(const std::vector<PlatformInstance>&);
    void setState(InstanceState);
    /** Requests per second that callers of each workspace ask of this instance. */
    void setDemands(const std::map<WorkspaceId, double>&);
    /** Load of the own region's servers as this instance sees it. */
    void setLoads(std::vector<ServiceLoad> loads) { m_membership.setLoads(std::move(loads)); }
    /** Slots that callers would fill, by service and region of the instance that they use. */
    std::map<ServiceId, std::map<RegionId, double>> offeredLoads() const;
    /** This state is in force here; peers may ask for it. */
    void setOperatorState(OperatorState);
    /** A read of the store that began at @p readStart found nothing newer than the state in force. */
    void operatorStateConfirmed(TimePoint readStart);

    /** The instances that may read the store for their region, best first. All instances of a region that see the same
     *  members name the same ones. */
    std::vector<TableReader> tableReaders() const;
    void sendToPeer(const std::string& address, PeerMessage message) { m_transport.send(address, std::move(message)); }

    /** Live members, this instance included. */
    std::vector<MemberInfo> liveMembers() const;
    /** Demand on all live instances, by workspace. It lags by a second or two. */
    std::map<WorkspaceId, double> totalDemands() const;

private:
    std::set<RegionId> regions() const;
    void tick();
    void receive(const Envelope&);
    void takeMembership(const Envelope&, const MembershipMessage&);
    void send(std::vector<MembershipSend>);
    void pullOperatorState(TimePoint now);
    void scheduleTick();

    boost::asio::io_context& m_context;
    Handlers m_handlers;
    EventLog& m_log;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true); // Before the transport, whose receiver holds it.
    Membership m_membership;
    PeerTransport m_transport;
    boost::asio::steady_timer m_timer;
    OperatorState m_state;
    std::optional<TimePoint> m_behindSince; // A peer is known to have a newer state.
    TimePoint m_nextPull {};
    std::uint64_t m_pullSequence = 0;
    std::size_t m_nextPeer = 0;
};

}
