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
};

CPPUNIT_TEST_SUITE_REGISTRATION(ByteAccountTest);
