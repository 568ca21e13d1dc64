#include "steering/ServicePool.h"

#include "base/Assert.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace peridot {

namespace {

    constexpr double otherInstancesLoadSmoothing = 0.4;
    constexpr double meanOtherInstancesLoadSmoothing = 0.02;
    // A load report is outdated after the duration of a warm request, which is 50 to 500 ms in the users' deployments.
    constexpr Duration otherInstancesLoadHalfLife = std::chrono::milliseconds { 200 };
    constexpr double slownessSmoothing = 0.25;
    constexpr double maximumSlowness = 20;
    constexpr double failureShareSmoothing = 0.15;
    constexpr double failureShareToEject = 0.35;
    constexpr unsigned consecutiveFailuresToEject = 3;
    constexpr Duration failureTimeCost = std::chrono::milliseconds { 400 }; // Time lost by a failed attempt.
    // Offered load per slot that a region keeps before it sends requests to others.
    constexpr double localUseBeforeSpill = 0.65;
    constexpr Duration shiftWindow = std::chrono::seconds { 2 };
    constexpr double usedPartOfShiftShare = 0.8; // Less than 1, because random variation adds to the planned shift.
    constexpr double remoteUseLimit = 0.8; // Offered load per slot up to which other regions receive spilled requests.
    // Change in each step of the spilled shares: the factor decreases while only the own region is short of slots, and
    // increases otherwise.
    constexpr double localUseFactorDecrease = 0.015;
    constexpr double localUseFactorIncrease = 0.005;
    constexpr double minimumLocalUseFactor = 0.4;
    constexpr double keepsLargeStep = 0.025; // Per step of the spilled shares.
    // Slots count as short for this long after tick() found them short.
    constexpr Duration slotShortageHoldTime = std::chrono::milliseconds { 500 };
    // Requests per slot of the region. With fewer, cold work delays no other request.
    constexpr double slotShortageMinimumOccupancy = 0.7;
    constexpr double warmShareSmoothing = 0.02;
    // A request that finds its object warm with a lower probability counts as cold.
    constexpr double minimumWarmProbability = 0.5;
    constexpr std::size_t maximumCachedOrders = 20'000;
    constexpr std::size_t maximumWarmObjectsPerServer = 256;
    constexpr std::size_t rankedServersPerRemoteRegion = 3; // Servers of each other region in an object's order.
    // Servers of the own region in an object's order. If none has a free slot, choose() considers all servers.
    constexpr std::size_t rankedLocalServers = 6;
    // A request in flight for more than this many times its expected latency makes its server count as slow before the
    // response arrives.
    constexpr double overdueLatencyRatio = 2.5;
    constexpr double meanWorkSmoothing = 0.02;
    constexpr Duration minimumExpectedLatency = std::chrono::milliseconds { 20 };
    // After its last such response, a leaving server is named to the other instances for this long.
    constexpr Duration leavingNoticeTime = std::chrono::seconds { 30 };
    // A server that said that it leaves ends long before.
    constexpr Duration closureMemory = std::chrono::hours { 1 };
    // Until the next look at a server whose first request after a pause has had no response yet.
    constexpr Duration reopeningWait = std::chrono::milliseconds { 50 };

    double uniform(std::uint64_t hash) noexcept { return (static_cast<double>(hash >> 11) + 0.5) * 0x1.0p-53; }

    std::uint64_t hashOf(std::uint64_t object, const std::string& name) noexcept
    {
        return XXH3_64bits_withSeed(name.data(), name.size(), object);
    }

}

bool PoolQuery::allows(const RegionId& region) const
{
    return std::all_of(homeRegions.begin(), homeRegions.end(), [&](const std::vector<RegionId>* homes) {
        return !homes || homes->empty() || std::find(homes->begin(), homes->end(), region) != homes->end();
    });
}

bool PoolQuery::allowsAnyRegion() const
{
    const auto isBound = [](const std::vector<RegionId>* homes) { return homes && !homes->empty(); };
    const auto bound = std::find_if(homeRegions.begin(), homeRegions.end(), isBound);
    return bound == homeRegions.end()
        || std::any_of((*bound)->begin(), (*bound)->end(), [this](const RegionId& region) { return allows(region); });
}

