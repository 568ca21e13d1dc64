// Conversion between the message structs and the protobuf schema, with checks on everything that was received.

#include "wire/Codec.h"

#include "base/Names.h"
#include "peer.pb.h"

#include <google/protobuf/stubs/logging.h>

#include <algorithm>
#include <limits>

namespace peridot {

namespace {

    constexpr int maximumItems = 100000;
    // An age beyond this is no less useless; the bound keeps sums of ages far from overflow.
    constexpr std::uint64_t maximumDurationMicroseconds = 366ULL * 24 * 3600 * 1000000;

    /** Thrown inside decode() only. */
    struct DecodeError {
        const char* what;
    };

    void require(bool condition, const char* what)
    {
        if (!condition)
            throw DecodeError { what };
    }

    const std::string& name(const std::string& value)
    {
        // Protobuf has checked that the text is UTF-8.
        require(value.empty() || isName(value), "name too long or with a control character");
        return value;
    }

    const std::string& nonEmptyName(const std::string& value)
    {
        require(!value.empty(), "name missing");
        return name(value);
    }

    Duration duration(std::uint64_t microseconds)
    {
        require(microseconds <= maximumDurationMicroseconds, "duration out of range");
        return Duration { static_cast<Duration::rep>(microseconds) };
    }

    std::uint64_t microseconds(Duration value)
    {
        const auto count = std::max<Duration::rep>(value.count(), 0);
        return std::min(static_cast<std::uint64_t>(count), maximumDurationMicroseconds);
    }

    Units units(std::uint64_t value)
    {
        require(value <= static_cast<std::uint64_t>(std::numeric_limits<Units>::max()), "units out of range");
        return static_cast<Units>(value);
    }

    std::uint64_t unitCount(Units value) { return static_cast<std::uint64_t>(std::max<Units>(value, 0)); }

    template <typename Enum> Enum enumValue(int value)
    {
        const auto candidate = static_cast<Enum>(value);
        require(enumName(candidate) != "unknown", "enumeration value unknown");
        return candidate;
    }

    template <typename Field> void requireBounded(const Field& field)
    {
        require(field.size() <= maximumItems, "too many items");
    }

    void write(const MemberInfo& from, const Envelope* envelope, proto::MemberInfo& to)
    {
        if (!envelope || from.id != envelope->sender)
            to.set_id(from.id.value());
        if (!envelope || from.incarnation != envelope->incarnation)
            to.set_incarnation(from.incarnation);
        to.set_region(from.region.value());
        to.set_failure_domain(from.failureDomain.value());
        to.set_caller_address(from.callerAddress);
        if (!envelope || from.peerAddress != envelope->senderAddress)
            to.set_peer_address(from.peerAddress);
        to.set_state(static_cast<proto::InstanceState>(from.state));
        to.set_ledger_epoch(from.ledgerEpoch);
        to.set_is_detached(from.isDetached);
        to.set_link_megabits(from.linkMegabits);
    }

    MemberInfo read(const proto::MemberInfo& from, const Envelope* envelope)
    {
        MemberInfo to;
        to.id = InstanceId { name(from.id()) };
        to.incarnation = from.incarnation();
        to.peerAddress = name(from.peer_address());
        if (envelope) {
            if (to.id.isEmpty())
                to.id = envelope->sender;
            if (to.incarnation == 0)
                to.incarnation = envelope->incarnation;
            if (to.peerAddress.empty())
                to.peerAddress = envelope->senderAddress;
        }
        require(!to.id.isEmpty(), "member without id");
        to.region = RegionId { nonEmptyName(from.region()) };
        to.failureDomain = FailureDomainId { nonEmptyName(from.failure_domain()) };
        to.callerAddress = name(from.caller_address());
        to.state = enumValue<InstanceState>(from.state());
        to.ledgerEpoch = from.ledger_epoch();
        to.isDetached = from.is_detached();
        to.linkMegabits = from.link_megabits();
        return to;
    }

    void write(const StoreAttestation& from, proto::StoreAttestation& to)
    {
        to.set_is_reachable(from.isReachable);
        to.set_age_us(microseconds(from.age));
    }

