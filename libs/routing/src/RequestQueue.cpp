// Deficit round robin between workspaces with earliest deadline first in each round, early refusal by the measured
// drain rate, and displacement of less important requests.

#include "routing/RequestQueue.h"

#include "base/Assert.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace peridot {

namespace {

    // Less measured waiting time than this says nothing about the rate.
    constexpr double shortestBusySeconds = 0.05;
    constexpr Duration longestRetryAfter = std::chrono::seconds(10);
    constexpr Duration shortestRetryAfter = std::chrono::milliseconds(1);

    Duration retryAfter(Duration wait) { return std::clamp(wait, shortestRetryAfter, longestRetryAfter); }

}

bool RequestQueue::Order::operator<(const Order& other) const noexcept
{
    return std::make_tuple(due, -importance, sequence) < std::make_tuple(other.due, -other.importance, other.sequence);
}

bool RequestQueue::DisplacedBefore::operator()(const Order& a, const Order& b) const noexcept
{
    return std::tie(a.importance, b.due, b.sequence) < std::tie(b.importance, a.due, a.sequence);
}

RequestQueue::RequestQueue(RequestQueueOptions options)
    : m_options(options)
{
    PERIDOT_ASSERT(m_options.maximumLength > 0 && m_options.quantum > 0 && m_options.rateWindow.count() > 0,
        "a request queue has a length, a quantum and a rate window");
}

TimePoint RequestQueue::dueOf(const QueuedRequest& request) const noexcept
{
    const auto due = request.arrived + request.target;
    return request.deadline ? std::min(due, *request.deadline) : due;
}

Duration RequestQueue::allowedWait(TimePoint now, const QueuedRequest& request) const noexcept
{
    // A class whose target is close to its duration still gets a quarter of the target to wait, so that a target that
    // is set too low does not refuse everything.
    auto latestStart = request.arrived + std::max(request.target - request.expectedDuration, request.target / 4);
    if (request.deadline)
        latestStart = std::min(latestStart, *request.deadline - request.expectedDuration);
    // The rest of the wait is left to bursts of the more important classes; they could not displace requests that were
    // served already.
    const auto share = isMoreImportantWaiting(request) ? m_options.lessImportantShare : 1;
    return Duration { static_cast<std::int64_t>(share * static_cast<double>((latestStart - now).count())) };
}

bool RequestQueue::isMoreImportantWaiting(const QueuedRequest& request) const noexcept
{
    return m_countByImportance.upper_bound(request.importance) != m_countByImportance.end();
}

tl::expected<void, QueueRefusal> RequestQueue::push(TimePoint now, QueuedRequest request)
{
    PERIDOT_ASSERT(!m_requests.count(request.id), "request ids in the queue are unique");
    PERIDOT_ASSERT(request.cost > 0, "a request has a cost");
    advanceRate(now);
    expire(now);
    const auto wait = expectedWait(now, request.workspace, dueOf(request), request.cost);
    if (request.deadline && *request.deadline <= now + request.expectedDuration)
        return tl::unexpected(QueueRefusal { QueueRefusalReason::DeadlineUnreachable, retryAfter(wait) });
    if (wait.count() > 0 && wait > allowedWait(now, request) && !displaceForTarget(now, request)) {
        const bool isDeadline = request.deadline && *request.deadline - request.expectedDuration < now + wait;
        return tl::unexpected(
            QueueRefusal { isDeadline ? QueueRefusalReason::DeadlineUnreachable : QueueRefusalReason::TargetUnreachable,
                retryAfter(wait - std::max(Duration { 0 }, allowedWait(now, request))) });
    }
    if (m_requests.size() >= m_options.maximumLength && !makeRoom(now, request))
        return tl::unexpected(QueueRefusal { QueueRefusalReason::QueueFull, retryAfter(waitFor(1, now)) });
    insert(now, std::move(request), ++m_sequence);
    return {};
}

double RequestQueue::backlogWith(const QueuedRequest& request) const
{
    const auto own = m_workspaces.find(request.workspace);
    return (own == m_workspaces.end() ? 0 : own->second.cost) + request.cost;
}

std::size_t RequestQueue::activeWorkspaces(const WorkspaceId& id) const
{
    const auto waiting = std::count_if(m_workspaces.begin(), m_workspaces.end(),
        [&](const auto& entry) { return entry.first == id || !entry.second.waiting.empty(); });
    return static_cast<std::size_t>(waiting) + !m_workspaces.count(id);
}

bool RequestQueue::mayDisplace(const QueuedRequest& request, const WorkspaceId& other) const
{
    // A workspace within its share of the allowed wait never needs to displace another one's requests, as those count
    // only up to its own backlog. One beyond its share must not displace requests of a workspace that holds less.
    return other == request.workspace || m_workspaces.at(other).cost >= backlogWith(request);
}