ServicePool::ServicePool(RegionId ownRegion, ServicePoolOptions options, std::uint64_t seed)
    : m_region(std::move(ownRegion))
    , m_options(options)
    , m_random(seed)
{
}

void ServicePool::setServers(const std::vector<ListedServer>& listed, TimePoint now)
{
    std::set<BackendServerId> present;
    bool hasChanged = false;
    for (const auto& info : listed) {
        present.insert(info.id);
        auto& server = m_servers[info.id];
        if (!server) {
            server = std::make_unique<Server>(info, now);
            restore(*server);
            hasChanged = true;
        } else if (server->info.incarnation != info.incarnation || server->info.address != info.address) {
            // The restarted server has no warm objects and no history. Requests in flight went to the earlier process;
            // finished() is still called for each of them.
            Server restarted(info, now);
            restarted.inFlight = server->inFlight;
            restarted.startTimes = std::move(server->startTimes);
            remember(*server, now);
            restore(restarted);
            *server = std::move(restarted);
            hasChanged = true;
        }
        hasChanged = hasChanged || server->info.slots != info.slots || server->info.isLeaving != info.isLeaving
            || !server->isListed;
        server->info = info;
        server->isListed = true;
    }
    for (auto it = m_servers.begin(); it != m_servers.end();) {
        if (present.contains(it->first)) {
            ++it;
            continue;
        }
        hasChanged = hasChanged || it->second->isListed;
        it->second->isListed = false;
        if (it->second->inFlight > 0) {
            ++it;
            continue;
        }
        remember(*it->second, now);
        it = m_servers.erase(it);
    }
    if (hasChanged)
        m_orders.clear();
}

void ServicePool::setEvacuated(const std::set<FailureDomainId>& domains)
{
    if (m_evacuated == domains)
        return;
    m_evacuated = domains;
    m_orders.clear();
}

bool ServicePool::isUsable(const Server& server) const
{
    return server.isListed && !server.info.isLeaving && !server.closure.isLeaving && !server.isAddressTaken
        && !m_evacuated.contains(server.info.failureDomain);
}

bool ServicePool::mayServe(const Server& server, const PoolQuery& query) const
{
    return query.allows(server.info.region)
        && std::find(query.excluded.begin(), query.excluded.end(), server.info.id) == query.excluded.end();
}

double ServicePool::estimatedOtherInstancesLoad(const Server& server, TimePoint now) const
{
    const auto mean = m_meanOtherInstancesLoad * server.info.slots;
    if (server.otherInstancesLoadTime == TimePoint {})
        return mean;
    const auto age = toSeconds(now - server.otherInstancesLoadTime) / toSeconds(otherInstancesLoadHalfLife);
    return mean + (server.otherInstancesLoad - mean) * std::exp2(-age);
}

double ServicePool::occupancy(const Server& server, TimePoint now) const
{
    return static_cast<double>(server.inFlight) + estimatedOtherInstancesLoad(server, now);
}

double ServicePool::slowness(const Server& server, Duration expected, TimePoint now) const
{
    if (server.startTimes.empty())
        return server.slowness;
    const auto oldest = toSeconds(now - *server.startTimes.begin())
        / toSeconds(std::max(expected + roundTrip(server.info.region), minimumExpectedLatency));
    return oldest > overdueLatencyRatio ? std::max(server.slowness, std::min(oldest, maximumSlowness))
                                        : server.slowness;
}

void ServicePool::setRateDivision(std::shared_ptr<const RateDivision> division)
{
    m_division = std::move(division);
    ++m_divisionVersion;
}

void ServicePool::setColdRate(double perSecond, double maximumSenders)
{
    m_coldRatePerSecond = perSecond;
    m_maximumColdSenders = maximumSenders;
}

SendTokens& ServicePool::tokensOf(
    RatePart& part, const ListedServer& info, double rate, double maximumSenders, std::size_t turn, TimePoint now) const
{
    if (part.divisionVersion != m_divisionVersion || part.rate != rate || part.turn != turn) {
        part.tokens.setRate(m_division->part(info.id, info.region, rate, maximumSenders, turn), now);
        part.divisionVersion = m_divisionVersion;
        part.rate = rate;
        part.turn = turn;
    }
    return part.tokens;
}

