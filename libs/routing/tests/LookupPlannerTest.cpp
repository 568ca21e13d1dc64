// Lookup answers must list usable instances only, spread clients evenly and say when a client leaves its home region.

#include "routing/LookupPlanner.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

const ServiceId salonik("salonik");
const RegionId jadran("jadran");
const RegionId slavonija("slavonija");
const RegionId zagorje("zagorje");

/** Three regions at the same distance, with two failure domains of two instances each. */
LookupInputs threeRegions()
{
    LookupInputs inputs;
    inputs.localRegion = zagorje;
    for (const auto& region : { jadran, slavonija, zagorje }) {
        for (int i = 0; i < 4; ++i) {
            MemberInfo member;
            member.id = InstanceId(region.value() + std::to_string(i));
            member.region = region;
            member.failureDomain = FailureDomainId(region.value() + (i % 2 ? "-b" : "-a"));
            member.state = InstanceState::Ready;
            inputs.instances.push_back(member);
        }
        inputs.headroom[{ region, salonik }] = 0.3;
        for (const auto& other : { jadran, slavonija, zagorje })
            inputs.delays[{ region, other }] = region == other ? 1ms : 55ms;
    }
    return inputs;
}

}

class LookupPlannerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LookupPlannerTest);
    CPPUNIT_TEST(listsHomeRegionFirstWithTwoDomains);
    CPPUNIT_TEST(spreadsEvenlyAndMovesFewClients);
    CPPUNIT_TEST(neverListsUnusableInstances);
    CPPUNIT_TEST(drainedHomeShiftsByHeadroom);
    CPPUNIT_TEST(nearRegionComesBeforeFarOne);
    CPPUNIT_TEST(noRegionGivesNoInstances);
    CPPUNIT_TEST_SUITE_END();

public:
    /** If one failure domain is lost, its clients must find another one in their answer. */
    void listsHomeRegionFirstWithTwoDomains()
    {
        auto inputs = threeRegions();
        // Most instances in one domain: chance alone would often list only that one.
        for (int i = 4; i < 24; ++i) {
            auto member = inputs.instances.front();
            member.id = InstanceId("jadran" + std::to_string(i));
            inputs.instances.push_back(member);
        }
        const auto plan = LookupPlanner().build(inputs);
        for (std::uint64_t seed = 0; seed < 500; ++seed) {
            const auto answer = plan->answer(jadran, salonik, seed);
            CPPUNIT_ASSERT(!answer.shift);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 5 }, answer.instances.size());
            std::set<FailureDomainId> domains;
            for (int i = 0; i < 3; ++i) {
                CPPUNIT_ASSERT(answer.instances[static_cast<std::size_t>(i)].region == jadran);
                domains.insert(answer.instances[static_cast<std::size_t>(i)].failureDomain);
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, domains.size());
            CPPUNIT_ASSERT(answer.instances[3].region != answer.instances[4].region);
        }
    }

    /** An uneven spread would overload an instance; an unstable one would spread a small client over all of them. */
    void spreadsEvenlyAndMovesFewClients()
    {
        auto inputs = threeRegions();
        const auto plan = LookupPlanner().build(inputs);
        inputs.drainedInstances = { InstanceId("jadran2") };
        const auto without = LookupPlanner().build(inputs);
        std::map<InstanceId, int> firsts;
        for (std::uint64_t seed = 0; seed < 8000; ++seed) {
            const auto first = plan->answer(jadran, salonik, seed).instances.front().name;
            ++firsts[first];
            CPPUNIT_ASSERT(first == plan->answer(jadran, salonik, seed).instances.front().name);
            const auto then = without->answer(jadran, salonik, seed).instances.front().name;
            CPPUNIT_ASSERT(then == first || first == InstanceId("jadran2"));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, firsts.size());
        for (const auto& [id, count] : firsts)
            CPPUNIT_ASSERT(count > 1800 && count < 2200);
    }

    void neverListsUnusableInstances()
    {
        std::mt19937_64 random(5);
        for (int round = 0; round < 300; ++round) {
            auto inputs = threeRegions();
            std::set<InstanceId> unusable;
            for (auto& member : inputs.instances) {
                member.state = random() % 4 ? InstanceState::Ready
                    : random() % 2          ? InstanceState::Leaving
                                            : InstanceState::Starting;
                if (random() % 8 == 0)
                    inputs.drainedInstances.insert(member.id);
                if (random() % 12 == 0)
                    inputs.drainedFailureDomains.insert(member.failureDomain);
                if (random() % 24 == 0)
                    inputs.drainedRegions.insert(member.region);
            }
            for (const auto& member : inputs.instances) {
                if (member.state != InstanceState::Ready || inputs.drainedInstances.count(member.id)
                    || inputs.drainedFailureDomains.count(member.failureDomain)
                    || inputs.drainedRegions.count(member.region))
                    unusable.insert(member.id);
            }
            const auto plan = LookupPlanner().build(inputs);
            const auto answer = plan->answer(slavonija, salonik, random());
            CPPUNIT_ASSERT_EQUAL(unusable.size() == inputs.instances.size(), answer.instances.empty());
            for (const auto& entry : answer.instances)
                CPPUNIT_ASSERT(!unusable.count(entry.name));
            CPPUNIT_ASSERT(
                answer.instances.empty() || answer.shift.has_value() == (answer.instances.front().region != slavonija));
        }
    }

    /** A lost region's clients must not all go to one region, nor move without the caller knowing of the shift. */
    void drainedHomeShiftsByHeadroom()
    {
        auto inputs = threeRegions();
        inputs.drainedRegions = { jadran };
        inputs.headroom[{ slavonija, salonik }] = 0.1;
        const auto plan = LookupPlanner().build(inputs);
        CPPUNIT_ASSERT(!plan->isServing(jadran));
        int toZagorje = 0;
        for (std::uint64_t seed = 0; seed < 4000; ++seed) {
            const auto answer = plan->answer(jadran, salonik, seed);
            CPPUNIT_ASSERT(answer.shift->from == jadran);
            CPPUNIT_ASSERT(answer.shift->to == answer.instances.front().region);
            toZagorje += answer.shift->to == zagorje;
        }
        CPPUNIT_ASSERT(toZagorje > 2800 && toZagorje < 3200);
        inputs.headroom[{ zagorje, salonik }] = 0;
        const auto full = LookupPlanner().build(inputs);
        for (std::uint64_t seed = 0; seed < 100; ++seed)
            CPPUNIT_ASSERT(full->answer(jadran, salonik, seed).shift->to == slavonija);
    }

    void nearRegionComesBeforeFarOne()
    {
        auto inputs = threeRegions();
        inputs.drainedRegions = { jadran };
        inputs.delays[{ jadran, slavonija }] = 12ms;
        inputs.headroom[{ slavonija, salonik }] = 0.05;
        const auto plan = LookupPlanner().build(inputs);
        for (std::uint64_t seed = 0; seed < 100; ++seed)
            CPPUNIT_ASSERT(plan->answer(jadran, salonik, seed).shift->to == slavonija);
        CPPUNIT_ASSERT(plan->answer(std::nullopt, salonik, 1).instances.front().region == zagorje);
        CPPUNIT_ASSERT(!plan->answer(std::nullopt, salonik, 1).shift);
    }

    void noRegionGivesNoInstances()
    {
        const auto answer = LookupPlanner().build({})->answer(jadran, salonik, 1);
        CPPUNIT_ASSERT(answer.instances.empty() && !answer.shift);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LookupPlannerTest);
