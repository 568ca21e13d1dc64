#include "steering/ServicePool.h"

#include "base/Assert.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace peridot {

namespace {

    constexpr double foreignSmoothing = 0.4;
    constexpr double meanForeignSmoothing = 0.02;
    // A report says little after the time in which a warm request ends, 50 to 500 ms on the users' sites.
    constexpr Duration foreignHalfLife = std::chrono::milliseconds { 200 };
    constexpr double slownessSmoothing = 0.25;
    constexpr double largestSlowness = 20;
    constexpr double failureSmoothing = 0.15;
    constexpr double failureShareToEject = 0.35;
    constexpr unsigned failuresToEject = 3;
    constexpr Duration failureCost = std::chrono::milliseconds { 400 }; // Time lost by one failed try.
    constexpr double keptUse = 0.65; // Of the own region's slots, before work goes to others.
    constexpr Duration shiftWindow = std::chrono::seconds { 2 };
    constexpr double shiftUse = 0.8; // Part of the allowed shift, because chance adds to it.
    constexpr double filledUse = 0.8; // Up to which other regions are filled if the own one runs short.
    // Per step, while the own region runs short and while it does not.
    constexpr double keptFactorFall = 0.015;
    constexpr double keptFactorRise = 0.005;
    constexpr double lowestKeptFactor = 0.4;
    constexpr Duration shortTime = std::chrono::milliseconds { 500 }; // Slots count as short this long after a sign.
    constexpr double shortOccupancy = 0.7; // Of the region's slots; with fewer taken, cold work costs nobody a slot.
    constexpr double warmSmoothing = 0.02;
    constexpr double wastedBelow = 0.5; // Share of warm sends below which a send is taken as cold.
    constexpr std::size_t largestOrderCache = 20'000;
    constexpr std::size_t largestWarmMemory = 256; // Objects per server.
    constexpr std::size_t remoteChoices = 3; // Servers of each other region that are looked at for an object.
    constexpr std::size_t localChoices = 6; // Of the own region, before all of them are.
    // A request in flight for this many times its expected time makes its server count as slow before it answers.
    constexpr double overdueFactor = 2.5;
    constexpr Duration shortestExpectation = std::chrono::milliseconds { 20 };

    double uniform(std::uint64_t hash) noexcept { return (static_cast<double>(hash >> 11) + 0.5) * 0x1.0p-53; }

    std::uint64_t hashOf(std::uint64_t object, const std::string& name) noexcept
    {
        return XXH3_64bits_withSeed(name.data(), name.size(), object);
    }

}

bool PoolQuery::allows(const RegionId& region) const
{
    const auto isAmong = [&](const std::vector<RegionId>* homes) {
        return !homes || homes->empty() || std::find(homes->begin(), homes->end(), region) != homes->end();
    };
    return isAmong(homeRegions) && isAmong(workspaceHomeRegions);
}

ServicePool::ServicePool(RegionId ownRegion, ServicePoolOptions options, std::uint64_t seed)
    : m_region(std::move(ownRegion))
    , m_options(options)
    , m_seed(seed)
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
            hasChanged = true;
        } else if (server->info.incarnation != info.incarnation || server->info.address != info.address) {
            // A new start knows nothing of before. Requests in flight belong to the old one and end by themselves.
            Server restarted(info, now);
            restarted.inFlight = server->inFlight;
            restarted.startTimes = std::move(server->startTimes);
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
        it = it->second->inFlight == 0 ? m_servers.erase(it) : std::next(it);
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
    return server.isListed && !server.info.isLeaving && !server.isMisplaced
        && !m_evacuated.contains(server.info.failureDomain);
}

bool ServicePool::mayServe(const Server& server, const PoolQuery& query) const
{
    return query.allows(server.info.region)
        && std::find(query.excluded.begin(), query.excluded.end(), server.info.id) == query.excluded.end();
}

double ServicePool::foreignEstimate(const Server& server, TimePoint now) const
{
    const auto mean = m_meanForeign * server.info.slots;
    if (server.foreignTime == TimePoint {})
        return mean;
    const auto age = toSeconds(now - server.foreignTime) / toSeconds(foreignHalfLife);
    return mean + (server.foreign - mean) * std::exp2(-age);
}

double ServicePool::occupancy(const Server& server, TimePoint now) const
{
    return static_cast<double>(server.inFlight) + foreignEstimate(server, now);
}

double ServicePool::slowness(const Server& server, Duration expected, TimePoint now) const
{
    if (server.startTimes.empty())
        return server.slowness;
    const auto oldest = toSeconds(now - *server.startTimes.begin())
        / toSeconds(std::max(expected + roundTrip(server.info.region), shortestExpectation));
    return oldest > overdueFactor ? std::max(server.slowness, std::min(oldest, largestSlowness)) : server.slowness;
}