bool ServicePool::hasColdToken(Server& server, TimePoint now) const
{
    auto& tokens = tokensOf(server.coldPart, server.info, m_coldRatePerSecond, m_maximumColdSenders, 0, now);
    return tokens.wait(0, now) == Duration { 0 };
}

/** Orders the servers by weighted rendezvous hashing, so that all instances get the same order without messages. The
 *  own region's servers come first. */
const ServicePool::Order& ServicePool::orderFor(std::uint64_t object)
{
    if (const auto it = m_orders.find(object); it != m_orders.end())
        return it->second;
    if (m_orders.size() >= maximumCachedOrders)
        m_orders.clear();
    std::map<RegionId, std::vector<std::pair<double, Server*>>> byRegion;
    for (const auto& [id, server] : m_servers) {
        if (isUsable(*server))
            byRegion[server->info.region].emplace_back(
                -static_cast<double>(server->info.slots) / std::log(uniform(hashOf(object, id.value()))), server.get());
    }
    Order order;
    const auto append = [&](std::vector<std::pair<double, Server*>>& scored, std::size_t count) {
        count = std::min(count, scored.size());
        std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(count), scored.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
        for (std::size_t i = 0; i < count; ++i)
            order.push_back(scored[i].second);
    };
    if (auto own = byRegion.find(m_region); own != byRegion.end()) {
        append(own->second, rankedLocalServers);
        byRegion.erase(own);
    }
    for (auto& [region, scored] : byRegion)
        append(scored, rankedServersPerRemoteRegion);
    return m_orders.emplace(object, std::move(order)).first->second;
}

RegionId ServicePool::selectRegion(const PoolQuery& query)
{
    // Each region uses its own hash or random number, so that a change of one share moves few objects between the other
    // regions.
    const auto all = spillShare();
    const auto scale = all > 0 ? spillShareFor(query, all) / all : 0;
    double left = 1;
    for (const auto& [region, spilled] : m_spillShares) {
        const auto share = spilled * scale;
        if (share <= 0)
            continue;
        const auto draw = query.object ? uniform(hashOf(*query.object, region.value()))
                                       : std::uniform_real_distribution<double>()(m_random);
        if (draw * left < share)
            return region;
        left -= share;
    }
    return m_region;
}

double ServicePool::spillShareFor(const PoolQuery& query, double share) const
{
    const auto large = m_offeredLoad.largeShare;
    if (large <= 0 || large >= 1)
        return share;
    const auto ordered
        = query.hasLargeResponse ? std::max(0.0, share - (1 - large)) / large : std::min(1.0, share / (1 - large));
    return share + m_keepsLarge * (ordered - share);
}

WarmReason ServicePool::warmReason(
    const Server& server, std::size_t orderIndex, bool isUnranked, std::uint64_t object, TimePoint now) const
{
    if (orderIndex == 0 && !isUnranked)
        return WarmReason::FirstChoice;
    const auto it = server.warmObjects.find(object);
    const auto age = it == server.warmObjects.end() ? Duration::max() : now - it->second;
    if (age < m_options.recentSendAge)
        return WarmReason::Recent;
    if (orderIndex < m_options.warmOrderLength && !isUnranked)
        return WarmReason::SecondChoice;
    return age < m_options.earlierSendAge ? WarmReason::Earlier : WarmReason::None;
}

void ServicePool::observeWarm(WarmReason reason, bool wasWarm) noexcept
{
    auto& share = m_warmShares[static_cast<std::size_t>(reason)];
    share += warmShareSmoothing * ((wasWarm ? 1 : 0) - share);
}

ServicePool::NextSend ServicePool::nextSend(Server& server, TimePoint now) const
{
    if (!isUsable(server))
        return { ServerBound::Unusable, std::nullopt };
    const auto& closure = server.closure;
    if (closure.pausedUntil > now)
        return { ServerBound::Paused, closure.pausedUntil - now };
    // All that has waited for the end of a pause would come at once.
    if (closure.isReopening && server.startTimes.lower_bound(closure.pausedUntil) != server.startTimes.end())
        return { ServerBound::Paused, reopeningWait };
    if (server.ejectedUntil > now)
        return { ServerBound::Ejected, std::nullopt };
    if (server.info.coldUntil > now && !hasColdToken(server, now))
        return { ServerBound::Cold, std::nullopt };
    const auto wait = limitWait(server, now);
    return { wait == Duration { 0 } ? ServerBound::None : ServerBound::Limited, wait };
}