    StoreAttestation read(const proto::StoreAttestation& from)
    {
        return { from.is_reachable(), duration(from.age_us()) };
    }

    constexpr double highestRate = 1e9;

    double boundedRate(double rate)
    {
        if (!(rate >= 0 && rate <= highestRate))
            throw DecodeError { "a rate is out of range" };
        return rate;
    }

    void write(const ServiceLoad& from, proto::ServiceLoad& to)
    {
        to.set_service(from.service.value());
        to.set_slots(from.slots);
        to.set_in_flight(from.inFlight);
        to.set_queued(from.queued);
        to.set_offered(std::min(from.offered, highestRate));
    }

    ServiceLoad read(const proto::ServiceLoad& from)
    {
        return { ServiceId { nonEmptyName(from.service()) }, from.slots(), from.in_flight(), from.queued(),
            boundedRate(from.offered()) };
    }

    void write(const EvidenceStatement& from, proto::EvidenceStatement& to)
    {
        to.set_kind(static_cast<proto::EvidenceKind>(from.kind));
        to.set_version(from.version);
        to.set_age_us(microseconds(from.age));
    }

    EvidenceStatement read(const proto::EvidenceStatement& from)
    {
        return { enumValue<EvidenceKind>(from.kind()), from.version(), duration(from.age_us()) };
    }

    void write(const WorkspaceDemand& from, proto::WorkspaceDemand& to)
    {
        to.set_workspace(from.workspace.value());
        to.set_requests_per_second(std::min(from.requestsPerSecond, highestRate));
    }

    WorkspaceDemand read(const proto::WorkspaceDemand& from)
    {
        return { WorkspaceId { nonEmptyName(from.workspace()) }, boundedRate(from.requests_per_second()) };
    }

    void write(const ServerReport& from, proto::ServerReport& to)
    {
        to.set_server(from.server.value());
        to.set_incarnation(from.incarnation);
        to.set_requests_per_second(from.requestsPerSecond);
        to.set_age_us(microseconds(from.age));
        to.set_is_leaving(from.isLeaving);
    }

    ServerReport read(const proto::ServerReport& from)
    {
        require(from.requests_per_second() >= 0, "a limit is no rate");
        return { BackendServerId { nonEmptyName(from.server()) }, from.incarnation(), from.requests_per_second(),
            duration(from.age_us()), from.is_leaving() };
    }

    void write(const ViewVersion& from, proto::ViewVersion& to)
    {
        to.set_content_hash(from.contentHash);
        to.set_is_silent(from.isSilent);
    }

    ViewVersion read(const proto::ViewVersion& from) { return { from.content_hash(), from.is_silent() }; }

    void write(const KnownView& from, proto::KnownView& to)
    {
        to.set_failure_domain(from.failureDomain.value());
        write(from.version, *to.mutable_version());
    }

    KnownView read(const proto::KnownView& from)
    {
        return { FailureDomainId { nonEmptyName(from.failure_domain()) }, read(from.version()) };
    }

    void write(const DomainSummary& from, proto::DomainSummary& to)
    {
        to.set_failure_domain(from.failureDomain.value());
        to.set_region(from.region.value());
        write(from.version, *to.mutable_version());
        to.set_is_full(from.isFull);
        for (const auto& member : from.members)
            write(member, nullptr, *to.add_members());
        for (const auto& id : from.removed)
            to.add_removed(id.value());
        to.set_lowest_version(from.lowestVersion);
        write(from.store, *to.mutable_store());
        for (const auto& load : from.loads)
            write(load, *to.add_loads());
        for (const auto& demand : from.demands)
            write(demand, *to.add_demands());
        for (const auto& report : from.serverReports)
            write(report, *to.add_server_reports());
        to.set_age_us(microseconds(from.age));
    }

