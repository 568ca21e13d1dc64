#include "MessageSize.h"

namespace peridot::testing {

namespace {

    std::size_t varint(std::uint64_t value)
    {
        std::size_t bytes = 1;
        for (; value >= 128; value >>= 7)
            ++bytes;
        return bytes;
    }

    // Fields with default values take no bytes. Field numbers stay below 16, so each tag takes one byte.
    std::size_t number(std::uint64_t value) { return value == 0 ? 0 : 1 + varint(value); }
    std::size_t number(Duration value) { return number(static_cast<std::uint64_t>(value.count())); }
    std::size_t fixed(std::uint64_t value) { return value == 0 ? 0 : 9; }
    std::size_t nested(std::size_t bytes) { return 1 + varint(bytes) + bytes; }
    std::size_t text(const std::string& value) { return value.empty() ? 0 : nested(value.size()); }
    template <typename Tag> std::size_t text(const Id<Tag>& id) { return text(id.value()); }

    std::size_t size(const MemberInfo& value)
    {
        return text(value.id) + fixed(value.incarnation) + text(value.region) + text(value.failureDomain)
            + text(value.callerAddress) + text(value.peerAddress) + number(static_cast<std::uint64_t>(value.state))
            + number(value.ledgerEpoch);
    }
    std::size_t size(const ViewVersion& value) { return fixed(value.contentHash) + (value.isSilent ? 2 : 0); }
    std::size_t size(const KnownView& value) { return text(value.failureDomain) + nested(size(value.version)); }
    std::size_t size(const StoreAttestation& value) { return (value.isReachable ? 2 : 0) + number(value.age); }
    std::size_t size(const ServiceLoad& value)
    {
        return text(value.service) + number(value.slots) + number(value.inFlight) + number(value.queued);
    }
    std::size_t size(const EvidenceStatement& value)
    {
        return number(static_cast<std::uint64_t>(value.kind)) + number(value.version) + number(value.age);
    }

    std::size_t size(const DomainSummary&);

    template <typename T> std::size_t all(const std::vector<T>& values)
    {
        std::size_t bytes = 0;
        for (const auto& value : values)
            bytes += nested(size(value));
        return bytes;
    }

    std::size_t size(const DomainSummary& value)
    {
        std::size_t bytes = text(value.failureDomain) + text(value.region) + nested(size(value.version))
            + (value.isFull ? 2 : 0) + all(value.members) + number(value.lowestVersion) + nested(size(value.store))
            + all(value.loads) + number(value.age);
        for (const auto& id : value.removed)
            bytes += text(id);
        return bytes;
    }
    std::size_t size(const Heartbeat& value)
    {
        return nested(size(value.sender)) + number(value.sequence) + fixed(value.replyToken)
            + number(value.configurationVersion) + number(value.highestVersion) + nested(size(value.store))
            + nested(size(value.evidence)) + (value.wantsView ? 2 : 0) + fixed(value.viewHash) + all(value.known)
            + all(value.loads);
    }
    std::size_t size(const HeartbeatReply& value)
    {
        return number(value.sequence) + fixed(value.token) + nested(size(value.evidence)) + number(value.highestVersion)
            + number(value.witnessedVersion) + number(value.lowestVersion) + (value.isReachabilityWitnessed ? 2 : 0)
            + fixed(value.viewHash) + all(value.domains);
    }
    std::size_t size(const DigestPull& value)
    {
        return text(value.sender) + text(value.region) + text(value.failureDomain) + number(value.sequence)
            + number(value.highestVersion) + (value.isStoreReachable ? 2 : 0) + all(value.known);
    }
    std::size_t size(const Digest& value)
    {
        return number(value.sequence) + nested(size(value.evidence)) + number(value.highestVersion)
            + (value.isPeerReachable ? 2 : 0) + all(value.domains);
    }

}

std::size_t encodedBytes(const MembershipMessage& message, const MemberInfo& sender)
{
    static const std::string deployment = "plesni-caj";
    const auto envelope = text(deployment) + text(sender.id) + fixed(sender.incarnation) + text(sender.peerAddress);
    return envelope + std::visit([](const auto& body) { return nested(size(body)); }, message);
}

}