void ServicePool::consider(Server& server, std::size_t orderIndex, bool isUnranked, bool mayAwaitPause,
    const PoolQuery& query, TimePoint now, PoolChoice& best)
{
    if (!mayServe(server, query))
        return;
    const auto [bound, untilAllowed] = nextSend(server, now);
    if (!untilAllowed || (bound == ServerBound::Paused && !mayAwaitPause))
        return;
    const bool isCold = server.info.coldUntil > now;
    const auto slots = static_cast<double>(server.info.slots);
    const auto taken = occupancy(server, now);
    const auto ahead = taken + server.claims;
    double warmProbability = 1;
    auto reason = WarmReason::None;
    if (query.object) {
        reason = warmReason(server, orderIndex, isUnranked, *query.object, now);
        warmProbability = m_warmShares[static_cast<std::size_t>(reason)];
        if (isCold)
            warmProbability = 0;
        // While slots are short, a cold request would take the slot time of two or three warm ones.
        if (now < m_shortOfSlotsUntil && warmProbability < minimumWarmProbability && reason != WarmReason::FirstChoice
            && !isCold)
            return;
    }
    const auto work = toSeconds(query.coldWork) * (1 - warmProbability) + toSeconds(query.warmWork) * warmProbability;
    const auto pace = slowness(server, query.coldWork, now);
    const auto limit = slots + m_options.waitingLimitPerServer;
    const auto slotWait = std::max(0.0, ahead + 1 - limit) / slots * toSeconds(query.warmWork) * pace;
    const auto wait = std::max(slotWait, toSeconds(*untilAllowed));
    // Cold work takes slot time from other requests. This costs more the fuller the server is.
    const auto waste
        = (1 - warmProbability) * toSeconds(query.coldWork - query.warmWork) * std::min(1.0, taken / slots);
    const auto total = wait + work * pace + waste + toSeconds(roundTrip(server.info.region))
        + server.failureShare * toSeconds(failureTimeCost);
    const bool hasFreeSlot = taken + 1 <= limit + 1e-9 && server.claims == 0 && *untilAllowed <= Duration { 0 };
    // Of servers with equal cost, the emptier one is preferred.
    const auto score = total + 0.02 * taken / slots;
    const auto bestScore = best.server ? toSeconds(best.expected) : std::numeric_limits<double>::infinity();
    if (score >= bestScore)
        return;
    best.server = &server.info;
    best.hasFreeSlot = hasFreeSlot;
    best.warmReason = reason;
    best.isWarm = !query.object || reason == WarmReason::FirstChoice || warmProbability >= minimumWarmProbability;
    best.isSpill = !isLocal(server);
    best.expected = fromSeconds(score);
    best.occupancy = taken / slots;
    best.orderIndex = orderIndex;
    best.pausedFor = bound == ServerBound::Paused ? *untilAllowed : Duration { 0 };
}

PoolChoice ServicePool::choose(const PoolQuery& query, TimePoint now)
{
    PoolChoice best;
    const auto wanted = selectRegion(query);
    bool mayAwaitPause = false;
    const auto visit = [&](const auto& isVisited) {
        if (query.object) {
            std::size_t orderIndex = 0;
            RegionId region;
            for (auto* server : orderFor(*query.object)) {
                orderIndex = server->info.region == region ? orderIndex + 1 : 0;
                region = server->info.region;
                if (isVisited(region))
                    consider(*server, orderIndex, false, mayAwaitPause, query, now, best);
            }
        }
        if (best.server && best.hasFreeSlot)
            return;
        for (const auto& [id, server] : m_servers) {
            if (isVisited(server->info.region))
                consider(*server, rankedLocalServers, query.object.has_value(), mayAwaitPause, query, now, best);
        }
    };
    visit([&](const RegionId& region) { return region == wanted; });
    // If the selected region has no server that may run the request, the own region is tried, then all regions.
    if (!best.server)
        visit([&](const RegionId& region) { return region == m_region; });
    const auto isAny = [](const RegionId&) { return true; };
    if (!best.server)
        visit(isAny);
    mayAwaitPause = true;
    if (!best.server)
        visit(isAny);
    return best;
}

