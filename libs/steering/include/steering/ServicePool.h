// The backend servers of one service as seen by one entry instance. The pool estimates their load, health and
// warm objects, and chooses the server for each request.

#pragma once

#include "base/EnumNames.h"
#include "base/Time.h"
#include "steering/ListedServer.h"
#include "steering/RateDivision.h"
#include "steering/ServerLimit.h"
#include "steering/ServerStatement.h"

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

enum class DispatchResult {
    Succeeded,
    ServerError, // A complete failure response; the request counts as run.
    Shed, // The server rejected the request and states that it has not run it.
    WrongServer, // Another server responded: it has taken over the address.
    NotSent, // No byte of the request was sent.
    Broken, // Lost or malformed response; the request may have run.
    Cancelled, // The caller disconnected or its deadline passed.
    Withdrawn, // No byte of the request was sent, and the server is not the cause: WithdrawSend, or this process was
               // late.
};

template <>
inline constexpr EnumNameTable<DispatchResult, 8> enumNames<DispatchResult> { {
    { DispatchResult::Succeeded, "succeeded" },
    { DispatchResult::ServerError, "server_error" },
    { DispatchResult::Shed, "shed" },
    { DispatchResult::WrongServer, "wrong_server" },
    { DispatchResult::NotSent, "not_sent" },
    { DispatchResult::Broken, "broken" },
    { DispatchResult::Cancelled, "cancelled" },
    { DispatchResult::Withdrawn, "withdrawn" },
} };

struct ServicePoolOptions {
    // Requests that may wait at a server beyond its slots, including the estimated requests of other instances. With 0,
    // a slot that becomes free would stay idle until an instance notices it.
    double waitingLimitPerServer = 1;
    // The first servers in an object's order, per region, that are expected to hold the object warm.
    std::size_t warmOrderLength = 2;
    // Servers cache the objects of the last few dozen requests. At typical request rates, an object is still cached
    // `recentSendAge` after its last request and is evicted before `earlierSendAge`.
    Duration recentSendAge = std::chrono::milliseconds { 2'500 };
    Duration earlierSendAge = std::chrono::seconds { 8 };
    Duration initialEjectionTime = std::chrono::milliseconds { 400 };
    Duration maximumEjectionTime = std::chrono::seconds { 4 };
    double maximumEjectedShare = 0.5; // Share of a region's usable servers that may be ejected at the same time.
    // Time between two changes of the spilled shares.
    Duration spillInterval = std::chrono::milliseconds { 250 };
    // Assumed round trip to another region until a connection to it has been measured.
    Duration initialRegionRoundTrip = std::chrono::milliseconds { 60 };
};

/** Properties of a request that determine which servers may and should run it. */
struct PoolQuery {
    std::optional<std::uint64_t> object; // Hash of the affinity key; set on sticky routes only.
    // Lists of regions in which the request may run. Each of them binds; a null or empty one allows any region.
    std::array<const std::vector<RegionId>*, 4> homeRegions {};
    std::span<const BackendServerId> excluded; // Servers that must not be chosen.
    bool hasLargeResponse = false; // Requests with small responses are spilled first.
    Duration coldWork { 0 }; // Expected processing time at a server that does not hold the object.
    Duration warmWork { 0 }; // Expected processing time at a server that holds the object.

