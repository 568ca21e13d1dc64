// Applies operators' changes to the configuration in the store. Writers on any number of instances race through the
// compare-and-set of the head row; each request ends with one outcome.

#pragma once

#include "base/EventLog.h"
#include "config/Change.h"
#include "config/ConfigurationStoreCall.h"
#include "config/HeadRow.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace peridot {

struct ChangeRequest {
    std::string id; // Unique per change. Submitting the same id again never applies the change a second time.
    ConfigurationVersion baseVersion = 0; // The version that the operator looked at; 0 stands for the newest one.
    std::vector<Change> changes;
};

struct ChangeAccepted {
    ConfigurationVersion version = 0;
};

struct ChangeConflict {
    std::string field;
    ConfigurationVersion version = 0;
    std::string changeId; // The change that won the field.
};

struct ChangeInvalid {
    std::string reason;
};

/**
 * The change was not applied and will not be applied by this request. An earlier request with the same id that ended as
 * unknown may still apply it.
 */
struct ChangeUnavailable {
    std::string reason;
};

/** The change may have been applied. Submitting the same id again tells. */
struct ChangeUnknown {
    std::string reason;
};

using ChangeResult = std::variant<ChangeAccepted, ChangeConflict, ChangeInvalid, ChangeUnavailable, ChangeUnknown>;

struct ChangeOutcome {
    std::string id;
    ChangeResult result;
};

struct ConfigurationWriterSettings {
    Duration deadline = std::chrono::seconds { 10 }; // From submission to the last possible outcome.
    Duration callTimeout = std::chrono::seconds { 2 };
    Duration retryDelay = std::chrono::milliseconds { 100 }; // Before a store call that failed is repeated.
    // While rule W does not allow the commit. The head row is read again, which keeps this instance's heartbeats saying
    // that it reaches the store.
    Duration permissionDelay = std::chrono::milliseconds { 250 };
};

/** What evidence says about writing; see Evidence.h. */
struct WritePermission {
    std::function<bool(TimePoint now)> mayWrite; // Rule W.
    /** Whether relays hold this version, so that evidence cannot miss it if this instance dies. */
    std::function<bool(ConfigurationVersion, TimePoint now)> isKnownToPeers;
};

class ConfigurationWriter {
public:
    struct Output {
        std::vector<ConfigurationStoreCall> calls;
        std::vector<ChangeOutcome> outcomes;
    };

    ConfigurationWriter(ConfigurationWriterSettings, WritePermission, EventLog&);
    ~ConfigurationWriter();
    ConfigurationWriter(const ConfigurationWriter&) = delete;
    ConfigurationWriter& operator=(const ConfigurationWriter&) = delete;

    Output submit(ChangeRequest, TimePoint now);
    /** Creates version 1 from a document. Accepted with the version found if the store holds one already. */
    Output bootstrap(const std::string& id, const std::string& document, TimePoint now);
    Output storeCompleted(std::uint64_t callId, const StoreResult&, TimePoint now);
    /** Repeats delayed calls and ends requests whose deadline has passed. */
    Output tick(TimePoint now);

    /**
     * The newest configuration that this writer has seen in force; null if there is none yet. Pass it to
     * ConfigurationReader::adopt after each call.
     */
    std::shared_ptr<const Configuration> newest() const noexcept { return m_newest; }
    /**
     * The highest version that this writer has seen in the head row. Pass it to Membership::heard after each call: a
     * change is accepted only once relays know its version.
     */
    ConfigurationVersion highestVersion() const noexcept { return m_highest; }
    std::size_t openRequests() const noexcept { return m_requests.size(); }

private:
    enum class Step {
        Queued, // Another request of this writer is before it. One commit at a time saves lost races.
        ReadHead,
        FetchObject,
        PutObject,
        Commit,
        AwaitPeers, // The change is in the head row, but relays have not confirmed its version yet.
        Done,
    };
    struct Request;

    void startNext(TimePoint now, Output&);
    void start(Request&, Step, TimePoint now, Output&);
    void retryLater(Request&, Step, Duration delay, TimePoint now);
    void advance(Request&, const StoreValue&, TimePoint now, Output&);
    void headArrived(Request&, const TableRow*, TimePoint now, Output&);
    void objectArrived(Request&, const ObjectValue&, TimePoint now, Output&);
    void rebase(Request&, TimePoint now, Output&);
    void prepare(Request&, Configuration next, TimePoint now, Output&);
    void commitOrWait(Request&, TimePoint now, Output&);
    void commitCompleted(Request&, const CommitResult&, TimePoint now, Output&);
    void callFailed(Request&, const Error&, TimePoint now);
    void awaitPeers(Request&, ConfigurationVersion, TimePoint now, Output&);
    void expire(Request&, Output&);
    void finish(Request&, ChangeResult, Output&);
    void removeFinished(TimePoint now, Output&);
    void sawNewer(std::shared_ptr<const Configuration>);
    StoreRequest makeCall(const Request&) const;

    ConfigurationWriterSettings m_settings;
    WritePermission m_permission;
    EventLog& m_log;
    std::uint64_t m_nextCall = 1;
    std::shared_ptr<const Configuration> m_newest; // Never replaced by a lower version.
    ConfigurationVersion m_highest = 0;
    std::map<std::string, std::unique_ptr<Request>> m_requests; // By change id.
    std::uint64_t m_nextOrder = 0; // Of arrival.
    std::map<std::uint64_t, std::string> m_calls; // Open calls to change ids. A request has at most one.
};

}
