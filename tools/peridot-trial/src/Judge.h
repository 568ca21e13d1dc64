// The judge of a run. It stands outside the instances and sees only what callers, backend servers, operators and the
// platform see.

#pragma once

#include "Deployment.h"
#include "LoadWatch.h"
#include "Measures.h"
#include "RateCheck.h"
#include "ShiftWatch.h"
#include "Verdict.h"

#include "peridot/Actions.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace peridot::trial {

using RequestIndex = std::uint64_t;

enum class KeyUse {
    Valid,
    Missing,
    Wrong, // Unknown id, wrong secret, or two different keys.
};

/** What a caller sent to an instance. */
struct SentRequest {
    std::size_t workspace = 0; // The caller's.
    std::size_t trafficClass = 0;
    KeyUse keyUse = KeyUse::Valid;
    std::string keyId; // Empty unless the key use is valid.
    std::string idempotencyKey;
    std::size_t homeRegion = 0;
    std::size_t instance = 0;
    std::uint64_t incarnation = 0;
    VirtualTime startedAt { 0 }; // When the caller began, including its look-up.
    VirtualTime sentAt { 0 };
    Duration timeout { 0 };
    bool isSteered = false; // A look-up sent the caller to another region than its home region.
};

enum class AnswerKind {
    Completed,
    Replayed,
    Refused,
    Broken, // The connection broke.
};

struct Answer {
    AnswerKind kind = AnswerKind::Completed;
    RunState run = RunState::Unknown; // Of a refusal.
    std::string code; // Of a refusal.
    std::string replayed; // Body of a replayed response.
};

/** The accepted state of one configuration version, as far as the judge needs it. */
struct AcceptedConfiguration {
    std::uint64_t version = 0;
    struct Limit {
        double rate = 0;
        double burst = 0;
        bool operator==(const Limit&) const = default;
    };
    std::map<std::string, Limit> workspaces;
    std::map<std::string, std::string> keys; // Valid key ids to workspaces.
};

/** One dispatch, as the connection between an instance and a backend server shows it. */
struct SeenDispatch {
    RequestIndex request = 0;
    std::size_t service = 0;
    std::size_t instanceRegion = 0;
    std::size_t backendRegion = 0;
    std::size_t instance = 0;
    std::uint64_t version = 0; // In force at the instance.
    std::uint64_t bytes = 0;
};

/** Totals that only the judge can count. */
struct JudgeCounts {
    std::uint64_t sent = 0;
    std::uint64_t admitted = 0;
    std::uint64_t overspent = 0;
    std::uint64_t doubleRuns = 0;
    std::uint64_t falseNotRun = 0;
    std::uint64_t wrongfulRefusals = 0;
    std::uint64_t rateRefusals = 0;
    std::uint64_t otherRefusals = 0;
    std::uint64_t attempts = 0;
    std::uint64_t broken = 0;
    Duration drainMaximum { 0 };
    Duration keyWithdrawalMaximum { 0 };
    Duration configurationInForceMaximum { 0 };
    std::map<std::string, std::uint64_t> refusals; // By code.
};

class Judge {
public:
    Judge(const Deployment&, Verdict&, double shiftCap);

    // Callers.
    RequestIndex sent(SentRequest);
    /** The instance read the request, from which on its timeout counts; a paused one reads it after its pause. */
    void begun(RequestIndex, VirtualTime now);
    void answered(RequestIndex, const Answer&, VirtualTime now);
    /** The caller disconnected; it sees no answer any more. */
    void callerLeft(RequestIndex);
    /** The response reached the caller. */
    void received(RequestIndex, VirtualTime now);
    void lookedUp(std::size_t homeRegion, std::optional<std::size_t> region, VirtualTime now);

    // Backend servers.
    void dispatched(const SeenDispatch&, VirtualTime now);
    /** The dispatch ended at its backend server. */
    void undispatched(const SeenDispatch&, std::uint64_t responseBytes, VirtualTime now);
    void ran(RequestIndex, VirtualTime now);
    void slotsChanged(std::size_t service, std::size_t region, int slots, VirtualTime now);

    // Platform and operators.
    void configurationAccepted(const AcceptedConfiguration&, VirtualTime now);
    /** The platform's list that instance can read has shown the server as leaving since @p listedAt. */
    void dispatchedToLeaving(const std::string& server, std::size_t instance, VirtualTime listedAt, VirtualTime now);
    void versionSeen(std::size_t instance, std::uint64_t incarnation, std::uint64_t version, VirtualTime now);
    /** An instance that nothing kept from the store still has @p version. */
    void undisturbedInstance(std::size_t instance, std::uint64_t version, VirtualTime now);