    /** Whether all lists of home regions allow the request to run in the region. */
    bool allows(const RegionId&) const;
    /** Whether the lists of home regions have a region in common. */
    bool allowsAnyRegion() const;
};

/**
 * Why a server is expected to hold an object. ServicePool measures for each reason the share of requests that found the
 * object warm, and uses it as the probability for the next request.
 */
enum class WarmReason {
    FirstChoice, // The server is the first of its region in the object's order.
    Recent, // This instance sent a request for the object there less than `recentSendAge` ago.
    SecondChoice, // The server is among the first `warmOrderLength` of its region in the object's order.
    Earlier, // This instance sent a request for the object there less than `earlierSendAge` ago.
    None, // Nothing suggests that the server holds the object.
};

constexpr std::size_t warmReasonCount = 5;

/** The server chosen for a request, or the best one to wait for. */
struct PoolChoice {
    const ListedServer* server = nullptr; // Null if no server can take the request, not even after waiting.
    // Whether the server can take the request now, in a slot or as the next one to wait at the server. If not, the
    // request has to wait at this instance.
    bool hasFreeSlot = false;
    WarmReason warmReason = WarmReason::None;
    bool isWarm = false; // The server is expected to hold the object, or the request has none.
    bool isSpill = false; // The server is in another region than the instance.
    // Estimated time until the response, including the wait, a cost for cold work and failures, and a small part that
    // prefers the emptier of two equal servers.
    Duration expected { 0 };
    double occupancy = 0; // Requests per slot at the server before this request.
    // Time until the server wants requests of this instance again. 0 if it wants them now.
    Duration pausedFor { 0 };
    // Position of the server within its region in the object's order, starting at 0.
    std::size_t orderIndex = 0;
};

/**
 * The most that a server may get in a window: its limit times the window and the overage, and the slack.
 */
struct LimitBound {
    Duration window = std::chrono::seconds { 4 };
    double overage = 1.5;
    double slack = 5;
};

/** Which parts of a server's statements have changed with a response or a notice. */
struct StatementChange {
    bool limit = false;
    bool leaving = false;
    bool pause = false;
    bool unreadable = false; // For the first time since the start of the server.

    /** Whether the server takes less from this instance than before, also of what is on its way. */
    bool hasClosed() const noexcept { return leaving || pause; }
};

/** Servers that take fewer requests, or none, because they said so. */
struct StatedServers {
    std::size_t limited = 0;
    std::size_t leaving = 0;
    std::size_t paused = 0;
};

/** Demand for a service, measured in the slots that its requests would fill if warm servers served all of them. */
struct OfferedLoad {
    std::map<RegionId, double> byRegion {}; // By the region of the callers.
    std::map<RegionId, double>
        boundShares {}; // Shares that home regions bind to one region each. The sum is at most 1.
    double largeShare = 0; // Share of requests with large responses, of those that may run in any region.
};

/** Not thread-safe. Each call of started() must be followed by exactly one call of finished(). */
class ServicePool {
public:
    ServicePool(RegionId ownRegion, ServicePoolOptions, std::uint64_t seed);

    void setServers(const std::vector<ListedServer>&, TimePoint now);
    void setEvacuated(const std::set<FailureDomainId>&);
    /** Sets the share of the region's requests that may change their region from one 2 s window to the next. */
    void setMaximumShiftShare(double share) noexcept { m_maximumShiftShare = share; }
    /** Sets the entry instances that share the rates of servers. */
    void setRateDivision(std::shared_ptr<const RateDivision>);
    /** Sets the rate at which all instances together may send to one cold server, and how many of them may. */
    void setColdRate(double perSecond, double maximumSenders);

    PoolChoice choose(const PoolQuery&, TimePoint now);
    /** Counts a queued request as waiting for a server. clearClaims() resets the counts before a new pass over the
     *  queue. */
    void claim(const BackendServerId&);
    void clearClaims();

    void started(const BackendServerId&, std::optional<std::uint64_t> object, TimePoint now);
    /** Forgets the failures of all servers, because this instance could not reach them. */
    void forgetFailures();
    /** Appends the usable servers. */
    void addUsableServers(std::vector<const ListedServer*>&) const;
    void finished(const BackendServerId&, DispatchResult, Duration latency, Duration expected,
        const std::optional<ServerLoad>&, TimePoint now);
    /** Sets the room that the bound on limited servers leaves, see LimitBound. */
    void setLimitBound(const LimitBound& bound) { m_limitBound = bound; }
    /** Records what a response of the server states whose request was sent at @p sent. */
    StatementChange stated(const BackendServerId&, const ServerStatement&, TimePoint sent, TimePoint now);
    /** Records what a server stated to another instance. */
    StatementChange learn(const ServerNotice&, TimePoint now);
    /** What the other instances have to be told of statements to this one. */
    std::vector<ServerNotice> notices(TimePoint now) const;
    /** Records whether a request that was sent for @p reason found the object warm. */
    void observeWarm(WarmReason reason, bool wasWarm) noexcept;
    /** Records the round trip measured when a new connection to a server was set up. */
    void connected(const BackendServerId&, Duration roundTrip);

