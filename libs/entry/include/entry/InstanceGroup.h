// This instance's view of all entry instances of the deployment: which of them are live, and the load and demand that
// they report. Pulls the operator state from a peer if a newer version is known. Connects Membership to PeerTransport.

#pragma once

#include "base/EventLog.h"
#include "entry/TableRelay.h"
#include "membership/Membership.h"
#include "store/StoreEras.h"
#include "wire/PeerTransport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridot {

/** Settings made by operators, serialized as text for the exchange between instances. A large part of them may only be
 * named in it. */
struct OperatorState {
    StorePosition position; // In the store.
    std::string text;
};

/** Not thread-safe: runs on the thread of the io_context. */
class InstanceGroup {
public:
    struct Handlers {
        /** Called with the state that a peer sent, if it is newer than the state in force here. */
        std::function<void(const OperatorState&, const PeerInstance& sender)> onOperatorState;
        /** Returns the state in force here as text, with all of it if the peer doesn't take large values. Empty if it
         *  can't be sent now. */
        std::function<std::string(bool takesLargeValues)> operatorStateText;
        std::function<void(const std::string& senderAddress, const TablePull&)> onTablePull;
        std::function<void(const TableChanges&)> onTableChanges;
        std::function<void(const std::string& senderAddress, const ValuePull&)> onValuePull;
        std::function<void(const std::string& senderAddress, const ValuePart&)> onValuePart;
    };

    /** Listens for peers at @p listenAddress, or at the address in @p self if that is empty. */
    InstanceGroup(boost::asio::io_context&, const DeploymentId&, const MemberInfo& self,
        const std::string& listenAddress, Handlers, StoreEras&, EventLog&);
    ~InstanceGroup();
    InstanceGroup(const InstanceGroup&) = delete;
    InstanceGroup& operator=(const InstanceGroup&) = delete;

    Result<void> start();
    /** Sets the entry instances that are listed in the store. */
    void setListedInstances(const std::vector<PlatformInstance>&);
    void setState(InstanceState);
    /** Sets whether this instance reaches no backend server. */
    void setDetached(bool isDetached) { m_membership.setDetached(isDetached); }
    /** Sets the callers' demand on this instance, in requests per second by workspace. */
    void setDemands(const std::map<WorkspaceId, double>&);
    /** Sets the load of the backend servers in this instance's region, by service, as this instance measures it. */
    void setLoads(std::vector<ServiceLoad> loads) { m_membership.setLoads(std::move(loads)); }
    /** Sets what backend servers have stated to this instance that concerns all of them. */
    void setServerReports(std::vector<ServerReport>);
    /** Returns what backend servers have stated to the instances that concerns all of them. */
    std::vector<ServerReport> serverReports() const;
    /** Returns the slots that callers' requests would fill if all were served, by service and by the region of the
     *  entry instance that receives the requests. */
    std::map<ServiceId, std::map<RegionId, double>> offeredLoads() const;
    /** Records the operator state that is in force here, and makes it available to peers that pull it. */
    void setOperatorState(const StorePosition&);
    /** Since when a state is known to exist that is newer than the one in force here. */
    std::optional<TimePoint> behindSince() const noexcept { return m_newerStateKnownSince; }
    /** Records that a read of the store, begun at @p readStart, found no state newer than the one in force here. */
    void operatorStateConfirmed(TimePoint readStart);

    /** Returns the live instances of this instance's region, itself included. */
    std::vector<PeerInstance> instancesOfRegion() const;
    /** Returns the instances that may read the store for this region, most preferred first. Instances of a region that
     *  have the same view of the members return the same list. */
    std::vector<TableReader> tableReaders() const;
    /** Messages and bytes exchanged with other instances. */
    PeerTransportCounters traffic() const { return m_transport.counters(); }
    void sendToPeer(const std::string& address, PeerMessage message) { m_transport.send(address, std::move(message)); }

    /** Returns the live members, including this instance. */
    std::vector<MemberInfo> liveMembers() const;
    /** Returns the demand on all live instances, in requests per second by workspace. Changes at other instances show
     *  up after one to two seconds. */
    std::map<WorkspaceId, double> totalDemands() const;

private:
    /** Returns the regions of all known failure domains. */
    std::set<RegionId> regions() const;
    void tick();
    void receive(const Envelope&);
    void receiveMembership(const Envelope&, MembershipMessage);
    /** Returns the position that a peer has stated. It is that of an empty history if it can't be compared. */
    StorePosition learnPosition(const StorePosition&, const InstanceId& peer);
    void send(std::vector<MembershipSend>);
    void pullOperatorState(TimePoint now);
    void scheduleTick();

    boost::asio::io_context& m_context;
    Handlers m_handlers;
    StoreEras& m_eras;
    EventLog& m_log;
    // Declared before m_transport, whose receive callback copies it.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    Membership m_membership;
    PeerTransport m_transport;
    boost::asio::steady_timer m_timer;
    StorePosition m_operatorPosition; // Of the operator state in force here.
    std::optional<TimePoint> m_newerStateKnownSince; // Set while a state newer than the one in force here is known.
    TimePoint m_nextPull {}; // Earliest time of the next pull of the operator state.
    Duration m_pullInterval { 0 }; // Time before it.
    std::uint64_t m_pullSequence = 0;
    std::size_t m_nextPeer = 0; // Selects the peer of the next pull, in round-robin order.
};

}