    // Processes.
    /** The process ended; returns the requests that it left without an answer. */
    void stopped(std::size_t instance, bool isPlanned, const std::vector<RequestIndex>& open, VirtualTime now);
    void drained(std::size_t instance, Duration took, VirtualTime now);
    void drainFailed(std::size_t instance, Duration took, VirtualTime now);
    void assertionFailed(std::size_t instance, const std::string& text, VirtualTime now);
    /** Deadlines of requests of this instance are judged from the end of a pause. */
    void resumed(std::size_t instance, VirtualTime now);

    /** Runs the checks that look back; call it every 100 ms. */
    void sample(VirtualTime now);
    /** Checks the requests that are left. Call it once no event is due that could answer one. */
    void finish(VirtualTime now);

    /** Turns on the check that no request within its rate is refused for its rate. */
    void expectNoWrongfulRefusals() { m_expectsNoWrongfulRefusals = true; }

    /** From now on no fault is in force and those before have had time to heal. */
    void expectRecovery(VirtualTime now)
    {
        m_expectsRecovery = true;
        m_recoveryStart = now;
    }

    const SentRequest& request(RequestIndex index) const { return record(index).sent; }
    bool hasRequest(RequestIndex index) const noexcept;
    const AcceptedConfiguration& accepted() const { return m_accepted; }
    const JudgeCounts& counts() const noexcept { return m_counts; }
    const Measures& measures() const noexcept { return m_measures; }
    const LoadWatch& load() const noexcept { return m_load; }
    const ShiftWatch& shifts() const noexcept { return m_shifts; }

private:
    struct Record {
        SentRequest sent;
        VirtualTime deadline { 0 };
        VirtualTime notRunAt { 0 }; // When a refusal said not_run; 0 if none did.
        std::uint32_t runs = 0;
        std::uint32_t answers = 0;
        std::uint32_t attempts = 0;
        bool hasLeft = false;
        bool isWithinRate = false;
        bool isInRecovery = false;
    };

    struct RecoveryCount {
        std::uint64_t offered = 0; // Requests with a valid key.
        std::uint64_t withinRate = 0;
        std::map<std::string, std::uint64_t> refusals; // Of those within the rate, by code.
    };
    struct SeenVersion {
        std::uint64_t incarnation = 0;
        std::uint64_t version = 0;
    };

    const Record& record(RequestIndex) const;
    Record& record(RequestIndex index) { return const_cast<Record&>(std::as_const(*this).record(index)); }
    const ClassShape& classOf(const Record& it) const { return m_deployment.classes[it.sent.trafficClass]; }
    std::string describe(RequestIndex) const;

    void checkRate(Record&, RequestIndex, VirtualTime now);
    void checkKey(const Record&, RequestIndex, VirtualTime now);
    void checkVersion(const SeenDispatch&, VirtualTime now);
    void countRefusal(const Record&, RequestIndex, const Answer&, VirtualTime now);
    void checkRecovery(std::size_t workspace, const RecoveryCount&, VirtualTime now);
    void checkAnswered(const Record&, RequestIndex, VirtualTime now);
    void dropOld(VirtualTime now);

    const Deployment& m_deployment;
    Verdict& m_verdict;
    JudgeCounts m_counts;
    Measures m_measures;
    LoadWatch m_load;
    ShiftWatch m_shifts;
    bool m_expectsNoWrongfulRefusals = false;
    bool m_expectsRecovery = false;
    VirtualTime m_recoveryStart { 0 };
    VirtualTime m_recoveryLast { 0 }; // Last request.
    std::map<std::size_t, RecoveryCount> m_recovery; // By workspace, since expectRecovery().

    std::deque<Record> m_records; // The request with index n stands at n - m_firstIndex.
    RequestIndex m_firstIndex = 0;
    std::unordered_map<std::string, std::uint32_t> m_runsByIdempotencyKey; // Key "workspace/key".

    AcceptedConfiguration m_accepted;
    std::map<std::string, RateCheck> m_rates;
    std::map<std::string, VirtualTime> m_withdrawnAt;
    std::deque<std::pair<std::uint64_t, VirtualTime>> m_versions; // Accepted versions with their times, ascending.
    std::map<std::size_t, SeenVersion> m_seenVersions;
    std::map<std::size_t, VirtualTime> m_resumedAt;
};

}