    DomainSummary read(const proto::DomainSummary& from)
    {
        DomainSummary to;
        to.failureDomain = FailureDomainId { nonEmptyName(from.failure_domain()) };
        to.region = RegionId { nonEmptyName(from.region()) };
        to.version = read(from.version());
        to.isFull = from.is_full();
        requireBounded(from.members());
        for (const auto& member : from.members())
            to.members.push_back(read(member, nullptr));
        requireBounded(from.removed());
        for (const auto& id : from.removed())
            to.removed.emplace_back(nonEmptyName(id));
        to.lowestVersion = from.lowest_version();
        to.store = read(from.store());
        requireBounded(from.loads());
        for (const auto& load : from.loads())
            to.loads.push_back(read(load));
        requireBounded(from.demands());
        for (const auto& demand : from.demands())
            to.demands.push_back(read(demand));
        requireBounded(from.server_reports());
        for (const auto& report : from.server_reports())
            to.serverReports.push_back(read(report));
        to.age = duration(from.age_us());
        return to;
    }

    void write(const BudgetDemandItem& from, proto::BudgetDemandItem& to)
    {
        to.set_kind(static_cast<proto::BudgetKind>(from.key.kind));
        to.set_subject(from.key.subject);
        to.set_spent_total(unitCount(from.spentTotal));
        to.set_expired_total(unitCount(from.expiredTotal));
        to.set_held(unitCount(from.held));
        to.set_wanted(unitCount(from.wanted));
        to.set_refused_total(unitCount(from.refusedTotal));
    }

    BudgetDemandItem read(const proto::BudgetDemandItem& from)
    {
        BudgetDemandItem to;
        to.key = { enumValue<BudgetKind>(from.kind()), nonEmptyName(from.subject()) };
        to.spentTotal = units(from.spent_total());
        to.expiredTotal = units(from.expired_total());
        to.held = units(from.held());
        to.wanted = units(from.wanted());
        to.refusedTotal = units(from.refused_total());
        return to;
    }

    void write(const BudgetGrantItem& from, proto::BudgetGrantItem& to)
    {
        to.set_kind(static_cast<proto::BudgetKind>(from.key.kind));
        to.set_subject(from.key.subject);
        to.set_granted(unitCount(from.granted));
        to.set_validity_us(microseconds(from.validity));
        to.set_refill_us(microseconds(from.refillTime));
    }

    BudgetGrantItem read(const proto::BudgetGrantItem& from)
    {
        BudgetGrantItem to;
        to.key = { enumValue<BudgetKind>(from.kind()), nonEmptyName(from.subject()) };
        to.granted = units(from.granted());
        to.validity = duration(from.validity_us());
        to.refillTime = duration(from.refill_us());
        return to;
    }

    void write(const ValueId& from, proto::ValueId& to)
    {
        to.set_high(from.high);
        to.set_low(from.low);
        to.set_bytes(from.bytes);
    }

    ValueId read(const proto::ValueId& from)
    {
        if (from.bytes() > maximumValueBytes)
            throw DecodeError { "a value is too large" };
        return { from.high(), from.low(), from.bytes() };
    }

    /** Without the era, which the message states once for all rows. */
    void write(const StoreRow& from, proto::TableRow& to)
    {
        to.set_key(from.key);
        to.set_value(from.value);
        to.set_version(from.position.version);
        to.set_is_removed(from.isRemoved);
        if (from.largeValue)
            write(*from.largeValue, *to.mutable_large_value());
    }

    StoreRow read(const proto::TableRow& from)
    {
        StoreRow to { from.key(), from.value(), StorePosition { from.version() }, from.is_removed() };
        if (from.has_large_value())
            to.largeValue = read(from.large_value());
        return to;
    }

    template <typename Message> std::optional<StoreEra> readEra(const Message& from)
    {
        return from.has_era() ? std::optional<StoreEra>(from.era()) : std::nullopt;
    }

    template <typename Message> void writeEra(std::optional<StoreEra> era, Message& to)
    {
        if (era)
            to.set_era(*era);
    }

    template <typename Message> void writeHighest(const StorePosition& from, Message& to)
    {
        to.set_highest_version(from.version);
        if (from.era)
            to.set_highest_era(*from.era);
    }

    template <typename Message> StorePosition readHighest(const Message& from)
    {
        StorePosition to { from.highest_version() };
        if (from.has_highest_era())
            to.era = from.highest_era();
        return to;
    }