void ServicePool::claim(const BackendServerId& id)
{
    if (const auto it = m_servers.find(id); it != m_servers.end())
        ++it->second->claims;
}

void ServicePool::clearClaims()
{
    for (const auto& [id, server] : m_servers)
        server->claims = 0;
}

void ServicePool::started(const BackendServerId& id, std::optional<std::uint64_t> object, TimePoint now)
{
    const auto it = m_servers.find(id);
    PERIDOT_ASSERT(it != m_servers.end(), "requests are sent to servers of the pool only");
    auto& server = *it->second;
    m_hasSentRequest = true;
    ++server.inFlight;
    server.startTimes.insert(now);
    if (server.info.coldUntil > now)
        server.coldPart.tokens.take();
    if (server.limit.isSet())
        server.limitPart.tokens.take();
    if (!object)
        return;
    if (server.warmObjects.size() >= maximumWarmObjectsPerServer)
        std::erase_if(
            server.warmObjects, [&](const auto& it) { return now - it.second > m_options.earlierSendAge / 2; });
    if (server.warmObjects.size() < maximumWarmObjectsPerServer)
        server.warmObjects[*object] = now;
}

void ServicePool::finished(const BackendServerId& id, DispatchResult result, Duration latency, Duration expected,
    const std::optional<ServerLoad>& load, TimePoint now)
{
    const auto it = m_servers.find(id);
    PERIDOT_ASSERT(it != m_servers.end() && it->second->inFlight > 0, "each finished request was started");
    auto& server = *it->second;
    // A load report includes the request whose response carries it.
    const auto own = static_cast<double>(server.inFlight--);
    if (const auto start = server.startTimes.lower_bound(now - latency); start != server.startTimes.end())
        server.startTimes.erase(start);
    else if (!server.startTimes.empty())
        server.startTimes.erase(server.startTimes.begin());
    if (!server.isListed) {
        if (server.inFlight == 0) {
            remember(server, now);
            m_servers.erase(it);
            m_orders.clear();
        }
        return;
    }
    if (load) {
        const auto all = static_cast<double>(load->running + load->waiting);
        const auto otherInstancesLoad = std::max(0.0, all - own);
        server.otherInstancesLoad = estimatedOtherInstancesLoad(server, now) * (1 - otherInstancesLoadSmoothing)
            + otherInstancesLoad * otherInstancesLoadSmoothing;
        server.otherInstancesLoadTime = now;
        m_meanOtherInstancesLoad += meanOtherInstancesLoadSmoothing
            * (otherInstancesLoad / std::max(1U, server.info.slots) - m_meanOtherInstancesLoad);
    }
    const bool wasServed = result == DispatchResult::Succeeded || result == DispatchResult::ServerError;
    if (wasServed && now - latency >= server.closure.pausedUntil)
        server.closure.isReopening = false;
    switch (result) {
    case DispatchResult::Succeeded: {
        const auto work = std::max(0.0, toSeconds(latency - roundTrip(server.info.region)));
        m_meanWorkSeconds
            = m_meanWorkSeconds > 0 ? m_meanWorkSeconds + meanWorkSmoothing * (work - m_meanWorkSeconds) : work;
        const auto reference = toSeconds(std::max(expected + roundTrip(server.info.region), minimumExpectedLatency));
        const auto ratio = std::clamp(toSeconds(latency) / reference, 0.2, maximumSlowness);
        // A single slow response may be due to a cold object. Two in a row indicate a slow server.
        server.slowness += slownessSmoothing * (std::min(ratio, server.lastLatencyRatio) - server.slowness);
        server.lastLatencyRatio = ratio;
        server.slowness = std::max(server.slowness, 1.0);
        server.consecutiveFailures = 0;
        server.failureShare -= failureShareSmoothing * server.failureShare;
        server.ejectionTime = Duration { 0 };
        break;
    }
    case DispatchResult::Shed:
        // The server counts as full for a moment, because other servers are preferable whether or not
        // the rejection was justified.
        server.otherInstancesLoad = std::max(server.otherInstancesLoad, static_cast<double>(server.info.slots));
        server.otherInstancesLoadTime = now;
        [[fallthrough]];
    case DispatchResult::ServerError:
        server.failureShare += failureShareSmoothing * (1 - server.failureShare);
        if (server.failureShare > failureShareToEject)
            eject(server, now);
        break;
    case DispatchResult::NotSent:
    case DispatchResult::Broken:
        server.failureShare += failureShareSmoothing * (1 - server.failureShare);
        ++server.consecutiveFailures;
        if (server.consecutiveFailures >= consecutiveFailuresToEject || result == DispatchResult::NotSent
            || server.failureShare > failureShareToEject)
            eject(server, now);
        break;
    case DispatchResult::WrongServer:
        server.isAddressTaken = true;
        m_orders.clear();
        break;
    case DispatchResult::Cancelled:
    case DispatchResult::Withdrawn:
        break;
    }
}

