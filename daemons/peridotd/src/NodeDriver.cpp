#include "NodeDriver.h"

#include "base/Assert.h"
#include "base/LogLine.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdlib>
#include <vector>

namespace peridot {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds tickInterval { 10 };
    // The node refuses a queued request at its deadline itself; this long after it the driver does.
    constexpr milliseconds decisionGrace { 200 };
    constexpr std::chrono::seconds operationTimeout { 30 };

    /** True if the node has no further action for the request. */
    bool isOver(const DispatchOutcome& outcome)
    {
        return outcome.kind == DispatchOutcomeKind::Completed || outcome.kind == DispatchOutcomeKind::Cancelled
            || outcome.hasResponseStarted;
    }

}

NodeDriver::NodeDriver(NodeSettings settings, EventLog& log)
    : m_log(log)
    , m_node(std::move(settings), log)
{
}

NodeDriver::~NodeDriver() { stop(); }

/** A violated invariant ends the process: continuing could break a guarantee, and another instance takes over. */
template <typename Call> auto NodeDriver::guarded(const Call& call) const -> decltype(std::declval<Call>()())
{
    try {
        return call();
    } catch (const InvariantViolation& violation) {
        m_log.write(LogLevel::Error, LogLine("invariant_violated").add("message", violation.what()));
    } catch (const std::exception& error) {
        m_log.write(LogLevel::Error, LogLine("unexpected_exception").add("message", error.what()));
    }
    spdlog::default_logger()->flush();
    std::abort();
}

void NodeDriver::start()
{
    m_controlThread = std::thread([this] { runControlThread(); });
}

void NodeDriver::stop()
{
    {
        const std::lock_guard lock(m_stopMutex);
        m_isStopping = true;
    }
    m_stopRequested.notify_all();
    if (m_controlThread.joinable())
        m_controlThread.join();
}

void NodeDriver::runControlThread()
{
    auto next = std::chrono::steady_clock::now();
    std::unique_lock lock(m_stopMutex);
    while (!m_isStopping) {
        lock.unlock();
        const auto now = steadyNow();
        perform(guarded([&] { return m_node.tick(now); }));
        expireRequests(now);
        expireOperations(now);
        lock.lock();
        // After a pause of the process, missed ticks are not made up for.
        next = std::max(next + tickInterval, std::chrono::steady_clock::now());
        m_stopRequested.wait_until(lock, next, [this] { return m_isStopping; });
    }
}

void NodeDriver::receive(const Envelope& envelope)
{
    perform(guarded([&] { return m_node.receive(envelope, steadyNow()); }));
}

void NodeDriver::storeCompleted(std::uint64_t id, const StoreResult& result)
{
    perform(guarded([&] { return m_node.storeCompleted(id, result, steadyNow()); }));
}

void NodeDriver::probeCompleted(const BackendServerId& id, const ProbeResult& result)
{
    perform(guarded([&] { return m_node.probeCompleted(id, result, steadyNow()); }));
}

LookupResult NodeDriver::lookup(const LookupQuery& query)
{
    return guarded([&] { return m_node.lookup(query, steadyNow()); });
}

NodeDriver::Shard& NodeDriver::shardOf(const RequestId& id) const
{
    return m_shards[std::hash<RequestId> {}(id) % m_shards.size()];
}

std::shared_ptr<ActiveRequest> NodeDriver::find(const RequestId& id) const
{
    auto& shard = shardOf(id);
    const std::lock_guard lock(shard.mutex);
    const auto it = shard.requests.find(id);
    return it == shard.requests.end() ? nullptr : it->second;
}

std::shared_ptr<ActiveRequest> NodeDriver::take(const RequestId& id)
{
    auto& shard = shardOf(id);
    const std::lock_guard lock(shard.mutex);
    const auto it = shard.requests.find(id);
    if (it == shard.requests.end())
        return nullptr;
    auto request = std::move(it->second);
    shard.requests.erase(it);
    --m_openRequests;
    return request;
}

void NodeDriver::begin(const RequestHead& head, std::shared_ptr<ActiveRequest> request)
{
    const auto now = steadyNow();
    {
        auto& shard = shardOf(head.id);
        const std::lock_guard lock(shard.mutex);
        shard.requests.emplace(head.id, std::move(request));
        ++m_openRequests;
    }
    {
        const std::lock_guard lock(m_deadlineMutex);
        m_deadlines.emplace(now + head.timeout, Deadline { head.id });
    }
    perform(guarded([&] { return m_node.begin(head, now); }));
}

void NodeDriver::finished(const RequestId& id, const DispatchOutcome& outcome)
{
    if (isOver(outcome))
        take(id);
    perform(guarded([&] { return m_node.finished(id, outcome, steadyNow()); }));
}

