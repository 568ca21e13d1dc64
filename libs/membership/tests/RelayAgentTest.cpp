// What a relay may conclude about the store: only from statements whose age is bounded, made by every member and every
// other domain.

#include "membership/RelayAgent.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <functional>

using namespace peridot;
using namespace std::chrono_literals;

class RelayAgentTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RelayAgentTest);
    CPPUNIT_TEST(concludesWithAllStatements);
    CPPUNIT_TEST(oneReachableMemberForbids);
    CPPUNIT_TEST(statementWithoutTokenForbids);
    CPPUNIT_TEST(oldTokenMakesOldStatement);
    CPPUNIT_TEST(otherDomainThatReachesForbids);
    CPPUNIT_TEST(domainThatDoesNotAnswerForbids);
    CPPUNIT_TEST(needsThePlatformList);
    CPPUNIT_TEST(membersDoNotVouch);
    CPPUNIT_TEST_SUITE_END();

    static MemberInfo member(const std::string& domain, const std::string& name)
    {
        return { InstanceId(name), 1, RegionId("r"), FailureDomainId(domain), name + ":80", name + ":7400",
            InstanceState::Ready, 0 };
    }

    /** One relay "a1" with a fellow member "a2", and the domain "b" with the relay "b1". */
    struct Setting {
        NullEventLog log;
        MemberInfo self = member("a", "a1");
        LiveView view;
        Evidence evidence;
        RelayAgent relay { {}, self, view, evidence, log };
        TimePoint now { 100s };
        std::map<InstanceId, std::uint64_t> tokens;
        std::uint64_t sequence = 0;
        bool hasList = true;
        std::function<void(Heartbeat&)> changeHeartbeat = [](Heartbeat&) {};
        std::function<std::optional<Digest>(Digest)> changeDigest = [](Digest digest) { return digest; };

        EvidenceKind run()
        {
            view.put(self);
            view.put(member("a", "a2"));
            view.put(member("b", "b1"));
            if (hasList)
                view.applyPlatformList({}, std::nullopt, now);
            for (int i = 0; i < 30; ++i, now += 100ms) {
                for (const auto& send : relay.tick({}, now)) {
                    const bool isFellow = send.to == InstanceId("a2");
                    if (auto digest = changeDigest(answer(send.message, isFellow ? "a" : "b")))
                        relay.receive(*digest, now + 1ms);
                }
                if (i % 5 == 0) {
                    heartbeat("a1");
                    heartbeat("a2");
                }
            }
            evidence.adopted(5);
            return evidence.kind(now);
        }

        static Digest answer(const DigestPull& pull, const std::string& domain)
        {
            Digest digest;
            digest.sequence = pull.sequence;
            digest.highest = StorePosition { 5 };
            DomainSummary summary;
            summary.failureDomain = FailureDomainId(domain);
            summary.region = RegionId("r");
            summary.store = { false, 300ms };
            digest.domains.push_back(summary);
            return digest;
        }

        void heartbeat(const std::string& name)
        {
            Heartbeat message;
            message.sender = member("a", name);
            message.sequence = ++sequence;
            message.replyToken = tokens[message.sender.id];
            changeHeartbeat(message);
            const auto reply = relay.receive(message, now);
            tokens[message.sender.id] = reply.token;
        }
    };

public:
    void concludesWithAllStatements()
    {
        Setting setting;
        CPPUNIT_ASSERT(setting.run() == EvidenceKind::StoreUnavailable);
        CPPUNIT_ASSERT_EQUAL(ConfigurationVersion { 5 }, setting.evidence.version());
        // As old as the oldest statement: made after the token of the heartbeat before.
        CPPUNIT_ASSERT(*setting.evidence.time() <= setting.now - 500ms);
        CPPUNIT_ASSERT(*setting.evidence.time() > setting.now - Evidence::s_attestationLimit);
    }

    void oneReachableMemberForbids()
    {
        Setting setting;
        setting.changeHeartbeat
            = [](Heartbeat& message) { message.store.isReachable = message.sender.id == InstanceId("a2"); };
        CPPUNIT_ASSERT(setting.run() == EvidenceKind::None);
    }

    void statementWithoutTokenForbids()
    {
        Setting setting;
        setting.changeHeartbeat = [](Heartbeat& message) { message.replyToken = 0; };
        CPPUNIT_ASSERT(setting.run() == EvidenceKind::None);
    }

    void oldTokenMakesOldStatement()
    {
        Setting setting;
        std::uint64_t first = 0;
        // A member whose heartbeats are 3 s late in the network echoes tokens that are as old.
        setting.changeHeartbeat = [&](Heartbeat& message) {
            first = first == 0 ? message.replyToken : first;
            message.replyToken = first;
        };
        setting.run();
        const auto time = setting.evidence.time();
        CPPUNIT_ASSERT(!time || *time < TimePoint { 101s });
    }

    void otherDomainThatReachesForbids()
    {
        for (const bool isPeer : { false, true }) {
            Setting setting;
            setting.changeDigest = [isPeer](Digest digest) {
                digest.domains.front().store.isReachable = !isPeer;
                digest.isPeerReachable = isPeer;
                return digest;
            };
            CPPUNIT_ASSERT(setting.run() == EvidenceKind::None);
        }
    }

    void domainThatDoesNotAnswerForbids()
    {
        for (const char* silent : { "a", "b" }) {
            Setting setting;
            setting.changeDigest = [silent](Digest digest) {
                return digest.domains.front().failureDomain.value() == silent ? std::nullopt : std::optional(digest);
            };
            CPPUNIT_ASSERT_MESSAGE(silent, setting.run() == EvidenceKind::None);
        }
    }

    void needsThePlatformList()
    {
        Setting setting;
        setting.hasList = false;
        CPPUNIT_ASSERT(setting.run() == EvidenceKind::None);
    }

    void membersDoNotVouch()
    {
        Setting setting;
        setting.changeDigest = [](const Digest&) { return std::nullopt; };
        setting.changeHeartbeat = [](Heartbeat& message) {
            message.evidence = { EvidenceKind::StoreUnavailable, 5, 0s };
        };
        CPPUNIT_ASSERT(setting.run() == EvidenceKind::None);
        setting.changeHeartbeat = [](Heartbeat& message) { message.evidence = { EvidenceKind::Confirmed, 5, 0s }; };
        CPPUNIT_ASSERT(setting.run() == EvidenceKind::Confirmed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayAgentTest);