void ServicePool::forgetFailures()
{
    for (const auto& [id, server] : m_servers) {
        server->failureShare = 0;
        server->consecutiveFailures = 0;
        server->ejectedUntil = {};
        server->ejectionTime = {};
    }
}

void ServicePool::addUsableServers(std::vector<const ListedServer*>& servers) const
{
    for (const auto& [id, server] : m_servers) {
        if (isUsable(*server))
            servers.push_back(&server->info);
    }
}

StatementChange ServicePool::stated(
    const BackendServerId& id, const ServerStatement& statement, TimePoint sent, TimePoint now)
{
    StatementChange change;
    const auto it = m_servers.find(id);
    // Requests that were sent to an earlier start of the server say nothing about this one.
    if (it == m_servers.end() || sent < it->second->knownSince)
        return change;
    auto& server = *it->second;
    auto& closure = server.closure;
    if (statement.requestLimit)
        change.limit = server.limit.state(*statement.requestLimit, sent, now);
    if (statement.isLeaving) {
        change.leaving = !std::exchange(closure.isLeaving, true);
        closure.isToBeTold = true;
        closure.statedAt = now;
    }
    if (statement.pause && now + *statement.pause > closure.pausedUntil) {
        change.pause = true;
        closure.pausedUntil = now + *statement.pause;
        closure.isReopening = true;
        closure.statedAt = now;
        server.isPaused = true;
    }
    change.unreadable = statement.isUnreadable && !std::exchange(server.hasStatedUnreadable, true);
    if (change.leaving)
        m_orders.clear();
    return change;
}

StatementChange ServicePool::learn(const ServerNotice& notice, TimePoint now)
{
    StatementChange change;
    const auto it = m_servers.find(notice.server);
    if (it == m_servers.end()) {
        if (notice.isLeaving)
            m_closures.insert_or_assign(notice.server, Closure { notice.incarnation, true, false, now });
        return change;
    }
    auto& server = *it->second;
    if (server.info.incarnation != notice.incarnation)
        return change;
    change.limit = server.limit.learn(notice, now);
    change.leaving = notice.isLeaving && !std::exchange(server.closure.isLeaving, true);
    if (change.leaving) {
        server.closure.statedAt = now - notice.age;
        m_orders.clear();
    }
    return change;
}

std::vector<ServerNotice> ServicePool::notices(TimePoint now) const
{
    std::vector<ServerNotice> notices;
    for (const auto& [id, server] : m_servers) {
        const auto& closure = server->closure;
        const bool tellsLeaving = closure.isToBeTold && now - closure.statedAt < leavingNoticeTime;
        const bool tellsLimit = server->isListed && server->limit.isToBeTold(now);
        if (tellsLeaving || tellsLimit) {
            notices.push_back({ id, server->info.incarnation, server->limit.perSecond(), closure.isLeaving,
                tellsLimit ? server->limit.age(now) : now - closure.statedAt });
        }
    }
    return notices;
}

void ServicePool::remember(const Server& server, TimePoint now)
{
    std::erase_if(m_closures, [now](const auto& it) { return now - it.second.statedAt > closureMemory; });
    if (!server.closure.isLeaving && server.closure.pausedUntil <= now)
        return;
    auto closure = server.closure;
    closure.incarnation = server.info.incarnation;
    m_closures.insert_or_assign(server.info.id, closure);
}

void ServicePool::restore(Server& server)
{
    if (const auto it = m_closures.find(server.info.id);
        it != m_closures.end() && it->second.incarnation == server.info.incarnation)
        server.closure = it->second;
}