bool RequestQueue::displaceForTarget(TimePoint now, const QueuedRequest& request)
{
    const auto due = dueOf(request);
    const auto allowed = allowedWait(now, request);
    // First check whether enough can be displaced, so that nothing is displaced in vain.
    double freeable = 0;
    for (const auto& [id, workspace] : m_workspaces) {
        if (!mayDisplace(request, id))
            continue;
        for (const auto& order : workspace.displaceable) {
            if (order.importance >= request.importance)
                break;
            if (id != request.workspace || order.due <= due)
                freeable += m_requests.at(workspace.waiting.at(order)).request.cost;
        }
    }
    const auto ahead = costAhead(request.workspace, due, request.cost);
    if (waitFor(std::max(0.0, ahead - freeable), now) > allowed)
        return false;
    while (waitFor(costAhead(request.workspace, due, request.cost), now) > allowed) {
        const auto victim = displaceable(request);
        if (!victim)
            return false;
        displace(now, *victim);
    }
    return true;
}

std::optional<RequestId> RequestQueue::displaceable(const QueuedRequest& request) const
{
    const Workspace* best = nullptr;
    for (const auto& [id, workspace] : m_workspaces) {
        if (workspace.displaceable.empty() || !mayDisplace(request, id))
            continue;
        const auto& order = *workspace.displaceable.begin();
        if (order.importance < request.importance && (!best || DisplacedBefore()(order, *best->displaceable.begin())))
            best = &workspace;
    }
    if (!best)
        return std::nullopt;
    return best->waiting.at(*best->displaceable.begin());
}

bool RequestQueue::makeRoom(TimePoint now, const QueuedRequest& request)
{
    // A workspace that holds more than its share of a full queue gives way to one that holds less.
    const auto largest = std::max_element(m_workspaces.begin(), m_workspaces.end(),
        [](const auto& a, const auto& b) { return a.second.waiting.size() < b.second.waiting.size(); });
    const auto share = m_options.maximumLength / activeWorkspaces(request.workspace);
    if (largest->first != request.workspace && largest->second.waiting.size() > share
        && largest->second.waiting.size() > length(request.workspace) + 1) {
        const auto victim = largest->second.waiting.at(*largest->second.displaceable.begin());
        displace(now, victim);
        return true;
    }
    const auto victim = displaceable(request);
    if (victim)
        displace(now, *victim);
    return victim.has_value();
}

void RequestQueue::displace(TimePoint now, const RequestId& id)
{
    auto entry = erase(id);
    const auto wait = waitFor(costAhead(entry.request.workspace, entry.order.due, entry.request.cost), now);
    m_removed.push_back({ std::move(entry.request), { QueueRefusalReason::Displaced, retryAfter(wait) } });
}

void RequestQueue::insert(TimePoint now, QueuedRequest request, std::int64_t sequence)
{
    const auto id = request.id;
    Entry entry;
    entry.order = { dueOf(request), request.importance, sequence };
    entry.queued = now;
    entry.expires = request.deadline ? *request.deadline
                                     : request.arrived
            + Duration { static_cast<std::int64_t>(m_options.patience * static_cast<double>(request.target.count())) };
    auto& workspace = m_workspaces[request.workspace];
    workspace.waiting.emplace(entry.order, id);
    workspace.displaceable.insert(entry.order);
    workspace.cost += request.cost;
    m_expiries.emplace(entry.expires, id);
    ++m_countByImportance[request.importance];
    entry.request = std::move(request);
    m_requests.emplace(id, std::move(entry));
}

RequestQueue::Entry RequestQueue::erase(const RequestId& id)
{
    auto node = m_requests.extract(id);
    PERIDOT_ASSERT(!node.empty(), "only a waiting request is taken from the queue");
    auto& entry = node.mapped();
    auto& workspace = m_workspaces.at(entry.request.workspace);
    workspace.waiting.erase(entry.order);
    workspace.displaceable.erase(entry.order);
    workspace.cost = workspace.waiting.empty() ? 0 : workspace.cost - entry.request.cost;
    m_expiries.erase({ entry.expires, id });
    if (const auto count = m_countByImportance.find(entry.request.importance); !--count->second)
        m_countByImportance.erase(count);
    return std::move(entry);
}

void RequestQueue::startRound()
{
    ++m_round;
    // Departed workspaces are forgotten once they have paid for what they took.
    for (auto it = m_workspaces.begin(); it != m_workspaces.end();) {
        auto& workspace = it->second;
        workspace.credit = std::min(m_options.quantum, workspace.credit + m_options.quantum);
        workspace.round = m_round;
        const bool isDone = workspace.waiting.empty() && workspace.credit >= m_options.quantum;
        it = isDone ? m_workspaces.erase(it) : std::next(it);
    }
}

RequestQueue::Workspaces::iterator RequestQueue::select()
{
    while (!m_requests.empty()) {
        auto best = m_workspaces.end();
        for (auto it = m_workspaces.begin(); it != m_workspaces.end(); ++it) {
            auto& workspace = it->second;
            if (!workspace.round) {
                workspace.round = m_round;
                workspace.credit = m_options.quantum;
            }
            if (workspace.waiting.empty() || workspace.credit <= 0)
                continue;
            if (best == m_workspaces.end() || workspace.waiting.begin()->first < best->second.waiting.begin()->first)
                best = it;
        }
        if (best != m_workspaces.end())
            return best;
        startRound();
    }
    return m_workspaces.end();
}