    template <typename From, typename To> void writeAll(const From& from, To* to)
    {
        for (const auto& item : from)
            write(item, *to->Add());
    }

    template <typename To, typename From> std::vector<To> readAll(const From& from)
    {
        requireBounded(from);
        std::vector<To> to;
        to.reserve(static_cast<std::size_t>(from.size()));
        for (const auto& item : from)
            to.push_back(read(item));
        return to;
    }

    /** Writes the body of an envelope. */
    struct BodyWriter {
        const Envelope& envelope;
        proto::Envelope& out;

        void operator()(const Heartbeat& from) const
        {
            auto& to = *out.mutable_heartbeat();
            write(from.sender, &envelope, *to.mutable_sender());
            to.set_sequence(from.sequence);
            to.set_reply_token(from.replyToken);
            to.set_configuration_version(from.configurationVersion);
            writeHighest(from.highest, to);
            write(from.store, *to.mutable_store());
            write(from.evidence, *to.mutable_evidence());
            to.set_wants_view(from.wantsView);
            to.set_view_hash(from.viewHash);
            writeAll(from.known, to.mutable_known());
            writeAll(from.loads, to.mutable_loads());
            writeAll(from.demands, to.mutable_demands());
            writeAll(from.serverReports, to.mutable_server_reports());
        }

        void operator()(const HeartbeatReply& from) const
        {
            auto& to = *out.mutable_heartbeat_reply();
            to.set_sequence(from.sequence);
            to.set_token(from.token);
            write(from.evidence, *to.mutable_evidence());
            writeHighest(from.highest, to);
            to.set_witnessed_version(from.witnessedVersion);
            to.set_lowest_version(from.lowestVersion);
            to.set_is_reachability_witnessed(from.isReachabilityWitnessed);
            to.set_view_hash(from.viewHash);
            writeAll(from.domains, to.mutable_domains());
        }

        void operator()(const DigestPull& from) const
        {
            auto& to = *out.mutable_digest_pull();
            if (from.sender != envelope.sender)
                to.set_sender(from.sender.value());
            to.set_region(from.region.value());
            to.set_failure_domain(from.failureDomain.value());
            to.set_sequence(from.sequence);
            writeHighest(from.highest, to);
            to.set_is_store_reachable(from.isStoreReachable);
            writeAll(from.known, to.mutable_known());
        }

        void operator()(const Digest& from) const
        {
            auto& to = *out.mutable_digest();
            to.set_sequence(from.sequence);
            write(from.evidence, *to.mutable_evidence());
            writeHighest(from.highest, to);
            to.set_is_peer_reachable(from.isPeerReachable);
            writeAll(from.domains, to.mutable_domains());
        }

        void operator()(const BudgetDemand& from) const
        {
            auto& to = *out.mutable_budget_demand();
            if (from.holder != envelope.sender)
                to.set_holder(from.holder.value());
            if (from.incarnation != envelope.incarnation)
                to.set_incarnation(from.incarnation);
            to.set_sequence(from.sequence);
            writeAll(from.items, to.mutable_items());
        }

        void operator()(const BudgetGrant& from) const
        {
            auto& to = *out.mutable_budget_grant();
            to.set_region(from.region.value());
            to.set_epoch(from.epoch);
            to.set_incarnation(from.incarnation);
            to.set_sequence(from.sequence);
            writeAll(from.items, to.mutable_items());
        }

        void operator()(const ConfigurationPull& from) const
        {
            auto& to = *out.mutable_configuration_pull();
            to.set_sequence(from.sequence);
            to.set_have_version(from.haveVersion);
            writeEra(from.era, to);
            to.set_takes_large_values(from.takesLargeValues);
        }

        void operator()(const ConfigurationObject& from) const
        {
            auto& to = *out.mutable_configuration_object();
            to.set_sequence(from.sequence);
            to.set_version(from.version);
            to.set_body(from.body);
            writeEra(from.era, to);
        }

