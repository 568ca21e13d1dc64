// The block map must agree with a plain search over all blocks, whatever deltas made it, and never change under a
// reader.

#include "routing/BlockMap.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <random>
#include <thread>

using namespace peridot;

namespace {

ClientBlock block(const char* text) { return *ClientBlock::parse(text); }
ClientAddress address(const char* text) { return *ClientAddress::parse(text); }

std::vector<SiteId> siteNames(std::size_t count)
{
    std::vector<SiteId> names;
    for (std::size_t i = 0; i < count; ++i)
        names.emplace_back("site" + std::to_string(i));
    return names;
}

SiteIndex firstSite(const BlockMapSnapshot& snapshot, const ClientAddress& client)
{
    const auto sites = snapshot.find(client);
    return sites.empty() ? 999 : sites.front();
}

/** Random blocks that nest and collide often. */
ClientBlock randomBlock(std::mt19937_64& random)
{
    if (random() % 3)
        return ClientBlock::containing(
            ClientAddress::fromV4(static_cast<std::uint32_t>(random() & 0x0f0f3fff)), random() % 33);
    return ClientBlock::containing(
        ClientAddress::fromV6(0x2001000000000000 | (random() & 0xff00ff), random() & 0xff), random() % 129);
}

ClientAddress randomAddressIn(const ClientBlock& near, std::mt19937_64& random)
{
    const auto& start = near.address();
    const auto flip = std::uint64_t { 1 } << random() % 32;
    return start.isV6() ? ClientAddress::fromV6(start.high() ^ (random() % 2 ? flip : 0), start.low() ^ flip)
                        : ClientAddress::fromV4(static_cast<std::uint32_t>(start.low() ^ flip));
}

}

class BlockMapTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BlockMapTest);
    CPPUNIT_TEST(parsesBlocksAndNamesFaults);
    CPPUNIT_TEST(findsLongestBlock);
    CPPUNIT_TEST(wrongDeltaChangesNothing);
    CPPUNIT_TEST(agreesWithPlainSearchAfterRandomDeltas);
    CPPUNIT_TEST(deltaSharesUntouchedChunks);
    CPPUNIT_TEST(decodesWhatItEncodes);
    CPPUNIT_TEST(refusesDamagedDeltas);
    CPPUNIT_TEST(readersKeepTheirSnapshot);
    CPPUNIT_TEST_SUITE_END();