    void setOfferedLoad(OfferedLoad offered) { m_offeredLoad = std::move(offered); }
    /** Adapts the spilled shares. Call it about every 20 ms. @p hasUnservedRequests is true while requests wait or
     *  are rejected. */
    void tick(TimePoint now, bool hasUnservedRequests);

    const ListedServer* find(const BackendServerId&) const;
    StatedServers statedServers() const noexcept;
    // A limited server counts as no more slots than its limit keeps busy, a paused one as none.
    double slots() const noexcept; // Slots of the usable servers of all regions.
    double localSlots() const noexcept; // Slots of the usable servers of the own region.
    /** Requests per slot at the own region's usable servers that are not ejected, including queued requests. */
    double localOccupancy(TimePoint now) const;
    /** Share of the own region's requests that is sent to other regions, of those that may run in any. */
    double spillShare() const noexcept;
    Duration roundTrip(const RegionId&) const;

private:
    /** This instance's part of a rate of one server. */
    struct RatePart {
        SendTokens tokens;
        // What the rate of the tokens was computed from.
        std::uint64_t divisionVersion = 0;
        double rate = 0;
        std::size_t turn = 0;

        explicit RatePart(SendTokens it)
            : tokens(it)
        {
        }
    };

    /** What one start of a server has stated on new requests. Remembered while the server isn't listed. */
    struct Closure {
        std::int64_t incarnation = 0;
        bool isLeaving = false;
        bool isToBeTold = false; // It stated to this instance that it leaves.
        TimePoint statedAt {}; // Of the newest statement.
        TimePoint pausedUntil {};
        bool isReopening = false; // No request that was sent after the pause has had a response.
    };

    /** Which bound keeps a request from a server now. */
    enum class ServerBound {
        None,
        Unusable, // Not listed, leaving, evacuated, or another server has its address.
        Paused,
        Ejected,
        Cold,
        Limited,
    };
    /** When the server may get the next request of this instance. */
    struct NextSend {
        ServerBound bound = ServerBound::None;
        std::optional<Duration> wait { Duration { 0 } }; // Empty if it is not known.
    };

    struct Server {
        Server(ListedServer description, TimePoint now)
            : info(std::move(description))
            , knownSince(now)
            , coldPart(SendTokens(1, now))
            , limitPart(SendTokens(0, now))
        {
        }

        ListedServer info;
        TimePoint knownSince; // Of this start of the server.
        bool isListed = true;
        bool isAddressTaken = false; // Another server responded at its address.
        std::uint32_t inFlight = 0; // Requests of this instance that have no result yet.
        std::uint32_t claims = 0; // Queued requests of this instance that wait for the server.
        double otherInstancesLoad = 0; // Smoothed number of requests of other instances at the server.
        TimePoint otherInstancesLoadTime {}; // Time of the last update of the load; 0 before the first one.
        double slowness = 1; // Smoothed ratio of measured to expected latency, at least 1.
        double lastLatencyRatio = 1; // Ratio of measured to expected latency of the last successful response.
        double failureShare = 0; // Smoothed share of failed requests.
        unsigned consecutiveFailures = 0; // Requests not sent or broken since the last success.
        TimePoint ejectedUntil {};
        // Duration of the last ejection, which the next one doubles; 0 after a success.
        Duration ejectionTime { 0 };
        RatePart coldPart; // Used while the server is cold.
        ServerLimit limit;
        RatePart limitPart; // Used while the server names a limit.
        Closure closure;
        bool isPaused = false; // As of the last tick or statement.
        bool hasStatedUnreadable = false;
        // Objects of the requests sent to the server, with the time of the last request.
        std::map<std::uint64_t, TimePoint> warmObjects;
        std::multiset<TimePoint> startTimes; // Send times of the requests in flight.
    };
    using Order = std::vector<Server*>; // Servers grouped by region, the own region first, by descending preference.