void ServicePool::setColdRate(double perSecond, double share)
{
    m_coldRate = perSecond;
    m_coldShare = share;
}

bool ServicePool::hasColdUnit(Server& server, TimePoint now) const
{
    if (uniform(hashOf(m_seed, server.info.id.value())) >= m_coldShare)
        return false;
    server.coldUnits = std::min(1.0, server.coldUnits + m_coldRate * toSeconds(now - server.coldUnitsTime));
    server.coldUnitsTime = now;
    return server.coldUnits >= 1;
}

/** Own region first; weighted rendezvous hashing, so that all instances agree without messages. */
const ServicePool::Order& ServicePool::orderFor(std::uint64_t object)
{
    if (const auto it = m_orders.find(object); it != m_orders.end())
        return it->second;
    if (m_orders.size() >= largestOrderCache)
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
        append(own->second, localChoices);
        byRegion.erase(own);
    }
    for (auto& [region, scored] : byRegion)
        append(scored, remoteChoices);
    return m_orders.emplace(object, std::move(order)).first->second;
}

RegionId ServicePool::regionFor(const PoolQuery& query)
{
    // Each region draws for itself, so that a change of one share moves few objects between the others.
    double left = 1;
    for (const auto& [region, share] : m_spillShares) {
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

WarmReason ServicePool::warmReason(
    const Server& server, std::size_t choice, bool isFallback, std::uint64_t object, TimePoint now) const
{
    if (choice == 0 && !isFallback)
        return WarmReason::FirstChoice;
    const auto it = server.warm.find(object);
    const auto age = it == server.warm.end() ? Duration::max() : now - it->second;
    if (age < m_options.warmTime)
        return WarmReason::Recent;
    if (choice < m_options.warmChoices && !isFallback)
        return WarmReason::SecondChoice;
    return age < m_options.warmMemory ? WarmReason::Earlier : WarmReason::None;
}

void ServicePool::observeWarm(WarmReason reason, bool wasWarm) noexcept
{
    auto& share = m_warmShares[static_cast<std::size_t>(reason)];
    share += warmSmoothing * ((wasWarm ? 1 : 0) - share);
}

void ServicePool::consider(
    Server& server, std::size_t choice, bool isFallback, const PoolQuery& query, TimePoint now, PoolChoice& best)
{
    if (!isUsable(server) || !mayServe(server, query) || server.ejectedUntil > now)
        return;
    const bool isCold = server.info.coldUntil > now;
    if (isCold && !hasColdUnit(server, now))
        return;
    const auto slots = static_cast<double>(server.info.slots);
    const auto taken = occupancy(server, now);
    const auto ahead = taken + server.claims;
    double warmProbability = 1;
    auto reason = WarmReason::None;
    if (query.object) {
        reason = warmReason(server, choice, isFallback, *query.object, now);
        warmProbability = m_warmShares[static_cast<std::size_t>(reason)];
        if (isCold)
            warmProbability = 0;
        // While slots are short, work without the object takes the room of two or three other requests.
        if (now < m_shortUntil && warmProbability < wastedBelow && reason != WarmReason::FirstChoice && !isCold)
            return;
    }
    const auto work = toSeconds(query.coldWork) * (1 - warmProbability) + toSeconds(query.warmWork) * warmProbability;
    const auto pace = slowness(server, query.coldWork, now);
    const auto limit = slots + m_options.waitingAtServer;
    const auto wait = std::max(0.0, ahead + 1 - limit) / slots * toSeconds(query.warmWork) * pace;
    // Work at a server without the object takes slots from others; it weighs more the fuller the region is.
    const auto waste
        = (1 - warmProbability) * toSeconds(query.coldWork - query.warmWork) * std::min(1.0, taken / slots);
    const auto total = wait + work * pace + waste + toSeconds(roundTrip(server.info.region))
        + server.failureShare * toSeconds(failureCost);
    const bool hasFreeSlot = taken + 1 <= limit + 1e-9 && server.claims == 0;
    // Between servers of equal cost, the emptier one.
    const auto score = total + 0.02 * taken / slots;
    const auto bestScore = best.server ? toSeconds(best.expected) : std::numeric_limits<double>::infinity();
    if (score >= bestScore)
        return;
    best.server = &server.info;
    best.hasFreeSlot = hasFreeSlot;
    best.warmReason = reason;
    best.isWarm = !query.object || reason == WarmReason::FirstChoice || warmProbability >= wastedBelow;
    best.isSpill = !isLocal(server);
    best.expected = fromSeconds(score);
    best.occupancy = taken / slots;
    best.rank = choice;
}

PoolChoice ServicePool::choose(const PoolQuery& query, TimePoint now)
{
    PoolChoice best;
    const auto wanted = regionFor(query);
    const auto visit = [&](const auto& isVisited) {
        if (query.object) {
            std::size_t choice = 0;
            RegionId region;
            for (auto* server : orderFor(*query.object)) {
                choice = server->info.region == region ? choice + 1 : 0;
                region = server->info.region;
                if (isVisited(region))
                    consider(*server, choice, false, query, now, best);
            }
        }
        if (best.server && best.hasFreeSlot)
            return;
        for (const auto& [id, server] : m_servers) {
            if (isVisited(server->info.region))
                consider(*server, localChoices, query.object.has_value(), query, now, best);
        }
    };
    visit([&](const RegionId& region) { return region == wanted; });
    // Without any server there, others serve: no server of the region, or homes elsewhere.
    if (!best.server)
        visit([&](const RegionId& region) { return region == m_region; });
    if (!best.server)
        visit([&](const RegionId&) { return true; });
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
    PERIDOT_ASSERT(it != m_servers.end(), "requests go to known servers");
    auto& server = *it->second;
    m_hasStarted = true;
    ++server.inFlight;
    server.startTimes.insert(now);
    if (server.info.coldUntil > now)
        server.coldUnits -= 1;
    if (!object)
        return;
    if (server.warm.size() >= largestWarmMemory)
        std::erase_if(server.warm, [&](const auto& it) { return now - it.second > m_options.warmMemory / 2; });
    if (server.warm.size() < largestWarmMemory)
        server.warm[*object] = now;
}

void ServicePool::finished(const BackendServerId& id, DispatchResult result, Duration latency, Duration expected,
    const std::optional<ServerLoad>& load, TimePoint now)
{
    const auto it = m_servers.find(id);
    PERIDOT_ASSERT(it != m_servers.end() && it->second->inFlight > 0, "each finished request was started");
    auto& server = *it->second;
    // A report counts the request that it comes with.
    const auto own = static_cast<double>(server.inFlight--);
    if (const auto start = server.startTimes.lower_bound(now - latency); start != server.startTimes.end())
        server.startTimes.erase(start);
    else if (!server.startTimes.empty())
        server.startTimes.erase(server.startTimes.begin());
    if (!server.isListed) {
        if (server.inFlight == 0) {
            m_servers.erase(it);
            m_orders.clear();
        }
        return;
    }
    if (load) {
        const auto all = static_cast<double>(load->running + load->waiting);
        const auto foreign = std::max(0.0, all - own);
        server.foreign = foreignEstimate(server, now) * (1 - foreignSmoothing) + foreign * foreignSmoothing;
        server.foreignTime = now;
        m_meanForeign += meanForeignSmoothing * (foreign / std::max(1U, server.info.slots) - m_meanForeign);
    }
    switch (result) {
    case DispatchResult::Succeeded: {
        const auto reference = toSeconds(std::max(expected + roundTrip(server.info.region), shortestExpectation));
        const auto ratio = std::clamp(toSeconds(latency) / reference, 0.2, largestSlowness);
        // One long response may have met the object cold; two in a row tell a slow server.
        server.slowness += slownessSmoothing * (std::min(ratio, server.lastRatio) - server.slowness);
        server.lastRatio = ratio;
        server.slowness = std::max(server.slowness, 1.0);
        server.failures = 0;
        server.failureShare -= failureSmoothing * server.failureShare;
        server.ejection = Duration { 0 };
        break;
    }
    case DispatchResult::Shed:
        // It is full, or says so falsely; either way others are better for a moment.
        server.foreign = std::max(server.foreign, static_cast<double>(server.info.slots));
        server.foreignTime = now;
        [[fallthrough]];
    case DispatchResult::ServerError:
        server.failureShare += failureSmoothing * (1 - server.failureShare);
        if (server.failureShare > failureShareToEject)
            eject(server, now);
        break;
    case DispatchResult::NotSent:
    case DispatchResult::Broken:
        server.failureShare += failureSmoothing * (1 - server.failureShare);
        ++server.failures;
        if (server.failures >= failuresToEject || result == DispatchResult::NotSent
            || server.failureShare > failureShareToEject)
            eject(server, now);
        break;
    case DispatchResult::WrongServer:
        server.isMisplaced = true;
        m_orders.clear();
        break;
    case DispatchResult::Cancelled:
        break;
    }
}

void ServicePool::eject(Server& server, TimePoint now)
{
    std::size_t count = 0;
    std::size_t out = 0;
    for (const auto& [id, other] : m_servers) {
        if (other->info.region != server.info.region || !isUsable(*other))
            continue;
        ++count;
        out += other->ejectedUntil > now ? 1 : 0;
    }
    // A signal that is wrong for many servers at once must not empty the region.
    if (static_cast<double>(out + 1) > m_options.ejectionCap * static_cast<double>(count))
        return;
    server.ejection = std::clamp(server.ejection * 2, m_options.firstEjection, m_options.longestEjection);
    server.ejectedUntil = now + server.ejection;
}

void ServicePool::connected(const BackendServerId& id, Duration roundTrip)
{
    const auto it = m_servers.find(id);
    if (it == m_servers.end())
        return;
    auto [entry, isNew] = m_roundTrips.try_emplace(it->second->info.region, roundTrip);
    // The shortest one counts; it rises slowly, so that a changed path is followed.
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
    return slots == 0 ? 1 : taken / slots;
}

std::uint32_t ServicePool::localSlots() const noexcept
{
    std::uint32_t slots = 0;
    for (const auto& [id, server] : m_servers)
        slots += isLocal(*server) && isUsable(*server) ? server->info.slots : 0;
    return slots;
}

std::uint32_t ServicePool::slots() const noexcept
{
    std::uint32_t slots = 0;
    for (const auto& [id, server] : m_servers)
        slots += isUsable(*server) ? server->info.slots : 0;
    return slots;
}

double ServicePool::spillShare() const noexcept
{
    double sum = 0;
    for (const auto& [region, share] : m_spillShares)
        sum += share;
    return sum;
}

/** Every region keeps what makes its slots as full as those of all regions together, but fills them up to `keptUse`
 *  before it sends anything away. What exceeds that goes to regions with room left by the same measure. */
std::map<RegionId, double> ServicePool::spillTargets() const
{
    std::map<RegionId, double> slots;
    double allSlots = 0;
    for (const auto& [id, server] : m_servers) {
        if (!isUsable(*server))
            continue;
        slots[server->info.region] += server->info.slots;
        allSlots += server->info.slots;
    }
    const auto offeredBy = [&](const RegionId& region) {
        const auto it = m_offeredLoad.find(region);
        return it == m_offeredLoad.end() ? 0.0 : it->second;
    };
    // Without measurements, as if every region brought the same demand.
    const bool isMeasured = offeredBy(m_region) > 0;
    const auto assumed = allSlots / static_cast<double>(std::max<std::size_t>(slots.size(), 1));
    const auto demandOf = [&](const RegionId& region) { return isMeasured ? offeredBy(region) : assumed; };
    const auto use = isMeasured ? std::max(keptUse, overallUse()) : 1.0;
    const auto excess = std::max(0.0, demandOf(m_region) - use * m_keptFactor * slots[m_region]);
    std::map<RegionId, double> targets;
    double room = 0;
    for (const auto& [region, count] : slots) {
        if (region != m_region)
            room += targets[region] = std::max(0.0, std::max(use, filledUse) * count - demandOf(region));
    }
    for (auto& [region, share] : targets)
        share = room > 0 ? std::min(excess, room) * share / room / demandOf(m_region) : 0;
    return targets;
}

double ServicePool::overallUse() const
{
    double offered = 0;
    for (const auto& [region, amount] : m_offeredLoad)
        offered += amount;
    const auto all = slots();
    return all == 0 ? 1 : offered / all;
}

void ServicePool::tick(TimePoint now, bool isShort)
{
    // A request may also wait for one server while others have room.
    if (isShort && localOccupancy(now) >= shortOccupancy)
        m_shortUntil = now + shortTime;
    if (now < m_nextSpillStep)
        return;
    m_nextSpillStep = now + m_options.spillInterval;
    if (localSlots() == 0)
        return; // choose() serves from the other regions; the shares stay for the return.
    // Chance, slow servers and cold objects take room that the offered work does not show. Where all regions run short,
    // sending more away would only move the shortage.
    const bool isShortHere = now < m_shortUntil && overallUse() < filledUse;
    const auto factor = m_keptFactor + (isShortHere ? -keptFactorFall : keptFactorRise);
    m_keptFactor = std::clamp(factor, lowestKeptFactor, 1.0);
    auto targets = spillTargets();
    if (!m_hasStarted) {
        m_spillShares = std::move(targets);
        return;
    }
    // Requests that change their region are bounded, so all shares together change by one step at most.
    for (const auto& [region, share] : m_spillShares)
        targets.try_emplace(region, 0);
    double distance = 0;
    for (const auto& [region, target] : targets)
        distance += std::abs(target - m_spillShares[region]);
    const auto step = m_maximumShiftShare * shiftUse * toSeconds(m_options.spillInterval) / toSeconds(shiftWindow);
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
