// Measures the real member and relay agents in one thread and virtual time at several fleet sizes: traffic and CPU time
// per member, time until a change is in force everywhere, and time until losses show in all views. Sizes of messages
// are those of MessageSize.h. Usage: membership-scale [members...]

#include "../tests/Fleet.h"
#include "wire/Codec.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>

using namespace peridot;
using namespace peridot::testing;
using namespace std::chrono_literals;

namespace {

struct Size {
    std::size_t members;
    std::vector<std::size_t> domainsPerRegion;
};

Size sizeOf(std::size_t members)
{
    if (members <= 60)
        return { members, { 2, 2, 2 } };
    if (members <= 300)
        return { members, { 3, 3, 2, 2 } };
    return { members, { 3, 3, 3, 3, 3, 2, 2, 2 } };
}

FleetSettings settingsOf(const Size& size, std::uint64_t seed)
{
    FleetSettings settings;
    settings.seed = seed;
    settings.domainsPerRegion = size.domainsPerRegion;
    std::size_t domains = 0;
    for (const auto n : size.domainsPerRegion)
        domains += n;
    settings.membersPerDomain.clear();
    for (std::size_t i = 0; i < domains; ++i)
        settings.membersPerDomain.push_back(size.members / domains + (i < size.members % domains ? 1 : 0));
    if (size.members >= 1000)
        settings.tickInterval = 40ms;
    return settings;
}

template <typename Condition> long timeUntil(Fleet& fleet, Condition condition, Duration limit = 30s)
{
    const auto start = fleet.now();
    while (!condition() && fleet.now() - start < limit)
        fleet.run(20ms);
    return static_cast<long>(toMilliseconds(fleet.now() - start));
}

void printTraffic(const char* name, std::size_t members, double seconds, const std::vector<Traffic>& all)
{
    double messages = 0;
    double bytes = 0;
    double encoded = 0;
    double highest = 0;
    for (const auto& traffic : all) {
        messages += static_cast<double>(traffic.messages);
        bytes += static_cast<double>(traffic.bytes);
        encoded += static_cast<double>(traffic.encodedBytes);
        highest = std::max(highest, static_cast<double>(traffic.bytes));
    }
    const auto n = static_cast<double>(all.size()) * seconds;
    std::printf(
        "measure=traffic members=%zu group=%s instances=%zu messages_per_second=%.1f encoded_bytes_per_second=%.0f "
        "bytes_per_second=%.0f highest_bytes_per_second=%.0f\n",
        members, name, all.size(), messages / n, encoded / n, bytes / n, highest / seconds);
}

void measureTraffic(Fleet& fleet, std::size_t members)
{
    constexpr auto duration = 10s;
    fleet.resetTraffic();
    fleet.run(duration);
    std::vector<Traffic> all;
    std::vector<Traffic> relays;
    std::vector<Traffic> others;
    double cpu = 0;
    double highestCpu = 0;
    for (const auto i : fleet.live()) {
        const auto& instance = fleet.instance(i);
        all.push_back(instance.traffic);
        (instance.membership->isRelay() ? relays : others).push_back(instance.traffic);
        cpu += toSeconds(instance.cpu);
        highestCpu = std::max(highestCpu, toSeconds(instance.cpu));
    }
    printTraffic("all", members, toSeconds(duration), all);
    printTraffic("relays", members, toSeconds(duration), relays);
    if (!others.empty())
        printTraffic("others", members, toSeconds(duration), others);
    std::printf("measure=cpu members=%zu core_percent=%.4f highest_core_percent=%.4f\n", members,
        100 * cpu / static_cast<double>(all.size()) / toSeconds(duration), 100 * highestCpu / toSeconds(duration));
}

void measureChange(Fleet& fleet, std::size_t members)
{
    for (std::size_t run = 0; run < 3; ++run) {
        const auto before = fleet.acceptedCount();
        fleet.change((run * 7919 + 3) % fleet.size());
        const auto accepted = timeUntil(fleet, [&] { return fleet.acceptedCount() > before; });
        const auto spread = timeUntil(fleet, [&] { return fleet.allHave(fleet.acceptedVersion()); });
        std::printf(
            "measure=change members=%zu accepted_ms=%ld in_force_everywhere_after_ms=%ld\n", members, accepted, spread);
        fleet.run(2s);
    }
}

void measureLoss(Fleet& fleet, std::size_t members, const char* what, const std::vector<std::size_t>& victims)
{
    fleet.resetTraffic();
    for (const auto i : victims)
        fleet.kill(i);
    const auto removed = timeUntil(fleet, [&] { return fleet.viewsAreExact(); });
    fleet.run(3s);
    std::uint64_t lapses = 0;
    for (const auto i : fleet.live())
        lapses += fleet.instance(i).evidenceLapses;
    for (const auto i : victims)
        fleet.start(i);
    const auto back = timeUntil(fleet, [&] { return fleet.viewsAreExact(); });
    std::printf("measure=loss members=%zu lost=%s instances=%zu views_exact_after_ms=%ld evidence_lapse_ticks=%llu "
                "back_in_all_views_after_ms=%ld\n",
        members, what, victims.size(), removed, static_cast<unsigned long long>(lapses), back);
    fleet.run(5s);
}

void measureOutage(Fleet& fleet, std::size_t members)
{
    fleet.resetTraffic();
    fleet.setStoreUp(false);
    fleet.run(15s);
    std::uint64_t lapses = 0;
    for (const auto i : fleet.live())
        lapses += fleet.instance(i).evidenceLapses;
    fleet.setStoreUp(true);
    fleet.run(5s);
    std::printf("measure=store_outage members=%zu evidence_lapse_ticks=%llu\n", members,
        static_cast<unsigned long long>(lapses));
}

std::size_t encodedBytes(const MembershipMessage& message, const MemberInfo& sender)
{
    Envelope envelope { DeploymentId("plesni-caj"), sender.id, sender.incarnation, sender.peerAddress, {} };
    envelope.message = std::visit([](const auto& body) { return PeerMessage(body); }, message);
    return encode(envelope).size();
}

void measure(std::size_t members, bool isTrafficOnly)
{
    auto settings = settingsOf(sizeOf(members), members);
    settings.measuresCpu = true;
    settings.encodedBytes = encodedBytes;
    Fleet fleet(settings);
    const auto started = timeUntil(fleet, [&] { return fleet.missing().empty(); });
    std::printf(
        "measure=start members=%zu settled_after_ms=%ld missing=\"%s\"\n", members, started, fleet.missing().c_str());
    fleet.run(10s);
    measureTraffic(fleet, members);
    if (isTrafficOnly) {
        measureOutage(fleet, members);
        std::fflush(stdout);
        return;
    }
    measureChange(fleet, members);
    const auto domain = fleet.domains()[1];
    std::vector<std::size_t> whole;
    for (const auto i : fleet.live()) {
        if (fleet.instance(i).info.failureDomain == domain)
            whole.push_back(i);
    }
    const auto relays = fleet.relays(domain);
    measureLoss(fleet, members, "member", { whole.back() });
    measureLoss(fleet, members, "relay", { relays.front() });
    if (whole.size() > 2)
        measureLoss(fleet, members, "both_relays", relays);
    measureLoss(fleet, members, "domain", whole);
    measureOutage(fleet, members);
    std::printf("measure=check members=%zu violation=\"%s\"\n", members, fleet.violation().c_str());
    std::fflush(stdout);
}

}

int main(int argc, char** argv)
{
    std::vector<std::size_t> sizes { 11, 60, 300, 1500 };
    const bool isTrafficOnly = argc > 1 && std::string(argv[1]) == "traffic";
    const int first = isTrafficOnly ? 2 : 1;
    if (argc > first)
        sizes.clear();
    for (int i = first; i < argc; ++i)
        sizes.push_back(static_cast<std::size_t>(std::strtoul(argv[i], nullptr, 10)));
    for (const auto members : sizes)
        measure(members, isTrafficOnly);
    return 0;
}
