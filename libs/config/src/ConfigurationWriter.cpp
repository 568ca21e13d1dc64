// A commit whose answer was lost is looked for in the head row: it may have taken effect, may still do so, or can no
// longer do so because the row has another version. Each attempt is conditional on the row version that was read, so at
// most one of a request's attempts takes effect.

#include "config/ConfigurationWriter.h"

#include "base/Assert.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>

namespace peridot {

namespace {

    std::string resultName(const ChangeResult& result)
    {
        static constexpr const char* names[] { "accepted", "conflict", "invalid", "unavailable", "unknown" };
        return names[result.index()];
    }

}

struct ConfigurationWriter::Request {
    ChangeRequest change;
    std::optional<std::string> bootstrapDocument;
    std::uint64_t order = 0;
    TimePoint deadline;
    Step step = Step::Queued;
    std::optional<TimePoint> retryAt; // Set while the step waits to be started again.
    std::uint64_t openCall = 0; // 0 if none is open. Calls of an earlier request with the same id are ignored.
    RowVersion rowVersion = 0; // Of the head row that `next` follows.
    HeadRow head; // The row that was read; later the one to be written.
    std::shared_ptr<const Configuration> next;
    std::string storedKey; // The object that is known to be stored.
    // Row version of a commit whose outcome is open. Empty if no commit can take effect any more.
    std::optional<RowVersion> openCommit;
    ConfigurationVersion appliedVersion = 0;
};

ConfigurationWriter::ConfigurationWriter(
    ConfigurationWriterSettings settings, WritePermission permission, EventLog& log)
    : m_settings(settings)
    , m_permission(std::move(permission))
    , m_log(log)
{
}

ConfigurationWriter::~ConfigurationWriter() = default;

ConfigurationWriter::Output ConfigurationWriter::submit(ChangeRequest change, TimePoint now)
{
    Output output;
    if (change.id.empty() || change.changes.empty()) {
        output.outcomes.push_back(
            { std::move(change.id), ChangeInvalid { "expected a change id and at least one change" } });
        return output;
    }
    auto request = std::make_unique<Request>();
    request->change = std::move(change);
    request->order = m_nextOrder++;
    request->deadline = now + m_settings.deadline;
    const auto id = request->change.id;
    m_requests.try_emplace(id, std::move(request)); // A repeated submission shares the outcome of the open one.
    startNext(now, output);
    return output;
}

ConfigurationWriter::Output ConfigurationWriter::bootstrap(
    const std::string& id, const std::string& document, TimePoint now)
{
    Output output;
    auto request = std::make_unique<Request>();
    request->change.id = id;
    request->bootstrapDocument = document;
    request->order = m_nextOrder++;
    request->deadline = now + m_settings.deadline;
    m_requests.try_emplace(id, std::move(request));
    startNext(now, output);
    return output;
}

void ConfigurationWriter::startNext(TimePoint now, Output& output)
{
    Request* first = nullptr;
    for (const auto& [id, request] : m_requests) {
        if (request->step == Step::Queued && (!first || request->order < first->order))
            first = request.get();
        if (request->step != Step::Queued && request->step != Step::AwaitPeers && request->step != Step::Done)
            return;
    }
    if (first)
        start(*first, Step::ReadHead, now, output);
}

StoreRequest ConfigurationWriter::makeCall(const Request& request) const
{
    switch (request.step) {
    case Step::ReadHead:
        return TableRead { { configurationHeadKey } };
    case Step::FetchObject:
        return ObjectGet { request.head.objectKey };
    case Step::PutObject:
        return ObjectPut { request.head.objectKey, request.next->toJson() };
    case Step::Commit:
        return TableCommit { { { configurationHeadKey, request.rowVersion } },
            { { configurationHeadKey, request.head.toJson() } } };
    default:
        break;
    }
    PERIDOT_ASSERT(false, "this step makes no store call");
    return ListInstances {};
}

void ConfigurationWriter::start(Request& request, Step step, TimePoint, Output& output)
{
    request.step = step;
    request.retryAt.reset();
    const auto id = m_nextCall++;
    request.openCall = id;
    m_calls.emplace(id, request.change.id);
    output.calls.push_back({ id, makeCall(request), m_settings.callTimeout });
}

void ConfigurationWriter::retryLater(Request& request, Step step, Duration delay, TimePoint now)
{
    request.step = step;
    request.retryAt = now + delay;
}

ConfigurationWriter::Output ConfigurationWriter::storeCompleted(
    std::uint64_t callId, const StoreResult& result, TimePoint now)
{
    Output output;
    const auto call = m_calls.find(callId);
    if (call == m_calls.end())
        return output;
    const auto it = m_requests.find(call->second);
    m_calls.erase(call);
    if (it == m_requests.end() || it->second->openCall != callId)
        return output;
    it->second->openCall = 0;
    if (result)
        advance(*it->second, *result, now, output);
    else
        callFailed(*it->second, result.error(), now);
    removeFinished(now, output);
    return output;
}

void ConfigurationWriter::advance(Request& request, const StoreValue& value, TimePoint now, Output& output)
{
    if (const auto* rows = std::get_if<TableRows>(&value); rows && request.step == Step::ReadHead)
        headArrived(request, rows->rows.empty() ? nullptr : &rows->rows.front(), now, output);
    else if (const auto* object = std::get_if<ObjectValue>(&value); object && request.step == Step::FetchObject)
        objectArrived(request, *object, now, output);
    else if (std::holds_alternative<ObjectStored>(value) && request.step == Step::PutObject) {
        request.storedKey = request.head.objectKey;
        commitOrWait(request, now, output);
    } else if (const auto* commit = std::get_if<CommitResult>(&value); commit && request.step == Step::Commit)
        commitCompleted(request, *commit, now, output);
    else
        callFailed(request, Error { ErrorCode::OutcomeUnknown, "store call", "store", "result of another kind" }, now);
}

void ConfigurationWriter::callFailed(Request& request, const Error& error, TimePoint now)
{
    if (m_log.isEnabled(LogLevel::Warning)) {
        m_log.write(LogLevel::Warning,
            LogLine("configuration_store_call_failed").add("change", request.change.id).add("error", error.describe()));
    }
    if (request.step != Step::Commit) {
        retryLater(request, request.step, m_settings.retryDelay, now);
        return;
    }
    // A commit that certainly took no effect leaves no open outcome; an earlier one of the same row version may.
    if (error.code != ErrorCode::Unavailable)
        request.openCommit = request.rowVersion;
    retryLater(request, Step::ReadHead, m_settings.retryDelay, now);
}

void ConfigurationWriter::headArrived(Request& request, const TableRow* row, TimePoint now, Output& output)
{
    request.rowVersion = row ? row->version : 0;
    if (request.openCommit && *request.openCommit != request.rowVersion)
        request.openCommit.reset();
    if (!row) {
        if (!request.bootstrapDocument) {
            finish(request, ChangeInvalid { "there is no configuration yet; create version 1 first" }, output);
            return;
        }
        request.head = {};
        rebase(request, now, output);
        return;
    }
    auto head = HeadRow::parse(row->value);
    if (!head) {
        finish(request, ChangeInvalid { head.error().describe() }, output);
        return;
    }
    request.head = std::move(*head);
    m_highest = std::max(m_highest, request.head.version);
    if (const auto* applied = request.head.findChange(request.change.id)) {
        awaitPeers(request, applied->version, now, output);
        return;
    }
    if (request.bootstrapDocument) {
        finish(request, ChangeAccepted { request.head.version }, output);
        return;
    }
    if (request.change.baseVersion == 0)
        request.change.baseVersion = request.head.version;
    if (m_newest && m_newest->version() == request.head.version)
        rebase(request, now, output);
    else
        start(request, Step::FetchObject, now, output);
}

void ConfigurationWriter::objectArrived(Request& request, const ObjectValue& object, TimePoint now, Output& output)
{
    if (!object.value) {
        retryLater(request, Step::ReadHead, m_settings.retryDelay, now);
        return;
    }
    auto configuration = Configuration::parse(*object.value, request.head.objectKey);
    if (!configuration || configuration->version() != request.head.version) {
        finish(request,
            ChangeInvalid { configuration ? fmt::format("{} holds another version", request.head.objectKey)
                                          : configuration.error().describe() },
            output);
        return;
    }
    sawNewer(std::make_shared<const Configuration>(std::move(*configuration)));
    if (m_newest->version() == request.head.version)
        rebase(request, now, output);
    else
        start(request, Step::ReadHead, now, output);
}

void ConfigurationWriter::rebase(Request& request, TimePoint now, Output& output)
{
    const auto& change = request.change;
    if (request.bootstrapDocument) {
        auto document = Configuration::parse(*request.bootstrapDocument, "bootstrap document");
        if (!document) {
            finish(request, ChangeInvalid { document.error().describe() }, output);
            return;
        }
        auto data = document->data();
        data.version = 1;
        data.changeId = change.id;
        data.fields.clear();
        prepare(request, *Configuration::create(std::move(data)), now, output);
        return;
    }
    if (const auto conflict = findConflict(*m_newest, change.baseVersion, change.changes)) {
        // A repeated request whose id has left the list of recent changes.
        if (conflict->changeId == change.id)
            awaitPeers(request, conflict->version, now, output);
        else
            finish(request, ChangeConflict { conflict->field, conflict->version, conflict->changeId }, output);
        return;
    }
    auto next = applyChanges(*m_newest, change.baseVersion, change.changes, change.id);
    if (next)
        prepare(request, std::move(*next), now, output);
    else
        finish(request, ChangeInvalid { next.error().message }, output);
}

void ConfigurationWriter::prepare(Request& request, Configuration next, TimePoint now, Output& output)
{
    auto& head = request.head;
    PERIDOT_ASSERT(next.version() == head.version + 1, "a change makes the version that follows the head row");
    head.version = next.version();
    head.changeId = request.change.id;
    head.objectKey = configurationObjectKey(head.version, head.changeId);
    head.recent.push_back({ head.changeId, head.version });
    if (head.recent.size() > HeadRow::s_recentChangeLimit)
        head.recent.erase(head.recent.begin());
    request.next = std::make_shared<const Configuration>(std::move(next));
    if (request.storedKey == head.objectKey)
        commitOrWait(request, now, output);
    else
        start(request, Step::PutObject, now, output);
}

void ConfigurationWriter::commitOrWait(Request& request, TimePoint now, Output& output)
{
    if (m_permission.mayWrite(now))
        start(request, Step::Commit, now, output);
    else
        retryLater(request, Step::ReadHead, m_settings.permissionDelay, now);
}

void ConfigurationWriter::commitCompleted(Request& request, const CommitResult& result, TimePoint now, Output& output)
{
    if (result.isCommitted) {
        request.openCommit.reset();
        sawNewer(request.next);
        awaitPeers(request, request.next->version(), now, output);
        return;
    }
    const auto row = std::find_if(result.current.begin(), result.current.end(),
        [](const TableRow& candidate) { return candidate.key == configurationHeadKey && candidate.version != 0; });
    headArrived(request, row == result.current.end() ? nullptr : &*row, now, output);
}

void ConfigurationWriter::awaitPeers(Request& request, ConfigurationVersion version, TimePoint now, Output& output)
{
    request.openCommit.reset();
    request.appliedVersion = version;
    request.step = Step::AwaitPeers;
    request.retryAt.reset();
    if (m_permission.isKnownToPeers(version, now))
        finish(request, ChangeAccepted { version }, output);
}

ConfigurationWriter::Output ConfigurationWriter::tick(TimePoint now)
{
    Output output;
    for (const auto& [id, request] : m_requests) {
        if (request->step == Step::AwaitPeers && m_permission.isKnownToPeers(request->appliedVersion, now))
            finish(*request, ChangeAccepted { request->appliedVersion }, output);
        else if (now >= request->deadline)
            expire(*request, output);
        else if (request->retryAt && now >= *request->retryAt)
            start(*request, request->step, now, output);
    }
    removeFinished(now, output);
    return output;
}

void ConfigurationWriter::expire(Request& request, Output& output)
{
    if (request.step == Step::AwaitPeers) {
        finish(request,
            ChangeUnknown {
                fmt::format("version {} is stored, but peers have not confirmed to know it", request.appliedVersion) },
            output);
        return;
    }
    const bool isCommitRunning = request.step == Step::Commit;
    if (isCommitRunning || request.openCommit)
        finish(request, ChangeUnknown { "the store has not answered the commit" }, output);
    else
        finish(request, ChangeUnavailable { "the store cannot be reached or must not be written now" }, output);
}

void ConfigurationWriter::finish(Request& request, ChangeResult result, Output& output)
{
    request.step = Step::Done;
    request.retryAt.reset();
    m_log.write(LogLevel::Info,
        LogLine("configuration_change").add("change", request.change.id).add("result", resultName(result)));
    output.outcomes.push_back({ request.change.id, std::move(result) });
}

void ConfigurationWriter::removeFinished(TimePoint now, Output& output)
{
    std::erase_if(m_requests, [](const auto& item) { return item.second->step == Step::Done; });
    startNext(now, output);
}

void ConfigurationWriter::sawNewer(std::shared_ptr<const Configuration> configuration)
{
    if (!m_newest || configuration->version() > m_newest->version())
        m_newest = std::move(configuration);
    m_highest = std::max(m_highest, m_newest->version());
}

}