void NodeDriver::abandoned(const RequestId& id)
{
    if (!take(id))
        return;
    perform(guarded([&] { return m_node.abandoned(id, steadyNow()); }));
}

void NodeDriver::operate(OperatorRequest request, OperatorAnswer answer)
{
    const auto now = steadyNow();
    {
        const std::lock_guard lock(m_operationMutex);
        m_operations.emplace(request.id, OpenOperation { std::move(answer), now + operationTimeout });
    }
    perform(guarded([&] { return m_node.operate(request, now); }));
}

void NodeDriver::leave()
{
    perform(guarded([&] { return m_node.leave(steadyNow()); }));
}

bool NodeDriver::hasDrained() const
{
    return m_openRequests == 0 && guarded([&] { return m_node.hasDrained(steadyNow()); });
}

void NodeDriver::perform(const Actions& actions)
{
    for (const auto& action : actions)
        perform(action);
}

void NodeDriver::perform(const Action& action)
{
    struct Visitor {
        NodeDriver& driver;
        void operator()(const SendMessage& message) const { driver.m_ports.sendMessage(message); }
        void operator()(const StoreCall& call) const { driver.m_ports.callStore(call); }
        void operator()(const ProbeBackendServer& probe) const { driver.m_ports.probe(probe); }
        void operator()(const DispatchRequest& dispatch) const { driver.handle(dispatch); }
        void operator()(const RefuseRequest& refuse) const { driver.handle(refuse); }
        void operator()(const ReplayResponse& replay) const { driver.handle(replay); }
        void operator()(const CloseCallers& close) const { driver.handle(close); }
        void operator()(const AnswerOperator& answer) const { driver.handle(answer); }
    };
    std::visit(Visitor { *this }, action);
}

void NodeDriver::handle(const DispatchRequest& dispatch)
{
    if (const auto request = find(dispatch.request)) {
        request->dispatch(dispatch);
        return;
    }
    // The request was answered in the meantime. The node must still learn that its dispatch is over.
    finished(dispatch.request, DispatchOutcome { DispatchOutcomeKind::Cancelled, {}, {}, 0, false, {} });
}

void NodeDriver::handle(const RefuseRequest& refuse)
{
    if (const auto request = take(refuse.request))
        request->refuse(refuse.refusal);
}

void NodeDriver::handle(const ReplayResponse& replay)
{
    if (const auto request = take(replay.request))
        request->replay(replay.response);
}

// cpprestsdk offers no access to a listener's connections. The withdrawal works nevertheless: each request on an open
// connection is checked, and the refusal of a withdrawn key closes the connection.
void NodeDriver::handle(const CloseCallers& close)
{
    m_log.write(LogLevel::Info, LogLine("key_withdrawn").add("key_id", close.key));
}

void NodeDriver::handle(const AnswerOperator& answer)
{
    std::vector<OperatorAnswer> waiting;
    {
        const std::lock_guard lock(m_operationMutex);
        const auto [first, last] = m_operations.equal_range(answer.id);
        for (auto it = first; it != last; ++it)
            waiting.push_back(std::move(it->second.answer));
        m_operations.erase(first, last);
    }
    for (const auto& each : waiting)
        each(answer);
}

void NodeDriver::expireRequests(TimePoint now)
{
    std::vector<Deadline> due;
    {
        const std::lock_guard lock(m_deadlineMutex);
        const auto end = m_deadlines.upper_bound(now);
        for (auto it = m_deadlines.begin(); it != end; ++it)
            due.push_back(std::move(it->second));
        m_deadlines.erase(m_deadlines.begin(), end);
    }
    for (const auto& [id, isLast] : due) {
        const auto request = find(id);
        if (!request)
            continue;
        if (!request->expire(isLast)) {
            const std::lock_guard lock(m_deadlineMutex);
            m_deadlines.emplace(now + decisionGrace, Deadline { id, true });
        } else if (isLast) {
            abandoned(id);
        }
    }
}

void NodeDriver::expireOperations(TimePoint now)
{
    std::vector<std::pair<std::string, OperatorAnswer>> due;
    {
        const std::lock_guard lock(m_operationMutex);
        for (auto it = m_operations.begin(); it != m_operations.end();) {
            if (it->second.deadline > now) {
                ++it;
                continue;
            }
            due.emplace_back(it->first, std::move(it->second.answer));
            it = m_operations.erase(it);
        }
    }
    for (const auto& [id, answer] : due)
        answer(
            { id, 503, R"({"code":"undecided","message":"not decided in time; repeat it with the same change id"})" });
}

}
