#include "CallerPopulation.h"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>

namespace peridot::trial {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr std::size_t sitesPerWorkspaceAndRegion = 8;
    constexpr Duration connectTimeout = seconds { 1 };
    constexpr Duration lookupTimeout = seconds { 2 };
    constexpr int longestLookupTries = 4;
    constexpr int longestSendTries = 3;
    constexpr int longestRetries = 2;
    // A caller that ignores the order of its list, spreads its requests over all entries.
    constexpr double carelessOrder = 0.1;
    constexpr double retryChance = 0.5;
    constexpr double repeatChance = 0.05;
    constexpr double leaveChance = 0.01;
    constexpr double shortTimeoutChance = 0.05;
    constexpr double idempotencyKeyChance = 0.7; // Of non-idempotent requests.
    constexpr double invalidKeyChance = 0.02;

}

CallerPopulation::CallerPopulation(const Deployment& deployment, EventLoop& loop, Network& network, EntryFleet& fleet,
    Judge& judge, CallerKeys& keys, const TrialOptions& options)
    : m_deployment(deployment)
    , m_loop(loop)
    , m_network(network)
    , m_fleet(fleet)
    , m_judge(judge)
    , m_keys(keys)
    , m_options(options)
    , m_random(options.seed, "callers")
    , m_demandFactors(deployment.workspaces.size(), 1.0)
    , m_silentRegions(deployment.regions.size(), false)
{
    for (std::size_t workspace = 0; workspace < deployment.workspaces.size(); ++workspace) {
        for (std::size_t region = 0; region < deployment.regions.size(); ++region) {
            for (std::size_t n = 0; n < sitesPerWorkspaceAndRegion; ++n) {
                Site it;
                it.workspace = workspace;
                it.homeRegion = region;
                it.address = fmt::format("20.{}.{}.7", region, workspace * sitesPerWorkspaceAndRegion + n);
                it.lookups.resize(deployment.services.size());
                m_sites.push_back(std::move(it));
            }
        }
        // The first region has half of the demand of every other workspace, and so on in turn.
        std::vector<double> weights(deployment.regions.size(), 0.25);
        weights[workspace % deployment.regions.size()] = 0.5;
        m_regionWeights.push_back(weights);
    }
    double sum = 0;
    for (const ClassShape& it : deployment.classes) {
        sum += it.weight * deployment.capacity(it.service);
        m_classWeights.push_back(sum);
    }
}

std::vector<ClientBlockRegions> CallerPopulation::blocks(const Deployment& deployment)
{
    std::vector<ClientBlockRegions> result;
    const std::size_t regions = deployment.regions.size();
    for (std::size_t home = 0; home < regions; ++home) {
        for (std::size_t site = 0; site < deployment.workspaces.size() * sitesPerWorkspaceAndRegion; ++site) {
            ClientBlockRegions it;
            it.block = fmt::format("20.{}.{}.0/24", home, site);
            for (std::size_t n = 0; n < regions; ++n)
                it.regions.emplace_back(deployment.regions[(home + n) % regions]);
            result.push_back(std::move(it));
        }
    }
    return result;
}

double CallerPopulation::demand(std::size_t workspace) const
{
    return m_deployment.capacity() * plannedUtilisation * m_options.load * m_deployment.workspaces[workspace].share;
}

void CallerPopulation::setRegionWeights(std::size_t workspace, std::vector<double> weights)
{
    const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
    for (double& it : weights)
        it /= sum;
    m_regionWeights[workspace] = std::move(weights);
}

void CallerPopulation::start(VirtualTime end)
{
    m_end = end;
    for (std::size_t workspace = 0; workspace < m_deployment.workspaces.size(); ++workspace)
        scheduleNext(workspace);
}

void CallerPopulation::scheduleNext(std::size_t workspace)
{
    const double rate = demand(workspace) * m_demandFactors[workspace];
    // A workspace whose demand is off looks again after a second.
    const Duration wait = rate > 0 ? m_random.exponential(Duration { static_cast<Duration::rep>(1e6 / rate) })
                                   : Duration { seconds { 1 } };
    if (m_loop.now() + wait > m_end)
        return;
    m_loop.after(wait, [this, workspace, rate] {
        if (rate > 0)
            startErrand(workspace);
        scheduleNext(workspace);
    });
}

void CallerPopulation::startErrand(std::size_t workspace)
{
    double draw = m_random.uniform();
    std::size_t region = 0;
    while (region + 1 < m_deployment.regions.size() && draw >= m_regionWeights[workspace][region]) {
        draw -= m_regionWeights[workspace][region];
        ++region;
    }
    auto errand = std::make_shared<Errand>();
    errand->site = (workspace * m_deployment.regions.size() + region) * sitesPerWorkspaceAndRegion
        + m_random.below(sitesPerWorkspaceAndRegion);
    const double classDraw = m_random.uniform() * m_classWeights.back();
    errand->trafficClass = static_cast<std::size_t>(
        std::upper_bound(m_classWeights.begin(), m_classWeights.end(), classDraw) - m_classWeights.begin());
    errand->startedAt = m_loop.now();
    errand->timeout = m_random.chance(shortTimeoutChance) ? m_random.between(milliseconds { 50 }, seconds { 1 })
                                                          : m_random.between(seconds { 3 }, seconds { 10 });
    chooseKeys(*errand);
    if (!classOf(*errand).isIdempotent && m_random.chance(idempotencyKeyChance))
        errand->idempotencyKey = fmt::format("order-{}", ++m_lastIdempotencyKey);
    if (m_silentRegions[region])
        return;
    ++m_counts.requests;
    findInstance(errand);
}

