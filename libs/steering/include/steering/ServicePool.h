// The backend servers of one service as seen by one entry instance: their load, health and warm objects, and the choice
// of the server for a request.

#pragma once

#include "base/EnumNames.h"
#include "base/Time.h"
#include "steering/ListedServer.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace peridot {

/** What a server says in its responses about all its callers' requests. */
struct ServerLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

enum class DispatchResult {
    Succeeded,
    ServerError, // A complete failure response; the request counts as run.
    Shed, // The server says that it has not run the request.
    WrongServer, // Another server has taken over the address.
    NotSent, // No byte of the request left.
    Broken, // Lost or malformed response; the request may have run.
    Cancelled, // Ended by the caller or by its deadline.
};

template <>
inline constexpr EnumNameTable<DispatchResult, 7> enumNames<DispatchResult> { {
    { DispatchResult::Succeeded, "succeeded" },
    { DispatchResult::ServerError, "server_error" },
    { DispatchResult::Shed, "shed" },
    { DispatchResult::WrongServer, "wrong_server" },
    { DispatchResult::NotSent, "not_sent" },
    { DispatchResult::Broken, "broken" },
    { DispatchResult::Cancelled, "cancelled" },
} };

struct ServicePoolOptions {
    // Requests that may wait at a server beyond its slots, counting other instances' as far as they are known. Without
    // one, a slot that falls free stays so until an instance learns of it.
    double waitingAtServer = 1;
    // A server within this many choices of an object is expected to hold it warm.
    std::size_t warmChoices = 2;
    // Servers keep the objects of the last few dozen requests; at usual rates an object is warm for the first time and
    // lost after the second one.
    Duration warmTime = std::chrono::milliseconds { 2'500 };
    Duration warmMemory = std::chrono::seconds { 8 };
    Duration firstEjection = std::chrono::milliseconds { 400 };
    Duration longestEjection = std::chrono::seconds { 4 };
    double ejectionCap = 0.5; // Share of a region's servers that failures may take out.
    Duration spillInterval = std::chrono::milliseconds { 250 };
    Duration initialRegionRoundTrip = std::chrono::milliseconds { 60 }; // Until it is measured.
};

struct PoolQuery {
    std::optional<std::uint64_t> object; // Hash of the affinity key, on sticky routes.
    const std::vector<RegionId>* homeRegions = nullptr; // Null or empty: any region.
    const std::vector<RegionId>* workspaceHomeRegions = nullptr;
    std::span<const BackendServerId> excluded;
    Duration coldWork { 0 }; // Expected time at a server that does not hold the object.
    Duration warmWork { 0 };

    /** Whether the homes let it run in the region. */
    bool allows(const RegionId&) const;
};

/** Why a server may hold an object; each has a measured share of sends that met it warm. */
enum class WarmReason {
    FirstChoice, // The object's first server in its region.
    Recent, // This instance sent the object there a moment ago.
    SecondChoice,
    Earlier, // This instance sent it there some seconds ago.
    None,
};

constexpr std::size_t warmReasonCount = 5;

struct PoolChoice {
    const ListedServer* server = nullptr; // Null: no server can ever take it now.
    bool hasFreeSlot = false; // Has a free slot; otherwise the best one to wait for.
    WarmReason warmReason = WarmReason::None;
    bool isWarm = false;
    bool isSpill = false; // In another region than the instance's.
    Duration expected { 0 }; // Until the response, including the wait.
    double occupancy = 0; // Of the server's slots before this request.
    std::size_t rank = 0; // Rank in the object's order of servers.
};

/** Not thread-safe. Each started() is followed by exactly one finished(). */
class ServicePool {
public:
    ServicePool(RegionId ownRegion, ServicePoolOptions, std::uint64_t seed);

    void setServers(const std::vector<ListedServer>&, TimePoint now);
    void setEvacuated(const std::set<FailureDomainId>&);
    /** Share of the region's requests that may change their region from one 2 s to the next. */
    void setMaximumShiftShare(double share) noexcept { m_maximumShiftShare = share; }
    /** Rate that this instance may send to one cold server, if the server is among the part @p share of the cold
     *  servers that it uses. */
    void setColdRate(double perSecond, double share);

    PoolChoice choose(const PoolQuery&, TimePoint now);
    /** Counts a queued request against the server it waits for; clearClaims() starts a new pass over the queue. */
    void claim(const BackendServerId&);
    void clearClaims();

