// Decisions per second, memory and the cost of a delta at several sizes of the block map.

#include "routing/BlockMap.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>

using namespace peridot;

namespace {

constexpr std::size_t siteCount = 170;
constexpr std::size_t deltaSize = 300;

std::size_t heapBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

ClientBlock randomBlock(std::mt19937_64& random)
{
    if (random() % 5 == 0) {
        return ClientBlock::containing(
            ClientAddress::fromV6(0x2000000000000000 | random() >> 3, random()), 32 + random() % 33);
    }
    return ClientBlock::containing(
        ClientAddress::fromV4(static_cast<std::uint32_t>(random())), 16 + std::min<unsigned>(random() % 12, 8));
}

std::vector<SiteIndex> randomSites(std::mt19937_64& random)
{
    const auto first = random() % siteCount;
    return { static_cast<SiteIndex>(first), static_cast<SiteIndex>((first + 1 + random() % 4) % siteCount),
        static_cast<SiteIndex>((first + 5 + random() % 4) % siteCount) };
}

struct Fixture {
    explicit Fixture(std::size_t blockCount)
    {
        const auto heapBefore = heapBytes();
        map = std::make_unique<BlockMap>([] {
            std::vector<SiteId> sites;
            for (std::size_t i = 0; i < siteCount; ++i)
                sites.emplace_back("site" + std::to_string(i));
            return sites;
        }());
        while (map->snapshot()->blockCount() < blockCount) {
            BlockDelta delta;
            const auto missing = blockCount - map->snapshot()->blockCount();
            for (std::size_t i = 0; i < std::min<std::size_t>(missing, 20000); ++i)
                delta.changes.push_back({ randomBlock(random), randomSites(random) });
            if (!map->apply(delta))
                std::abort();
        }
        heapUsed = heapBytes() - heapBefore;
    }

    BlockDelta delta()
    {
        BlockDelta result;
        for (std::size_t i = 0; i < deltaSize; ++i)
            result.changes.push_back({ randomBlock(random), randomSites(random) });
        return result;
    }

    std::mt19937_64 random { 1 };
    std::unique_ptr<BlockMap> map;
    std::size_t heapUsed = 0;
};

Fixture& fixture(std::int64_t blockCount)
{
    static std::map<std::int64_t, std::unique_ptr<Fixture>> fixtures;
    auto& entry = fixtures[blockCount];
    if (!entry)
        entry = std::make_unique<Fixture>(static_cast<std::size_t>(blockCount));
    return *entry;
}

std::vector<ClientAddress> addresses(std::mt19937_64& random)
{
    std::vector<ClientAddress> result;
    result.reserve(1 << 16);
    for (int i = 0; i < 1 << 16; ++i) {
        result.push_back(random() % 5 ? ClientAddress::fromV4(static_cast<std::uint32_t>(random()))
                                      : ClientAddress::fromV6(0x2000000000000000 | random() >> 3, random()));
    }
    return result;
}

void decide(benchmark::State& state)
{
    auto& shared = fixture(state.range(0));
    const auto clients = addresses(shared.random);
    std::size_t i = 0;
    for (auto _ : state) {
        const auto snapshot = shared.map->snapshot();
        benchmark::DoNotOptimize(snapshot->find(clients[i++ & 0xffff]));
    }
    state.SetItemsProcessed(static_cast<std::int64_t>(state.iterations()));
    state.counters["accounted_bytes"] = static_cast<double>(shared.map->snapshot()->memoryBytes());
    state.counters["heap_bytes"] = static_cast<double>(shared.heapUsed);
}

void applyDelta(benchmark::State& state)
{
    auto& shared = fixture(state.range(0));
    std::size_t ownBytes = 0;
    std::size_t peakBytes = 0;
    for (auto _ : state) {
        state.PauseTiming();
        const auto delta = shared.delta();
        const auto before = shared.map->snapshot();
        const auto heapBefore = heapBytes();
        state.ResumeTiming();
        const auto after = shared.map->apply(delta);
        state.PauseTiming();
        ownBytes += (*after)->ownBytes();
        // Both versions are alive here; the old map is counted by its own accounting.
        peakBytes = std::max(peakBytes, before->memoryBytes() + heapBytes() - heapBefore);
        state.counters["encoded_bytes"] = static_cast<double>(delta.encode().size());
        state.ResumeTiming();
    }
    state.counters["copied_bytes"] = static_cast<double>(ownBytes) / static_cast<double>(state.iterations());
    state.counters["both_versions_bytes"] = static_cast<double>(peakBytes);
}

}

BENCHMARK(decide)->Arg(100000)->Arg(200000)->Arg(400000)->Arg(810000);
BENCHMARK(applyDelta)->Arg(100000)->Arg(200000)->Arg(400000)->Arg(810000)->Unit(benchmark::kMicrosecond);

BENCHMARK_MAIN();