void CallerPopulation::chooseKeys(Errand& errand)
{
    const std::string& id = m_keys.current(siteOf(errand).workspace);
    errand.keyId = id;
    errand.keys = { presentedKey(id) };
    if (classOf(errand).isOpen) {
        errand.keys.clear();
        errand.keyId.clear();
        errand.keyUse = KeyUse::Missing;
        return;
    }
    if (!m_random.chance(invalidKeyChance))
        return;
    errand.keyId.clear();
    errand.keyUse = KeyUse::Wrong;
    switch (m_random.below(5)) {
    case 0:
        errand.keys = { id + ".wrong-secret" };
        break;
    case 1:
        errand.keys = { presentedKey("k-unknown-1") };
        break;
    case 2:
        errand.keys.clear();
        errand.keyUse = KeyUse::Missing;
        break;
    case 3: {
        const std::size_t other = (siteOf(errand).workspace + 1) % m_deployment.workspaces.size();
        errand.keys.push_back(presentedKey(m_keys.current(other)));
        break;
    }
    default:
        errand.keys.push_back(errand.keys.front()); // The same key twice is valid.
        errand.keyId = id;
        errand.keyUse = KeyUse::Valid;
        break;
    }
}

void CallerPopulation::findInstance(const ErrandRef& errand)
{
    const CachedLookup& cached = siteOf(*errand).lookups[classOf(*errand).service];
    if (cached.validUntil > m_loop.now() && !cached.instances.empty())
        send(errand);
    else
        lookUp(errand);
}

void CallerPopulation::lookUp(const ErrandRef& errand)
{
    if (++errand->lookupTries > longestLookupTries) {
        ++m_counts.withoutInstance;
        return;
    }
    ++m_counts.lookups;
    const Site& site = siteOf(*errand);
    const CachedLookup& cached = site.lookups[classOf(*errand).service];
    const bool asksKnown = errand->lookupTries == 1 && !cached.instances.empty() && m_random.chance(0.8);
    const std::size_t instance
        = asksKnown ? cached.instances[m_random.below(cached.instances.size())] : m_random.below(m_fleet.size());
    const std::size_t domain = m_fleet.process(instance).domain;
    if (!m_network.isConnected(site.homeRegion, Network::regionOf(domain))) {
        m_loop.after(connectTimeout, [this, errand] { lookUp(errand); });
        return;
    }
    auto isOver = std::make_shared<bool>(false);
    m_loop.after(lookupTimeout, [this, errand, isOver] {
        if (!std::exchange(*isOver, true))
            lookUp(errand);
    });
    m_loop.after(m_network.clientDelay(site.homeRegion, domain), [this, errand, instance, domain, isOver] {
        const Duration back = m_network.clientDelay(siteOf(*errand).homeRegion, domain);
        const LookupQuery query { ServiceId { m_deployment.services[classOf(*errand).service].name },
            siteOf(*errand).address };
        m_fleet.lookup(
            instance, query,
            [this, errand, back, isOver](const LookupResult& result) {
                m_loop.after(back, [this, errand, result, isOver] {
                    if (!std::exchange(*isOver, true))
                        lookedUp(errand, result);
                });
            },
            [this, errand, back, isOver] {
                m_loop.after(back, [this, errand, isOver] {
                    if (!std::exchange(*isOver, true))
                        lookUp(errand);
                });
            });
    });
}

void CallerPopulation::lookedUp(const ErrandRef& errand, const LookupResult& result)
{
    Site& site = siteOf(*errand);
    CachedLookup& cached = site.lookups[classOf(*errand).service];
    const auto* response = std::get_if<LookupResponse>(&result);
    std::vector<std::size_t> instances;
    if (response) {
        for (const ListedInstance& it : response->instances) {
            if (const auto n = m_fleet.find(it.id))
                instances.push_back(*n);
        }
    }
    if (instances.empty()) {
        ++m_counts.lookupsRefused;
        m_judge.lookedUp(site.homeRegion, std::nullopt, m_loop.now());
        const auto* refusal = std::get_if<Refusal>(&result);
        const Duration wait
            = refusal ? std::max<Duration>(refusal->retryAfter, milliseconds { 200 }) : milliseconds { 200 };
        m_loop.after(wait, [this, errand] { lookUp(errand); });
        return;
    }
    m_judge.lookedUp(site.homeRegion, m_fleet.process(instances.front()).region(), m_loop.now());
    cached.instances = std::move(instances);
    cached.validUntil = m_loop.now() + response->timeToLive;
    send(errand);
}