std::optional<Duration> ServicePool::limitWait(Server& server, TimePoint now) const
{
    if (!server.limit.isSet())
        return Duration { 0 };
    // Each instance with a part of the limit may have one request ready in addition to the rate. Half of the room is
    // left for instances that differ about who lives.
    const auto rate = server.limit.rate();
    const auto room = (m_limitBound.overage - 1) * rate * toSeconds(m_limitBound.window) + m_limitBound.slack;
    return tokensOf(server.limitPart, server.info, rate, room / 2, server.limit.turn(now), now)
        .wait(server.claims, now);
}

double ServicePool::usedSlots(const Server& server) const noexcept
{
    const auto slots = server.isPaused ? 0.0 : static_cast<double>(server.info.slots);
    return server.limit.isSet() && m_meanWorkSeconds > 0 ? std::min(slots, server.limit.perSecond() * m_meanWorkSeconds)
                                                         : slots;
}

void ServicePool::eject(Server& server, TimePoint now)
{
    std::size_t count = 0;
    std::size_t ejected = 0;
    for (const auto& [id, other] : m_servers) {
        if (other->info.region != server.info.region || !isUsable(*other))
            continue;
        ++count;
        ejected += other->ejectedUntil > now ? 1 : 0;
    }
    // A fault that affects many servers at once, such as a network failure, must not eject the whole region.
    if (static_cast<double>(ejected + 1) > m_options.maximumEjectedShare * static_cast<double>(count))
        return;
    server.ejectionTime
        = std::clamp(server.ejectionTime * 2, m_options.initialEjectionTime, m_options.maximumEjectionTime);
    server.ejectedUntil = now + server.ejectionTime;
}

void ServicePool::connected(const BackendServerId& id, Duration roundTrip)
{
    const auto it = m_servers.find(id);
    if (it == m_servers.end())
        return;
    auto [entry, isNew] = m_roundTrips.try_emplace(it->second->info.region, roundTrip);
    // The minimum is kept. It may rise by 2% per connection, so that a longer network path is taken into account.
    if (!isNew)
        entry->second = std::min(roundTrip, entry->second + entry->second / 50);
}

Duration ServicePool::roundTrip(const RegionId& region) const
{
    if (region == m_region)
        return Duration { 0 };
    const auto it = m_roundTrips.find(region);
    return it == m_roundTrips.end() ? m_options.initialRegionRoundTrip : it->second;
}

double ServicePool::localOccupancy(TimePoint now) const
{
    double taken = 0;
    for (const auto& [id, server] : m_servers) {
        if (isLocal(*server) && isUsable(*server) && server->ejectedUntil <= now)
            taken += occupancy(*server, now) + server->claims;
    }
    const auto slots = localSlots();
    return slots <= 0 ? 1 : taken / slots;
}

StatedServers ServicePool::statedServers() const noexcept
{
    StatedServers counts;
    for (const auto& [id, server] : m_servers) {
        counts.limited += server->isListed && server->limit.isSet() ? 1 : 0;
        counts.leaving += server->isListed && server->closure.isLeaving ? 1 : 0;
        counts.paused += server->isListed && server->isPaused ? 1 : 0;
    }
    return counts;
}

double ServicePool::localSlots() const noexcept
{
    double slots = 0;
    for (const auto& [id, server] : m_servers)
        slots += isLocal(*server) && isUsable(*server) ? usedSlots(*server) : 0;
    return slots;
}

double ServicePool::slots() const noexcept
{
    double slots = 0;
    for (const auto& [id, server] : m_servers)
        slots += isUsable(*server) ? usedSlots(*server) : 0;
    return slots;
}

double ServicePool::spillShare() const noexcept
{
    double sum = 0;
    for (const auto& [region, share] : m_spillShares)
        sum += share;
    return sum;
}

/** Requests that home regions bind to a region take its slots first. Of the other requests, each region keeps the load
 *  at which its slots are as full as those of all regions together, and at least the load `localUseBeforeSpill` per
 * slot. The excess is divided among the other regions in proportion to their free capacity. */