public:
    /** A mistyped block must not silently steer other clients. */
    void parsesBlocksAndNamesFaults()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.0/16"), block("10.1.0.0/16").text());
        CPPUNIT_ASSERT_EQUAL(std::string("2001:db8::/33"), block("2001:db8::/33").text());
        CPPUNIT_ASSERT(address("::ffff:10.1.2.3") == address("10.1.2.3"));
        const std::map<std::string, std::string> faults = {
            { "10.1.0.0", "expected address/length" },
            { "10.1.0/16", "neither an IPv4 nor an IPv6 address" },
            { "10.1.0.0/33", "must be 0 to 32" },
            { "::/129", "must be 0 to 128" },
            { "10.1.0.0/1x", "not a number" },
            { "10.1.0.0/", "not a number" },
            { "10.1.0.1/16", "did you mean 10.1.0.0/16?" },
            { "::ffff:10.0.0.0/8", "write a block of IPv4-mapped addresses as an IPv4 block" },
        };
        for (const auto& [text, message] : faults) {
            const auto parsed = ClientBlock::parse(text);
            CPPUNIT_ASSERT_MESSAGE(text, !parsed);
            CPPUNIT_ASSERT_MESSAGE(
                parsed.error().describe(), parsed.error().message.find(message) != std::string::npos);
        }
    }

    /** A wider block must not win over a narrower one, also at the edges of the blocks. */
    void findsLongestBlock()
    {
        BlockMap map(siteNames(4));
        CPPUNIT_ASSERT(map.snapshot()->find(address("10.0.0.1")).empty());
        const auto snapshot = *map.apply(
            { { { block("10.0.0.0/8"), { 0 } }, { block("10.1.0.0/16"), { 1, 2 } }, { block("10.1.2.0/24"), { 2 } },
                { block("2001:db8::/32"), { 3 } }, { block("2001:db8::7/128"), { 1 } } } });
        CPPUNIT_ASSERT_EQUAL(SiteIndex { 2 }, firstSite(*snapshot, address("10.1.2.255")));
        CPPUNIT_ASSERT_EQUAL(SiteIndex { 1 }, firstSite(*snapshot, address("10.1.3.0")));
        CPPUNIT_ASSERT_EQUAL(SiteIndex { 0 }, firstSite(*snapshot, address("10.2.0.0")));
        CPPUNIT_ASSERT_EQUAL(SiteIndex { 999 }, firstSite(*snapshot, address("11.0.0.0")));
        CPPUNIT_ASSERT_EQUAL(SiteIndex { 1 }, firstSite(*snapshot, address("2001:db8::7")));
        CPPUNIT_ASSERT_EQUAL(SiteIndex { 3 }, firstSite(*snapshot, address("2001:db8::8")));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, snapshot->find(address("10.1.0.0")).size());
        CPPUNIT_ASSERT(snapshot->site(2) == SiteId("site2"));
    }

    /** A delta with one wrong change must not be applied in part. */
    void wrongDeltaChangesNothing()
    {
        BlockMap map(siteNames(2));
        CPPUNIT_ASSERT(map.apply({ { { block("10.0.0.0/8"), { 0 } } } }));
        const auto unknownSite = map.apply({ { { block("10.0.0.0/8"), { 1 } }, { block("11.0.0.0/8"), { 2 } } } });
        CPPUNIT_ASSERT_EQUAL(std::string("block 11.0.0.0/8 names site 2 of 2"), unknownSite.error().message);
        const auto unknownBlock = map.apply({ { { block("10.0.0.0/8"), { 1 } }, { block("::/0"), {} } } });
        CPPUNIT_ASSERT_EQUAL(std::string("cannot remove unknown block ::/0"), unknownBlock.error().message);
        CPPUNIT_ASSERT_EQUAL(SiteIndex { 0 }, firstSite(*map.snapshot(), address("10.0.0.0")));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, map.snapshot()->version());
    }

    /** Splitting, joining and blocks that span chunks must not lose or misplace a block. */
    void agreesWithPlainSearchAfterRandomDeltas()
    {
        std::mt19937_64 random(7);
        BlockMap map(siteNames(170));
        std::map<ClientBlock, std::vector<SiteIndex>> expected;
        for (int round = 0; round < 60; ++round) {
            BlockDelta delta;
            const bool isShrinking = round % 20 > 14;
            for (int i = 0; i < 300; ++i) {
                if (isShrinking && !expected.empty()) {
                    const auto victim = std::next(expected.begin(), static_cast<long>(random() % expected.size()));
                    delta.changes.push_back({ victim->first, {} });
                    expected.erase(victim);
                } else {
                    const auto added = randomBlock(random);
                    const std::vector<SiteIndex> sites { static_cast<SiteIndex>(random() % 170),
                        static_cast<SiteIndex>(random() % 170) };
                    delta.changes.push_back({ added, sites });
                    expected[added] = sites;
                }
            }
            CPPUNIT_ASSERT(map.apply(delta));
            const auto snapshot = map.snapshot();
            CPPUNIT_ASSERT_EQUAL(expected.size(), snapshot->blockCount());
            for (int i = 0; i < 40; ++i) {
                const auto client = randomAddressIn(randomBlock(random), random);
                const std::vector<SiteIndex>* best = nullptr;
                unsigned bestLength = 0;
                for (const auto& [candidate, sites] : expected) {
                    if (candidate.contains(client) && (!best || candidate.prefixLength() >= bestLength)) {
                        best = &sites;
                        bestLength = candidate.prefixLength();
                    }
                }
                const auto found = snapshot->find(client);
                CPPUNIT_ASSERT_MESSAGE(client.text(),
                    best ? std::equal(found.begin(), found.end(), best->begin(), best->end()) : found.empty());
            }
        }
    }

    /** A small delta must not copy the map: the budget of a node has no room for it. */
    void deltaSharesUntouchedChunks()
    {
        BlockMap map(siteNames(170));
        BlockDelta all;
        for (std::uint32_t i = 0; i < 100000; ++i) {
            const auto site = static_cast<SiteIndex>(i * 7 % 167);
            all.changes.push_back({ ClientBlock::containing(ClientAddress::fromV4(i << 8), 24),
                { site, static_cast<SiteIndex>(site + 1 + i % 3), static_cast<SiteIndex>(i % 11) } });
        }
        const auto full = *map.apply(all);
        const auto next = *map.apply({ { { block("0.0.1.0/24"), { 1 } } } });
        CPPUNIT_ASSERT_EQUAL(full->blockCount(), next->blockCount());
        CPPUNIT_ASSERT(next->ownBytes() * 50 < next->memoryBytes());
    }

    void decodesWhatItEncodes()
    {
        const BlockDelta delta { { { block("10.1.2.0/24"), { 0, 169, 3 } }, { block("0.0.0.0/0"), { 1 } },
            { block("2001:db8:1::/48"), {} }, { block("2001::1/128"), { 2 } }, { block("1.2.3.4/32"), { 5 } } } };
        const auto bytes = delta.encode();
        CPPUNIT_ASSERT(BlockDelta::decode(bytes)->changes == delta.changes);
        CPPUNIT_ASSERT(bytes.size() < 60);
    }

    /** Garbage must give an error and no change. */
    void refusesDamagedDeltas()
    {
        const std::vector<std::string> damaged = { std::string("\x18\x0a\x01", 3), std::string("\x30", 1),
            std::string("\xff", 1), std::string("\x08\x0a\x7f\x01", 4), std::string("\x04\x0a\x01\x01", 4) };
        for (const auto& bytes : damaged)
            CPPUNIT_ASSERT(BlockDelta::decode(bytes).error().code == ErrorCode::ProtocolViolation);
    }

    /** A reader must never see half of a delta. Both blocks change together in each one. */
    void readersKeepTheirSnapshot()
    {
        BlockMap map(siteNames(100));
        CPPUNIT_ASSERT(map.apply({ { { block("10.0.0.0/8"), { 0 } }, { block("::/0"), { 0 } } } }));
        std::atomic<bool> isDone = false;
        std::atomic<bool> isTorn = false;
        std::thread reader([&] {
            while (!isDone) {
                const auto snapshot = map.snapshot();
                if (firstSite(*snapshot, address("10.0.0.1")) != firstSite(*snapshot, address("::1")))
                    isTorn = true;
            }
        });
        for (SiteIndex i = 0; i < 2000; ++i) {
            const auto site = static_cast<SiteIndex>(i % 100);
            CPPUNIT_ASSERT(map.apply({ { { block("10.0.0.0/8"), { site } }, { block("::/0"), { site } } } }));
        }
        isDone = true;
        reader.join();
        CPPUNIT_ASSERT(!isTorn);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BlockMapTest);