    bool isUsable(const Server&) const;
    bool mayServe(const Server&, const PoolQuery&) const;
    bool isLocal(const Server& server) const { return server.info.region == m_region; }
    double occupancy(const Server&, TimePoint now) const;
    double estimatedOtherInstancesLoad(const Server&, TimePoint now) const;
    double slowness(const Server&, Duration expected, TimePoint now) const;
    bool hasColdToken(Server&, TimePoint now) const;
    /** The one place that decides whether a server may get a request, whatever is known of it. */
    NextSend nextSend(Server&, TimePoint now) const;
    /** Keeps the closure of a server that is forgotten. */
    void remember(const Server&, TimePoint now);
    void restore(Server&);
    /** Time until the server's limit lets another request of this instance through, behind the queued ones that wait
     * for the server. Empty if this instance has no part of the limit. */
    std::optional<Duration> limitWait(Server&, TimePoint now) const;
    /** Slots of the server that requests can keep busy. */
    double usedSlots(const Server&) const noexcept;
    /** Returns the tokens of the part, with their rate up to date. */
    SendTokens& tokensOf(
        RatePart&, const ListedServer&, double rate, double maximumSenders, std::size_t turn, TimePoint now) const;
    WarmReason warmReason(
        const Server&, std::size_t orderIndex, bool isUnranked, std::uint64_t object, TimePoint now) const;
    void eject(Server&, TimePoint now);
    const Order& orderFor(std::uint64_t object);
    /** Returns the share of the query's requests that is spilled if @p share of all requests are. */
    double spillShareFor(const PoolQuery&, double share) const;
    /** Selects the region that serves the request according to the spilled shares. */
    RegionId selectRegion(const PoolQuery&);
    /** Shares of the own region's requests that should be sent to each other region, of those that may run in any. */
    std::map<RegionId, double> spillTargets() const;
    /** Offered load of all regions per usable slot. */
    double overallUse() const;
    /** Replaces @p best by the server if that can serve the request at a lower cost. @p isUnranked is true if the
     *  request has an object, but the server was not taken from the object's order. A paused server is left out unless
     *  the request @p mayAwaitPause. */
    void consider(Server&, std::size_t orderIndex, bool isUnranked, bool mayAwaitPause, const PoolQuery&, TimePoint now,
        PoolChoice& best);

    const RegionId m_region;
    const ServicePoolOptions m_options;
    std::mt19937_64 m_random;
    std::map<BackendServerId, std::unique_ptr<Server>> m_servers; // Unlisted servers stay until their requests end.
    std::map<BackendServerId, Closure> m_closures; // Of servers that are not in m_servers.
    std::set<FailureDomainId> m_evacuated;
    std::unordered_map<std::uint64_t, Order> m_orders; // By object; cleared when the usable servers change.
    std::map<RegionId, Duration> m_roundTrips;
    double m_maximumShiftShare = 0.15; // The users' bound; replaced by setMaximumShiftShare().
    LimitBound m_limitBound;
    double m_meanWorkSeconds = 0; // Smoothed duration of successful requests; 0 before the first one.
    double m_coldRatePerSecond = 1;
    double m_maximumColdSenders = 1;
    std::shared_ptr<const RateDivision> m_division
        = std::make_shared<RateDivision>(InstanceId {}, std::vector<EntryInstance> {});
    std::uint64_t m_divisionVersion = 1; // Counts the calls of setRateDivision().
    OfferedLoad m_offeredLoad;
    // Degree to which requests with large responses are kept in the region, 0 to 1. It grows in small steps once there
    // are any, because it changes the region of requests.
    double m_keepsLarge = 0;
    // Share of the own region's requests that is sent to each other region; set by tick(). The sum is at most 1.
    std::map<RegionId, double> m_spillShares;
    TimePoint m_nextSpillStep {};
    // Until then slots are short, and requests are not sent to servers that are unlikely to hold their object, because
    // a warm server needs about a third of the time.
    TimePoint m_shortOfSlotsUntil {};
    // Factor on the load per slot that the own region keeps. It falls below 1 while slots are short although the
    // offered load should fit.
    double m_localUseFactor = 1;
    bool m_hasSentRequest = false; // After the first request the spilled shares change in small steps only.
    // Smoothed share of requests that found their object warm, by WarmReason.
    std::array<double, warmReasonCount> m_warmShares { 0.95, 0.9, 0.6, 0.4, 0.05 };
    // Requests of other instances per slot, smoothed over the reports of all servers.
    double m_meanOtherInstancesLoad = 0;
};

}
