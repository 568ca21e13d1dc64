// The bound on the bytes of all messages of the process.

#include "http/ByteAccount.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>

using namespace peridot;

class ByteAccountTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ByteAccountTest);
    CPPUNIT_TEST(largestMessageMakesRoom);
    CPPUNIT_TEST(messageThatIsTheLargestEndsItself);
    CPPUNIT_TEST(readyMessagesAreCountedOnly);
    CPPUNIT_TEST(revokedBytesCountUntilTheyAreGivenBack);
    CPPUNIT_TEST(messageWithoutProgressMakesRoomFirst);
    CPPUNIT_TEST(smallMessageDoesNotEndForALargeOne);
    CPPUNIT_TEST(largeMessagesLeaveRoomToSmallOnes);
    CPPUNIT_TEST(messageThatNobodyTakesMakesRoomLate);
    CPPUNIT_TEST(timeToRoomEndsWithTheLongestStall);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Small messages would end because of a large one. */
    void largestMessageMakesRoom()
    {
        const auto account = std::make_shared<ByteAccount>(100);
        int largeEnds = 0;
        int smallEnds = 0;
        ByteAccount::Claim large(account, [&] { ++largeEnds; });
        ByteAccount::Claim small(account, [&] { ++smallEnds; });
        CPPUNIT_ASSERT(large.resize(80));
        CPPUNIT_ASSERT(small.resize(20));
        CPPUNIT_ASSERT(small.resize(30));
        CPPUNIT_ASSERT(largeEnds == 1 && smallEnds == 0);
        CPPUNIT_ASSERT(!large.resize(90));
        large.resize(0);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 30 }, account->held());
        CPPUNIT_ASSERT(large.resize(60)); // Its next message.
        CPPUNIT_ASSERT_EQUAL(1, largeEnds);
    }

    void messageThatIsTheLargestEndsItself()
    {
        const auto account = std::make_shared<ByteAccount>(100);
        int ends = 0;
        ByteAccount::Claim other(account, [&] { ++ends; });
        ByteAccount::Claim large(account, [] {});
        CPPUNIT_ASSERT(other.resize(30));
        CPPUNIT_ASSERT(!large.resize(80));
        CPPUNIT_ASSERT_EQUAL(0, ends);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, account->revocations());
    }

    /** Responses that are written to slow callers take the room of those that are still read. */
    void readyMessagesAreCountedOnly()
    {
        const auto account = std::make_shared<ByteAccount>(100);
        int ends = 0;
        ByteAccount::Claim read(account, [&] { ++ends; });
        ByteAccount::Claim ready(account, {});
        CPPUNIT_ASSERT(read.resize(50));
        CPPUNIT_ASSERT(ready.resize(90));
        CPPUNIT_ASSERT_EQUAL(1, ends);
        CPPUNIT_ASSERT(ready.resize(200));
    }

    /** One shortage would end every message in turn. */
    void revokedBytesCountUntilTheyAreGivenBack()
    {
        const auto account = std::make_shared<ByteAccount>(100);
        int ends = 0;
        std::optional<ByteAccount::Claim> first;
        first.emplace(account, [&] { ++ends; });
        ByteAccount::Claim second(account, [&] { ++ends; });
        first->resize(90);
        second.resize(40);
        second.resize(60);
        CPPUNIT_ASSERT_EQUAL(1, ends);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 150 }, account->held());
        first.reset();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 60 }, account->held());
    }

    /** Callers that stop short of the end of their bodies kept others out for as long as a body may take. */
    void messageWithoutProgressMakesRoomFirst()
    {
        TimePoint now {};
        const auto account = std::make_shared<ByteAccount>(100, [&] { return now; });
        int stalledEnds = 0;
        int activeEnds = 0;
        ByteAccount::Claim stalled(account, [&] { ++stalledEnds; });
        ByteAccount::Claim active(account, [&] { ++activeEnds; });
        stalled.resize(40);
        active.resize(50);
        now += std::chrono::seconds { 2 };
        active.noteProgress();
        ByteAccount::Claim next(account, [] {});
        CPPUNIT_ASSERT(next.resize(30));
        CPPUNIT_ASSERT(stalledEnds == 1 && activeEnds == 0);
    }

    void smallMessageDoesNotEndForALargeOne()
    {
        TimePoint now {};
        const auto account = std::make_shared<ByteAccount>(100, [&] { return now; });
        int smallEnds = 0;
        ByteAccount::Claim small(account, [&] { ++smallEnds; });
        small.resize(30);
        now += std::chrono::seconds { 10 };
        ByteAccount::Claim large(account, [] {});
        CPPUNIT_ASSERT(!large.resize(80));
        CPPUNIT_ASSERT_EQUAL(0, smallEnds);
    }

    /** Whole requests are never ended, so that some large ones could take all the room for as long as they run. */
    void largeMessagesLeaveRoomToSmallOnes()
    {
        const auto account = std::make_shared<ByteAccount>(1'000'000);
        ByteAccount::Claim held(account, [] {});
        CPPUNIT_ASSERT(held.resize(account->largestMessage()));
        held.hold();
        ByteAccount::Claim large(account, [] {});
        CPPUNIT_ASSERT(!large.resize(70'000));
        large.resize(0);
        ByteAccount::Claim small(account, [] {});
        CPPUNIT_ASSERT(small.resize(60'000));
        CPPUNIT_ASSERT(account->largestMessage() < 1'000'000 - 60'000);
    }

    void messageThatNobodyTakesMakesRoomLate()
    {
        TimePoint now {};
        const auto account = std::make_shared<ByteAccount>(100, [&] { return now; });
        int ends = 0;
        ByteAccount::Claim ready(
            account, [&] { ++ends; }, MessageKind::Response, ClaimStage::Writing);
        ready.resize(80);
        now += std::chrono::seconds { 2 };
        {
            ByteAccount::Claim other(account, [] {});
            CPPUNIT_ASSERT(!other.resize(40));
        }
        now += std::chrono::seconds { 4 };
        ByteAccount::Claim other(account, [] {});
        CPPUNIT_ASSERT(other.resize(40));
        CPPUNIT_ASSERT_EQUAL(1, ends);
    }

    /** Callers come back in vain before it. */
    void timeToRoomEndsWithTheLongestStall()
    {
        TimePoint now {};
        const auto account = std::make_shared<ByteAccount>(100, [&] { return now; });
        CPPUNIT_ASSERT_EQUAL(Duration { std::chrono::seconds { 1 } }.count(), account->timeToRoom().count());
        ByteAccount::Claim stalled(account, [] {});
        stalled.resize(80);
        now += std::chrono::milliseconds { 700 };
        CPPUNIT_ASSERT_EQUAL(Duration { std::chrono::milliseconds { 300 } }.count(), account->timeToRoom().count());
        now += std::chrono::seconds { 5 };
        CPPUNIT_ASSERT(account->timeToRoom() > Duration { 0 });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ByteAccountTest);