std::map<RegionId, double> ServicePool::spillTargets() const
{
    std::map<RegionId, double> slots;
    double allSlots = 0;
    for (const auto& [id, server] : m_servers) {
        if (!isUsable(*server))
            continue;
        const auto used = usedSlots(*server);
        slots[server->info.region] += used;
        allSlots += used;
    }
    double allOffered = 0;
    for (const auto& [region, offered] : m_offeredLoad.byRegion)
        allOffered += offered;
    double freeShare = 1;
    for (const auto& [region, share] : m_offeredLoad.boundShares)
        freeShare -= share;
    const auto valueOf = [](const std::map<RegionId, double>& values, const RegionId& region) {
        const auto it = values.find(region);
        return it == values.end() ? 0.0 : it->second;
    };
    // Until the load is measured, all regions are assumed to have the same demand, which fills all slots.
    const bool isMeasured = valueOf(m_offeredLoad.byRegion, m_region) > 0;
    const auto assumed = allSlots / static_cast<double>(std::max<std::size_t>(slots.size(), 1));
    const auto freeDemandOf = [&](const RegionId& region) {
        return isMeasured ? std::max(freeShare, 0.0) * valueOf(m_offeredLoad.byRegion, region) : assumed;
    };
    const auto boundDemandOf = [&](const RegionId& region) {
        return isMeasured ? valueOf(m_offeredLoad.boundShares, region) * allOffered : 0.0;
    };
    const auto use = isMeasured ? std::max(localUseBeforeSpill, overallUse()) : 1.0;
    const auto kept = std::max(0.0, use * m_localUseFactor * slots[m_region] - boundDemandOf(m_region));
    const auto excess = std::max(0.0, freeDemandOf(m_region) - kept);
    std::map<RegionId, double> targets;
    double room = 0;
    for (const auto& [region, count] : slots) {
        if (region != m_region)
            room += targets[region]
                = std::max(0.0, std::max(use, remoteUseLimit) * count - boundDemandOf(region) - freeDemandOf(region));
    }
    for (auto& [region, share] : targets)
        share = room > 0 && excess > 0 ? std::min(excess, room) * share / room / freeDemandOf(m_region) : 0;
    return targets;
}

double ServicePool::overallUse() const
{
    double offered = 0;
    for (const auto& [region, amount] : m_offeredLoad.byRegion)
        offered += amount;
    const auto all = slots();
    return all <= 0 ? 1 : offered / all;
}

void ServicePool::tick(TimePoint now, bool hasUnservedRequests)
{
    for (const auto& [id, server] : m_servers)
        server->isPaused = server->closure.pausedUntil > now;
    // Requests may also wait for one popular server while other servers have free slots. That is no shortage.
    if (hasUnservedRequests && localOccupancy(now) >= slotShortageMinimumOccupancy)
        m_shortOfSlotsUntil = now + slotShortageHoldTime;
    if (now < m_nextSpillStep)
        return;
    m_nextSpillStep = now + m_options.spillInterval;
    if (m_offeredLoad.largeShare > 0)
        m_keepsLarge = std::min(1.0, m_keepsLarge + keepsLargeStep);
    if (localSlots() <= 0)
        return; // choose() uses the other regions. The shares are kept for when local servers are back.
    // Random variation, slow servers and cold objects take slot time that the offered load does not include. If all
    // regions are short of slots, spilling more requests would only move the shortage.
    const bool isOnlyLocallyShort = now < m_shortOfSlotsUntil && overallUse() < remoteUseLimit;
    const auto factor = m_localUseFactor + (isOnlyLocallyShort ? -localUseFactorDecrease : localUseFactorIncrease);
    m_localUseFactor = std::clamp(factor, minimumLocalUseFactor, 1.0);
    auto targets = spillTargets();
    if (!m_hasSentRequest) {
        m_spillShares = std::move(targets);
        return;
    }
    // The share of requests that change their region is bounded, so the sum of all changes is at most one step.
    for (const auto& [region, share] : m_spillShares)
        targets.try_emplace(region, 0);
    double distance = 0;
    for (const auto& [region, target] : targets)
        distance += std::abs(target - m_spillShares[region]);
    const auto step
        = m_maximumShiftShare * usedPartOfShiftShare * toSeconds(m_options.spillInterval) / toSeconds(shiftWindow);
    const auto part = distance > step ? step / distance : 1.0;
    for (const auto& [region, target] : targets)
        m_spillShares[region] += (target - m_spillShares[region]) * part;
}

const ListedServer* ServicePool::find(const BackendServerId& id) const
{
    const auto it = m_servers.find(id);
    return it == m_servers.end() ? nullptr : &it->second->info;
}

}