const QueuedRequest* RequestQueue::front(TimePoint now)
{
    advanceRate(now);
    expire(now);
    const auto workspace = select();
    return workspace == m_workspaces.end() ? nullptr
                                           : &m_requests.at(workspace->second.waiting.begin()->second).request;
}

std::optional<QueuedRequest> RequestQueue::pop(TimePoint now)
{
    advanceRate(now);
    expire(now);
    const auto workspace = select();
    if (workspace == m_workspaces.end())
        return std::nullopt;
    const auto id = workspace->second.waiting.begin()->second;
    auto entry = erase(id);
    workspace->second.credit -= entry.request.cost;
    m_allCost += entry.request.cost;
    if (entry.queued < now)
        m_busyCost += entry.request.cost;
    return std::move(entry.request);
}

void RequestQueue::putBack(TimePoint now, QueuedRequest request)
{
    PERIDOT_ASSERT(!m_requests.count(request.id), "request ids in the queue are unique");
    advanceRate(now);
    m_allCost = std::max(0.0, m_allCost - request.cost);
    m_busyCost = std::max(0.0, m_busyCost - request.cost);
    if (const auto it = m_workspaces.find(request.workspace); it != m_workspaces.end())
        it->second.credit = std::min(m_options.quantum, it->second.credit + request.cost);
    insert(now, std::move(request), --m_putBackSequence);
}

void RequestQueue::expire(TimePoint now)
{
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        const auto id = m_expiries.begin()->second;
        auto entry = erase(id);
        const auto wait = waitFor(costAhead(entry.request.workspace, entry.order.due, entry.request.cost), now);
        m_removed.push_back({ std::move(entry.request), { QueueRefusalReason::Expired, retryAfter(wait) } });
    }
}

std::vector<RemovedRequest> RequestQueue::removed(TimePoint now)
{
    advanceRate(now);
    expire(now);
    return std::exchange(m_removed, {});
}

std::optional<TimePoint> RequestQueue::nextExpiry() const
{
    return m_expiries.empty() ? std::nullopt : std::optional(m_expiries.begin()->first);
}

bool RequestQueue::cancel(TimePoint now, const RequestId& id)
{
    advanceRate(now);
    if (!m_requests.count(id))
        return false;
    erase(id);
    return true;
}

std::size_t RequestQueue::length(const WorkspaceId& id) const
{
    const auto it = m_workspaces.find(id);
    return it == m_workspaces.end() ? 0 : it->second.waiting.size();
}

double RequestQueue::costAhead(const WorkspaceId& id, TimePoint due, double cost) const
{
    double own = 0;
    if (const auto it = m_workspaces.find(id); it != m_workspaces.end()) {
        for (const auto& [order, request] : it->second.waiting) {
            if (order.due > due)
                break;
            own += m_requests.at(request).request.cost;
        }
    }
    // While this workspace spends `own + cost`, each other one may spend as much.
    double others = 0;
    for (const auto& [other, workspace] : m_workspaces) {
        if (other != id)
            others += std::min(workspace.cost, own + cost);
    }
    return own + others;
}

Duration RequestQueue::waitFor(double costAhead, TimePoint now) const
{
    const auto rate = drainRate(now);
    if (costAhead <= 0 || !rate)
        return Duration { 0 };
    const auto seconds = std::min(costAhead / std::max(*rate, 1e-9), 3600.0);
    return fromSeconds(seconds);
}

Duration RequestQueue::expectedWait(TimePoint now, const WorkspaceId& workspace, TimePoint due, double cost) const
{
    return waitFor(costAhead(workspace, due, cost), now);
}

void RequestQueue::advanceRate(TimePoint now)
{
    const auto elapsed = toSeconds(now - m_rateUpdated);
    if (elapsed <= 0)
        return;
    const auto window = toSeconds(m_options.rateWindow);
    const auto fade = std::exp(-elapsed / window);
    m_busySeconds *= fade;
    m_busyCost *= fade;
    m_allCost *= fade;
    if (!m_requests.empty())
        m_busySeconds += window * (1 - fade);
    m_rateUpdated = now;
}

std::optional<double> RequestQueue::drainRate(TimePoint now) const
{
    const auto window = toSeconds(m_options.rateWindow);
    const auto fade = std::exp(-std::max(0.0, toSeconds(now - m_rateUpdated)) / window);
    const auto busySeconds = m_busySeconds * fade + (m_requests.empty() ? 0 : window * (1 - fade));
    if (busySeconds < shortestBusySeconds)
        return std::nullopt;
    return std::max(m_busyCost * fade / busySeconds, m_allCost * fade / window);
}

}
