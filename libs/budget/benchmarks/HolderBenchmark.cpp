// Cost of trySpend on the request path, and of a whole demand at the ledger.

#include "budget/BudgetHolder.h"
#include "budget/RegionLedger.h"

#include <benchmark/benchmark.h>

#include <atomic>
#include <chrono>

using namespace peridot;

namespace {

NullEventLog nullLog;
const RegionId region("r0");

BudgetKey keyOf(int n) { return { BudgetKind::WorkspaceRate, "workspace-" + std::to_string(n) }; }

TimePoint wallTime()
{
    return TimePoint { std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()) };
}

/** Sends demands to a ledger whenever they are due. */
void exchange(BudgetHolder& holder, RegionLedger& ledger, TimePoint now)
{
    if (auto demand = holder.nextDemand(now))
        holder.accept(ledger.answer(*demand, now), now);
}

void trySpend(benchmark::State& state)
{
    static BudgetHolder holder(InstanceId("h"), 1, region, nullLog);
    static std::atomic<std::int64_t> spent;
    const auto key = keyOf(state.thread_index() % static_cast<int>(state.range(0)));
    const auto now = wallTime();
    if (state.thread_index() == 0) {
        RegionLedger ledger(region, nullLog);
        ledger.activate(1, now, now);
        for (int n = 0; n < state.range(0); ++n) {
            ledger.setShare(keyOf(n), { 4'000'000'000'000, 1'000'000'000 }, now);
            holder.trySpend(keyOf(n), 500'000'000, now);
        }
        exchange(holder, ledger, now + std::chrono::seconds { 1 });
    }
    std::int64_t count = 0;
    for (auto _ : state) {
        auto outcome = holder.trySpend(key, 1, now);
        benchmark::DoNotOptimize(outcome);
        count += outcome.isSpent;
    }
    spent += count;
    state.counters["spent_share"] = benchmark::Counter(
        static_cast<double>(count) / static_cast<double>(state.iterations()), benchmark::Counter::kAvgThreads);
}
BENCHMARK(trySpend)->Arg(1)->Arg(8)->Threads(1)->Threads(4);

void demandAndGrant(benchmark::State& state)
{
    BudgetHolder holder(InstanceId("h"), 1, region, nullLog);
    RegionLedger ledger(region, nullLog);
    TimePoint now { std::chrono::seconds { 100 } };
    ledger.activate(1, now, now);
    std::vector<BudgetKey> keys;
    for (int n = 0; n < state.range(0); ++n) {
        keys.push_back(keyOf(n));
        ledger.setShare(keys.back(), { 1'000'000, 1000 }, now);
    }
    for (auto _ : state) {
        now += demandInterval;
        for (const auto& key : keys)
            holder.trySpend(key, 1, now);
        exchange(holder, ledger, now);
    }
}
BENCHMARK(demandAndGrant)->Arg(1)->Arg(8)->Arg(64);

}

BENCHMARK_MAIN();
