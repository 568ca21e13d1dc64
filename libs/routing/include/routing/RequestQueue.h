// The queue of one service at one instance: requests that wait for a backend server.

#pragma once

#include "base/EnumNames.h"
#include "base/Ids.h"
#include "base/Time.h"

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace peridot {

struct QueuedRequest {
    RequestId id; // Unique among the waiting requests.
    WorkspaceId workspace;
    ClassId classId;
    int importance = 0; // Of the class; a larger number is more important.
    Duration target { 0 }; // Latency target of the class, counted from `arrived`.
    std::optional<TimePoint> deadline; // From the caller; it leaves the queue then.
    Duration expectedDuration { 0 }; // Expected time at the backend server.
    double cost = 1; // Expected work relative to an average request of the service.
    TimePoint arrived;
};

enum class QueueRefusalReason {
    QueueFull,
    TargetUnreachable, // It would miss its class target.
    DeadlineUnreachable, // It would miss its caller's deadline.
    Displaced, // It had been queued, but a more important class or a workspace below its share needed the place.
    Expired, // Its time ran out while it waited.
};

template <>
inline constexpr EnumNameTable<QueueRefusalReason, 5> enumNames<QueueRefusalReason> { {
    { QueueRefusalReason::QueueFull, "queue_full" },
    { QueueRefusalReason::TargetUnreachable, "target_unreachable" },
    { QueueRefusalReason::DeadlineUnreachable, "deadline_unreachable" },
    { QueueRefusalReason::Displaced, "displaced" },
    { QueueRefusalReason::Expired, "expired" },
} };

struct QueueRefusal {
    QueueRefusalReason reason = QueueRefusalReason::QueueFull;
    Duration retryAfter { 0 }; // From the measured drain rate.
};

/** A request that left the queue without being served; it was not run. */
struct RemovedRequest {
    QueuedRequest request;
    QueueRefusal refusal;
};

struct RequestQueueOptions {
    std::size_t maximumLength = 1024;
    double quantum = 1; // Cost that each workspace may spend in a round.
    Duration rateWindow = std::chrono::seconds(2); // Time constant of the measured drain rate.
    double lessImportantShare = 0.75; // Of the allowed wait, for a request while more important ones wait.
    double patience = 2; // A request without a deadline expires after this many targets.
};

/** Not thread-safe. Order: in each round every waiting workspace may spend the same cost; among the workspaces with
 *  credit left the request that is due earliest is next, the more important one if they are due together. */
class RequestQueue {
public:
    explicit RequestQueue(RequestQueueOptions);

    /** Queues the request, or refuses it if it cannot be served in time. Requests that were displaced by it are
     *  returned by the next removed(). */
    tl::expected<void, QueueRefusal> push(TimePoint now, QueuedRequest);

    /** Takes the next request for which a backend server is free. */
    std::optional<QueuedRequest> pop(TimePoint now);
    /** The request that pop() would take; to ask the pool for a server first. */
    const QueuedRequest* front(TimePoint now);

    /** Puts back a request that a server refused before running it. Keeps its arrival time; never refused, but it may
     *  have expired. */
    void putBack(TimePoint now, QueuedRequest);

    /** Removes and returns all requests that expired or were displaced. Call it at nextExpiry() and after push(). */
    std::vector<RemovedRequest> removed(TimePoint now);
    std::optional<TimePoint> nextExpiry() const;

    /** Removes the request of a caller that has gone. Returns whether it was waiting. */
    bool cancel(TimePoint now, const RequestId&);

    /** Expected time until a request of this workspace, due at @p due, would be served if it arrived now. */
    Duration expectedWait(TimePoint now, const WorkspaceId&, TimePoint due, double cost) const;

    std::size_t length() const noexcept { return m_requests.size(); }
    std::size_t length(const WorkspaceId&) const;
    /** Measured cost per second while requests were waiting; nothing before the first measurement. */
    std::optional<double> drainRate(TimePoint now) const;

private:
    struct Order {
        TimePoint due;
        int importance = 0;
        std::int64_t sequence = 0; // Of arrival; negative for requests that were put back.

        bool operator<(const Order& other) const noexcept;
    };
    /** The request to displace first: least important, then due last. */
    struct DisplacedBefore {
        bool operator()(const Order& a, const Order& b) const noexcept;
    };
    struct Entry {
        QueuedRequest request;
        Order order;
        TimePoint queued;
        TimePoint expires;
    };
    struct Workspace {
        std::map<Order, RequestId> waiting;
        std::set<Order, DisplacedBefore> displaceable; // The same requests.
        double cost = 0; // Of all waiting requests.
        double credit = 0; // At most one quantum; negative after an expensive request.
        std::uint64_t round = 0; // The round in which credit was last added.
    };
    using Workspaces = std::map<WorkspaceId, Workspace>;

    TimePoint dueOf(const QueuedRequest&) const noexcept;
    /** Longest wait after which the request still meets its target and deadline. */
    Duration allowedWait(TimePoint now, const QueuedRequest&) const noexcept;
    bool isMoreImportantWaiting(const QueuedRequest&) const noexcept;
    Duration waitFor(double costAhead, TimePoint now) const;
    double costAhead(const WorkspaceId&, TimePoint due, double cost) const;
    bool makeRoom(TimePoint now, const QueuedRequest&);
    bool displaceForTarget(TimePoint now, const QueuedRequest&);
    /** Whether the request may displace less important ones of @p other: its own workspace, or one that holds as much.
     */
    bool mayDisplace(const QueuedRequest&, const WorkspaceId& other) const;
    /** Returns the request to displace first for this one, if there is any. */
    std::optional<RequestId> displaceable(const QueuedRequest&) const;
    double backlogWith(const QueuedRequest&) const;
    /** Workspaces with waiting requests, counting this one. */
    std::size_t activeWorkspaces(const WorkspaceId&) const;
    void displace(TimePoint now, const RequestId&);
    void insert(TimePoint now, QueuedRequest, std::int64_t sequence);
    Entry erase(const RequestId&);
    void expire(TimePoint now);
    /** Returns the workspace whose first request is next; credits a new round if none may spend. */
    Workspaces::iterator select();
    void startRound();

    void advanceRate(TimePoint now);

    RequestQueueOptions m_options;
    std::unordered_map<RequestId, Entry> m_requests;
    Workspaces m_workspaces; // Those with waiting requests or with credit to settle in this round.
    std::map<int, std::size_t> m_countByImportance; // Of the waiting requests.
    std::set<std::pair<TimePoint, RequestId>> m_expiries;
    std::vector<RemovedRequest> m_removed;
    std::uint64_t m_round = 1;
    std::int64_t m_sequence = 0;
    std::int64_t m_putBackSequence = 0;

    // Drain rate: cost taken and time, both fading with the rate window.
    TimePoint m_rateUpdated;
    double m_busySeconds = 0; // While requests waited.
    double m_busyCost = 0; // Of requests that had waited.
    double m_allCost = 0; // Of all requests; divided by the window it bounds the rate from below.
};

}