        void operator()(const TablePull& from) const
        {
            auto& to = *out.mutable_table_pull();
            to.set_sequence(from.sequence);
            to.set_table(from.table);
            to.set_version(from.position.version);
            writeEra(from.position.era, to);
            to.set_wait_us(microseconds(from.wait));
            to.set_wants_all(from.wantsAll);
            // Left out where it equals that of the position, as in all but the first moments of an era.
            if (from.newestEra && from.newestEra != from.position.era)
                to.set_newest_era(*from.newestEra);
            to.set_takes_large_values(from.takesLargeValues);
        }

        void operator()(const TableChanges& from) const
        {
            auto& to = *out.mutable_table_changes();
            to.set_sequence(from.sequence);
            to.set_is_known(from.isKnown);
            to.set_version(from.position.version);
            writeEra(from.position.era, to);
            to.set_age_us(microseconds(from.age));
            to.set_held_us(microseconds(from.held));
            writeAll(from.rows, to.mutable_rows());
            to.set_is_whole(from.isWhole);
        }

        void operator()(const ValuePull& from) const
        {
            auto& to = *out.mutable_value_pull();
            write(from.id, *to.mutable_id());
            if (from.base)
                write(*from.base, *to.mutable_base());
            to.set_offset(from.offset);
        }

        void operator()(const ValuePart& from) const
        {
            auto& to = *out.mutable_value_part();
            write(from.id, *to.mutable_id());
            to.set_is_known(from.isKnown);
            to.set_uses_base(from.usesBase);
            to.set_encoded_bytes(from.encodedBytes);
            to.set_encoded_hash(from.encodedHash);
            to.set_offset(from.offset);
            to.set_bytes(from.bytes);
        }
    };

    Heartbeat read(const proto::Heartbeat& from, const Envelope& envelope)
    {
        Heartbeat to;
        to.sender = read(from.sender(), &envelope);
        to.sequence = from.sequence();
        to.replyToken = from.reply_token();
        to.configurationVersion = from.configuration_version();
        to.highest = readHighest(from);
        to.store = read(from.store());
        to.evidence = read(from.evidence());
        to.wantsView = from.wants_view();
        to.viewHash = from.view_hash();
        to.known = readAll<KnownView>(from.known());
        to.loads = readAll<ServiceLoad>(from.loads());
        to.demands = readAll<WorkspaceDemand>(from.demands());
        to.serverReports = readAll<ServerReport>(from.server_reports());
        return to;
    }

    HeartbeatReply read(const proto::HeartbeatReply& from)
    {
        HeartbeatReply to;
        to.sequence = from.sequence();
        to.token = from.token();
        to.evidence = read(from.evidence());
        to.highest = readHighest(from);
        to.witnessedVersion = from.witnessed_version();
        to.lowestVersion = from.lowest_version();
        to.isReachabilityWitnessed = from.is_reachability_witnessed();
        to.viewHash = from.view_hash();
        to.domains = readAll<DomainSummary>(from.domains());
        return to;
    }

    Digest read(const proto::Digest& from)
    {
        Digest to;
        to.sequence = from.sequence();
        to.evidence = read(from.evidence());
        to.highest = readHighest(from);
        to.isPeerReachable = from.is_peer_reachable();
        to.domains = readAll<DomainSummary>(from.domains());
        return to;
    }

    DigestPull read(const proto::DigestPull& from, const Envelope& envelope)
    {
        DigestPull to;
        to.sender = from.sender().empty() ? envelope.sender : InstanceId { name(from.sender()) };
        to.region = RegionId { nonEmptyName(from.region()) };
        to.failureDomain = FailureDomainId { nonEmptyName(from.failure_domain()) };
        to.sequence = from.sequence();
        to.highest = readHighest(from);
        to.isStoreReachable = from.is_store_reachable();
        to.known = readAll<KnownView>(from.known());
        return to;
    }

    BudgetDemand read(const proto::BudgetDemand& from, const Envelope& envelope)
    {
        BudgetDemand to;
        to.holder = from.holder().empty() ? envelope.sender : InstanceId { name(from.holder()) };
        to.incarnation = from.incarnation() == 0 ? envelope.incarnation : from.incarnation();
        to.sequence = from.sequence();
        to.items = readAll<BudgetDemandItem>(from.items());
        return to;
    }