std::size_t CallerPopulation::chooseInstance(Errand& errand, const CachedLookup& cached)
{
    if (errand.nextInstance > 0)
        return errand.nextInstance % cached.instances.size();
    if (m_random.chance(carelessOrder))
        return m_random.below(cached.instances.size());
    return 0;
}

void CallerPopulation::send(const ErrandRef& errand)
{
    if (++errand->sendTries > longestSendTries + errand->retries) {
        ++m_counts.withoutInstance;
        return;
    }
    const Site& site = siteOf(*errand);
    const CachedLookup& cached = site.lookups[classOf(*errand).service];
    const std::size_t instance = cached.instances[chooseInstance(*errand, cached)];
    const std::size_t region = m_fleet.process(instance).region();
    const bool isSteered = region != site.homeRegion && instance == cached.instances.front();
    if (!m_network.isConnected(site.homeRegion, region)) {
        m_loop.after(connectTimeout, [this, errand] { connectionFailed(errand); });
        return;
    }
    m_loop.after(m_network.clientDelay(site.homeRegion, m_fleet.process(instance).domain),
        [this, errand, instance, isSteered] { arrive(errand, instance, isSteered); });
}

void CallerPopulation::arrive(const ErrandRef& errand, std::size_t instance, bool isSteered)
{
    const Site& site = siteOf(*errand);
    const std::size_t domain = m_fleet.process(instance).domain;
    if (!m_fleet.isAccepting(instance)) {
        m_loop.after(m_network.clientDelay(site.homeRegion, domain), [this, errand] { connectionFailed(errand); });
        return;
    }
    const ClassShape& shape = classOf(*errand);
    CallerRequest request;
    request.head.method = shape.method;
    request.head.path = '/' + m_deployment.services[shape.service].name + shape.pathPrefix + "/1";
    request.head.clientAddress = site.address;
    request.head.presentedKeys = errand->keys;
    request.head.idempotencyKey = errand->idempotencyKey;
    request.head.bodyBytes = shape.isIdempotent ? 0 : 2000 + m_random.below(4000);
    request.head.timeout = errand->timeout;
    request.responseBytes = 2000 + static_cast<std::uint64_t>(m_random.exponential(m_options.responseKilobytes * 1000));
    request.sent.workspace = site.workspace;
    request.sent.trafficClass = errand->trafficClass;
    request.sent.keyUse = errand->keyUse;
    request.sent.keyId = errand->keyId;
    request.sent.idempotencyKey = errand->idempotencyKey;
    request.sent.homeRegion = site.homeRegion;
    request.sent.startedAt = errand->startedAt;
    request.sent.sentAt = m_loop.now();
    request.sent.timeout = errand->timeout;
    request.sent.isSteered = isSteered;
    const RequestIndex index = m_fleet.begin(
        instance, std::move(request), [this, errand, instance](RequestIndex answeredIndex, const Answer& answer) {
            answered(errand, instance, answeredIndex, answer);
        });
    if (m_random.chance(leaveChance))
        m_loop.after(m_random.between(milliseconds { 5 }, milliseconds { 200 }),
            [this, instance, index] { m_fleet.callerLeaves(instance, index); });
}

void CallerPopulation::connectionFailed(const ErrandRef& errand)
{
    ++errand->nextInstance;
    const CachedLookup& cached = siteOf(*errand).lookups[classOf(*errand).service];
    if (errand->nextInstance >= cached.instances.size()) {
        errand->nextInstance = 0;
        lookUp(errand);
        return;
    }
    send(errand);
}

void CallerPopulation::answered(const ErrandRef& errand, std::size_t instance, RequestIndex index, const Answer& answer)
{
    const Duration back = m_network.clientDelay(siteOf(*errand).homeRegion, m_fleet.process(instance).domain);
    m_loop.after(back, [this, errand, index, kind = answer.kind] {
        if (kind == AnswerKind::Completed || kind == AnswerKind::Replayed) {
            ++m_counts.completed;
            if (m_judge.hasRequest(index))
                m_judge.received(index, m_loop.now());
            maybeRepeat(errand);
            return;
        }
        maybeRetry(errand);
    });
}

void CallerPopulation::maybeRepeat(const ErrandRef& errand)
{
    // Scripts without memory send the same order again although it succeeded.
    if (errand->idempotencyKey.empty() || errand->hasRepeated || !m_random.chance(repeatChance))
        return;
    errand->hasRepeated = true;
    ++errand->nextInstance;
    errand->startedAt = m_loop.now();
    findInstance(errand);
}

void CallerPopulation::maybeRetry(const ErrandRef& errand)
{
    if (errand->retries >= longestRetries || !m_random.chance(retryChance))
        return;
    ++errand->retries;
    if (m_random.chance(0.5))
        ++errand->nextInstance; // Through another instance.
    m_loop.after(m_random.between(milliseconds { 1 }, milliseconds { 500 }), [this, errand] { findInstance(errand); });
}

}