    void started(const BackendServerId&, std::optional<std::uint64_t> object, TimePoint now);
    void finished(const BackendServerId&, DispatchResult, Duration latency, Duration expected,
        const std::optional<ServerLoad>&, TimePoint now);
    /** A send for @p reason met the object warm, or cold. */
    void observeWarm(WarmReason reason, bool wasWarm) noexcept;
    /** A new connection took @p roundTrip. */
    void connected(const BackendServerId&, Duration roundTrip);

    /** Slots that the callers of each region would fill if all their requests were served at warm servers. */
    void setOfferedLoad(std::map<RegionId, double> offered) { m_offeredLoad = std::move(offered); }
    /** Adapts the spilled shares. Call it every 20 ms or so. @p isShort: requests wait or are turned away. */
    void tick(TimePoint now, bool isShort);

    const ListedServer* find(const BackendServerId&) const;
    std::uint32_t slots() const noexcept; // Of usable servers of all regions.
    std::uint32_t localSlots() const noexcept;
    double localOccupancy(TimePoint now) const; // Requests at usable servers of the own region, per slot.
    /** Share of the requests that goes to other regions. */
    double spillShare() const noexcept;
    Duration roundTrip(const RegionId&) const;

private:
    struct Server {
        Server(ListedServer description, TimePoint now)
            : info(std::move(description))
            , coldUnitsTime(now)
        {
        }

        ListedServer info;
        bool isListed = true;
        bool isMisplaced = false; // Its address answered as another server.
        std::uint32_t inFlight = 0; // Of this instance.
        std::uint32_t claims = 0; // Queued requests of this instance that wait for it.
        double foreign = 0; // Requests of other instances, smoothed.
        TimePoint foreignTime {};
        double slowness = 1; // Latency against expectation, smoothed.
        double lastRatio = 1; // The same, of the newest response.
        double failureShare = 0; // Smoothed.
        unsigned failures = 0; // Consecutive.
        TimePoint ejectedUntil {};
        Duration ejection { 0 };
        double coldUnits = 1; // Requests that may be sent while it is cold.
        TimePoint coldUnitsTime;
        std::map<std::uint64_t, TimePoint> warm; // Objects sent there, with the last time.
        std::multiset<TimePoint> startTimes; // Of requests in flight.
    };
    using Order = std::vector<Server*>;

    bool isUsable(const Server&) const;
    bool mayServe(const Server&, const PoolQuery&) const;
    bool isLocal(const Server& server) const { return server.info.region == m_region; }
    double occupancy(const Server&, TimePoint now) const;
    double foreignEstimate(const Server&, TimePoint now) const;
    double slowness(const Server&, Duration expected, TimePoint now) const;
    bool hasColdUnit(Server&, TimePoint now) const;
    WarmReason warmReason(
        const Server&, std::size_t choice, bool isFallback, std::uint64_t object, TimePoint now) const;
    void eject(Server&, TimePoint now);
    const Order& orderFor(std::uint64_t object);
    /** The region that serves the request, by the spilled shares; the own one if its object is not spilled. */
    RegionId regionFor(const PoolQuery&);
    /** Shares of the own region's requests that belong to the other regions. */
    std::map<RegionId, double> spillTargets() const;
    /** Offered work of all regions per usable slot. */
    double overallUse() const;
    void consider(Server&, std::size_t choice, bool isFallback, const PoolQuery&, TimePoint now, PoolChoice& best);

    const RegionId m_region;
    const ServicePoolOptions m_options;
    const std::uint64_t m_seed; // Differs between instances.
    std::mt19937_64 m_random;
    std::map<BackendServerId, std::unique_ptr<Server>> m_servers; // Unlisted ones stay until their requests have ended.
    std::set<FailureDomainId> m_evacuated;
    std::unordered_map<std::uint64_t, Order> m_orders; // By object; cleared when the list changes.
    std::map<RegionId, Duration> m_roundTrips;
    double m_maximumShiftShare = 0.15; // The users' bound, until the settings tell it.
    double m_coldRate = 1;
    double m_coldShare = 1;
    std::map<RegionId, double> m_offeredLoad;
    std::map<RegionId, double>
        m_spillShares; // Of the requests, to each other region; steered by tick(). Sum at most 1.
    TimePoint m_nextSpillStep {};
    TimePoint m_shortUntil {}; // Slots are short: work that a warm server would do in a third of the time is wasted.
    double m_keptFactor = 1; // Below 1 while the region runs short although the offered work should fit.
    bool m_hasStarted = false; // A request was sent; from then on the spilled share changes in small steps.
    // Share of sends that met a warm object, by WarmReason; starts with guesses.
    std::array<double, warmReasonCount> m_warmShares { 0.95, 0.9, 0.6, 0.4, 0.05 };
    double m_meanForeign = 0; // Per slot, smoothed over all reports.
};

}
