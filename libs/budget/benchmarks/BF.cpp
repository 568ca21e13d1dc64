// Prints refusals inside the rate, against one bucket for the whole fleet, and the number of messages, in virtual time.

#include "../tests/FleetSimulation.h"

#include <fmt/format.h>

#include <chrono>
#include <string>

using namespace peridot;

namespace {

constexpr Duration second = std::chrono::seconds { 1 };
constexpr std::size_t holders = 11;

struct Scenario {
    std::string name;
    std::vector<BudgetShare> workspaces;
    DemandPattern warmUp;
    Duration settle; // Time from the change of demand until refusals count.
    DemandPattern demand;
};

/** Sums over several seeds. */
struct Sums {
    std::vector<WorkspaceFigures> workspaces;
    double seconds = 0;
    std::int64_t demands = 0;
    std::int64_t items = 0;
    std::int64_t writes = 0;
};

void run(const Scenario& scenario, Duration wait, std::uint64_t seed, Sums& sums)
{
    FleetOptions options;
    options.seed = seed;
    options.workspaces = scenario.workspaces;
    options.longestWait = wait;
    FleetSimulation fleet(options);
    fleet.run(30 * second, scenario.warmUp);
    fleet.run(scenario.settle, scenario.demand);
    fleet.resetFigures();
    sums.demands -= fleet.demands();
    sums.items -= fleet.demandItems();
    sums.writes -= fleet.storeWrites();
    fleet.run(60 * second, scenario.demand);
    sums.demands += fleet.demands();
    sums.items += fleet.demandItems();
    sums.writes += fleet.storeWrites();
    sums.seconds += 60;
    sums.workspaces.resize(fleet.figures().size());
    for (std::size_t i = 0; i < sums.workspaces.size(); ++i) {
        sums.workspaces[i].requests += fleet.figures()[i].requests;
        sums.workspaces[i].refused += fleet.figures()[i].refused;
        sums.workspaces[i].wronglyRefused += fleet.figures()[i].wronglyRefused;
        sums.workspaces[i].overspent += fleet.figures()[i].overspent;
    }
}

void measure(const Scenario& scenario, Duration wait)
{
    Sums sums;
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
        run(scenario, wait, seed, sums);
    for (std::size_t i = 0; i < sums.workspaces.size(); ++i) {
        const auto& figures = sums.workspaces[i];
        const auto requests = static_cast<double>(std::max<std::int64_t>(1, figures.requests));
        fmt::print(
            "{:<26} wait={:<2} w{} refused={:>8.4f}% wrongful={:>8.4f}% overspent={} demands/s={:<5.1f} items={:.2f} "
            "writes/s={:.2f}\n",
            scenario.name, toMilliseconds(wait), i, 100 * static_cast<double>(figures.refused) / requests,
            100 * static_cast<double>(figures.wronglyRefused) / requests, figures.overspent,
            static_cast<double>(sums.demands) / sums.seconds / static_cast<double>(holders),
            static_cast<double>(sums.items) / static_cast<double>(std::max<std::int64_t>(1, sums.demands)),
            static_cast<double>(sums.writes) / sums.seconds);
    }
}

DemandPattern constant(double perSecond, const std::vector<double>& parts)
{
    return [=](Duration, std::size_t, std::size_t region) { return perSecond * parts[region]; };
}

}

int main()
{
    const std::vector<double> even { 4 / 11.0, 4 / 11.0, 3 / 11.0 };
    const std::vector<double> skewed { 0.7, 0.2, 0.1 };
    std::vector<Scenario> scenarios;
    for (const auto& [rate, burst] :
        { std::pair<MilliRate, Units> { 1'000'000, 1000 }, { 1'000'000, 200 }, { 100'000, 100 }, { 20'000, 40 } }) {
        const auto perSecond = static_cast<double>(rate) / 1000;
        const std::vector<BudgetShare> total { { rate, burst } };
        const auto suffix = fmt::format(" {}/{}", rate / 1000, burst);
        for (const double part : { 0.5, 0.8, 0.9 }) {
            const auto demand = constant(perSecond * part, even);
            scenarios.push_back(
                { fmt::format("steady {:.0f}%{}", part * 100, suffix), total, demand, 0 * second, demand });
        }
        const auto away = constant(perSecond * 0.8, { 0.9, 0.05, 0.05 });
        scenarios.push_back({ "skewed 80%" + suffix, total, constant(perSecond * 0.8, skewed), 0 * second,
            constant(perSecond * 0.8, skewed) });
        scenarios.push_back(
            { "moved 80%" + suffix, total, away, 10 * second, constant(perSecond * 0.8, { 0, 0.1, 0.9 }) });
        scenarios.push_back({ "moved 90%" + suffix, total, constant(perSecond * 0.9, { 1, 0, 0 }), 10 * second,
            constant(perSecond * 0.9, { 0, 0, 1 }) });
    }
    const DemandPattern oneGreedy = [=](Duration, std::size_t workspace, std::size_t region) {
        return even[region] * (workspace == 0 ? 10'000 : 400);
    };
    const std::vector<BudgetShare> three(3, { 1'000'000, 1000 });
    scenarios.push_back({ "one at 10x", three, oneGreedy, 0 * second, oneGreedy });
    for (const auto& scenario : scenarios) {
        measure(scenario, Duration { 0 });
        measure(scenario, std::chrono::milliseconds { 25 });
    }
    return 0;
}