    PeerMessage readBody(const proto::Envelope& from, const Envelope& envelope)
    {
        switch (from.body_case()) {
        case proto::Envelope::kHeartbeat:
            return read(from.heartbeat(), envelope);
        case proto::Envelope::kHeartbeatReply:
            return read(from.heartbeat_reply());
        case proto::Envelope::kDigestPull:
            return read(from.digest_pull(), envelope);
        case proto::Envelope::kDigest:
            return read(from.digest());
        case proto::Envelope::kBudgetDemand:
            return read(from.budget_demand(), envelope);
        case proto::Envelope::kBudgetGrant: {
            const auto& body = from.budget_grant();
            return BudgetGrant { RegionId { nonEmptyName(body.region()) }, body.epoch(), body.incarnation(),
                body.sequence(), readAll<BudgetGrantItem>(body.items()) };
        }
        case proto::Envelope::kConfigurationPull:
            return ConfigurationPull { from.configuration_pull().sequence(), from.configuration_pull().have_version(),
                readEra(from.configuration_pull()), from.configuration_pull().takes_large_values() };
        case proto::Envelope::kConfigurationObject: {
            const auto& body = from.configuration_object();
            return ConfigurationObject { body.sequence(), body.version(), body.body(), readEra(body) };
        }
        case proto::Envelope::kTablePull: {
            const auto& body = from.table_pull();
            const auto era = readEra(body);
            return TablePull { body.sequence(), nonEmptyName(body.table()), StorePosition { body.version(), era },
                duration(body.wait_us()), body.wants_all(),
                body.has_newest_era() ? std::optional<StoreEra>(body.newest_era()) : era, body.takes_large_values() };
        }
        case proto::Envelope::kTableChanges: {
            const auto& body = from.table_changes();
            TableChanges changes { body.sequence(), body.is_known(), StorePosition { body.version(), readEra(body) },
                duration(body.age_us()), duration(body.held_us()), readAll<StoreRow>(body.rows()), body.is_whole() };
            for (auto& row : changes.rows)
                row.position.era = changes.position.era;
            return changes;
        }
        case proto::Envelope::kValuePull: {
            const auto& body = from.value_pull();
            return ValuePull { read(body.id()), body.has_base() ? std::optional(read(body.base())) : std::nullopt,
                body.offset() };
        }
        case proto::Envelope::kValuePart: {
            const auto& body = from.value_part();
            return ValuePart { read(body.id()), body.is_known(), body.uses_base(), body.encoded_bytes(),
                body.encoded_hash(), body.offset(), body.bytes() };
        }
        case proto::Envelope::BODY_NOT_SET:
            break;
        }
        throw DecodeError { "body missing" };
    }

}

std::string encode(const Envelope& envelope)
{
    proto::Envelope out;
    out.set_deployment(envelope.deployment.value());
    out.set_sender(envelope.sender.value());
    out.set_incarnation(envelope.incarnation);
    out.set_sender_address(envelope.senderAddress);
    std::visit(BodyWriter { envelope, out }, envelope.message);
    return out.SerializeAsString();
}

Result<Envelope> decode(std::string_view bytes)
{
    // protobuf would write a line to standard error for each string that is no UTF-8.
    static const auto previousHandler = google::protobuf::SetLogHandler(nullptr);
    static_cast<void>(previousHandler);
    if (bytes.size() > maximumEnvelopeBytes)
        return makeError(ErrorCode::ProtocolViolation, "decode message", "", "message too long");
    proto::Envelope in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return makeError(ErrorCode::ProtocolViolation, "decode message", "", "not an envelope");
    try {
        Envelope envelope;
        envelope.deployment = DeploymentId { nonEmptyName(in.deployment()) };
        envelope.sender = InstanceId { nonEmptyName(in.sender()) };
        envelope.incarnation = in.incarnation();
        envelope.senderAddress = nonEmptyName(in.sender_address());
        envelope.message = readBody(in, envelope);
        return envelope;
    } catch (const DecodeError& error) {
        return makeError(
            ErrorCode::ProtocolViolation, "decode message", in.sender().substr(0, maximumNameBytes), error.what);
    }
}

}
