#include "entry/RequestGateway.h"

#include "base/LogLine.h"
#include "base/SteadyTime.h"

#include <boost/asio/post.hpp>

#include <xxhash.h>

#include <array>
#include <chrono>
#include <memory>
#include <string_view>
#include <utility>

namespace peridot {

namespace asio = boost::asio;

namespace {

    // Interval at which deadlines and queued requests are checked. Time limits are at least 100 ms.
    constexpr std::chrono::milliseconds tickInterval { 20 };
    // A delay that callers notice; shorter ones are in the histogram only.
    constexpr std::chrono::milliseconds loggedLoopDelay { 100 };
    // A connection that breaks within this time was accepted by something on the way that does not reach the server.
    constexpr Duration probeSettleTime = std::chrono::milliseconds { 30 };

    /** The same for the same bytes, however they are cut into blocks. */
    std::uint64_t hashOf(const RequestBytes& body)
    {
        if (body.blockCount() <= 1) {
            const auto bytes = body.empty() ? std::string_view {} : body.block(0);
            return XXH3_64bits(bytes.data(), bytes.size());
        }
        const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(), &XXH3_freeState);
        XXH3_64bits_reset(state.get());
        for (std::size_t i = 0; i < body.blockCount(); ++i)
            XXH3_64bits_update(state.get(), body.block(i).data(), body.block(i).size());
        return XXH3_64bits_digest(state.get());
    }

    /** Hash of what makes a request the same one again. It has no seed, because all instances must compute the same
     *  one. */
    std::uint64_t contentOf(const HttpRequest& request, const CallerRequest& caller)
    {
        const auto hash = [](std::string_view part) { return XXH3_64bits(part.data(), part.size()); };
        const auto method = request.method_string();
        // Each part is hashed alone, so that a part's end can't be taken for the start of the next one.
        const std::array<std::uint64_t, 5> parts { hash({ method.data(), method.size() }), hash(caller.host),
            hash(caller.path), hash(caller.key), hashOf(request.body()) };
        const std::uint64_t content = XXH3_64bits(parts.data(), sizeof parts);
        return content == 0 ? 1 : content; // 0 stands for unknown.
    }

    std::chrono::milliseconds unixTime()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
    }

    /** Whether nothing but the end of the connection delimits the body. */
    bool endsWithConnection(const HttpResponse& response)
    {
        const bool mayHaveBody = response.result() != boost::beast::http::status::no_content
            && response.result() != boost::beast::http::status::not_modified;
        return mayHaveBody && !response.has_content_length() && !response.chunked();
    }

    /** Records an exchange over one of @p connections that ended without a response. */
    void recordFailure(const ExchangeError& error, ServerConnections& connections, SendReport& report)
    {
        report.result = error.wasSent ? DispatchResult::Broken
            : error.wasOpenedLate     ? DispatchResult::Withdrawn
                                      : DispatchResult::NotSent;
        report.detail = error.message;
        if (error.wasSent && error.wasReused && !error.isMalformed)
            connections.onIdleConnectionBroken(error.idleTime);
    }

}

RequestGateway::RequestGateway(asio::io_context& context, TrafficSteering& steering, const CallerProtocol& protocol,
    ServerConnections& servers, ServerConnections& peers, EventLog& log)
    : m_context(context)
    , m_steering(steering)
    , m_protocol(protocol)
    , m_connections(servers)
    , m_peers(peers)
    , m_log(log)
    , m_tickTimer(context)
    , m_lastRun(steadyNow())
{
    scheduleTick();
}

RequestGateway::~RequestGateway()
{
    *m_isAlive = false;
    for (auto& [handle, request] : m_requests) {
        request.exchange->onCallerGone = nullptr;
        if (request.connection)
            request.connection->close();
    }
}

void RequestGateway::scheduleTick()
{
    m_tickTimer.expires_after(tickInterval);
    m_tickTimer.async_wait([this](const boost::system::error_code& ec) {
        if (ec)
            return;
        m_lastRun = steadyNow();
        noteLoopDelay(
            std::chrono::duration_cast<Duration>(asio::steady_timer::clock_type::now() - m_tickTimer.expiry()));
        tick();
        scheduleTick();
    });
}

void RequestGateway::tick()
{
    perform(m_steering.tick(steadyNow(), [this](RequestHandle handle) { return mayHaveResponse(handle); }));
    endOverdue();
}

void RequestGateway::endRequests()
{
    m_steering.setEnd(steadyNow());
    tick();
}

/** Asks anew in the next turn about the overdue requests that were spared. */
void RequestGateway::endOverdue()
{
    if (!m_hasSparedRequests || std::exchange(m_isEndOverdueDue, true))
        return;
    asio::post(m_context, [this, isAlive = m_isAlive] {
        if (!*isAlive)
            return;
        m_isEndOverdueDue = false;
        m_hasSparedRequests = false;
        perform(m_steering.endOverdue(steadyNow(), [this](RequestHandle handle) { return mayHaveResponse(handle); }));
        endOverdue();
    });
}

bool RequestGateway::mayHaveResponse(RequestHandle handle)
{
    const auto it = m_requests.find(handle);
    if (it == m_requests.end() || !it->second.connection)
        return false;
    // A tick between two turns must not count as a turn.
    const bool mayHave = m_isEndOverdueDue || it->second.connection->awaitsArrivedInput();
    m_hasSparedRequests = m_hasSparedRequests || mayHave;
    return mayHave;
}

void RequestGateway::noteLoopDelay(Duration delay)
{
    m_loopDelays.add(delay);
    if (delay >= loggedLoopDelay)
        m_log.write(
            LogLevel::Info, LogLine("event_loop_late").add("delay_ms", delay).add("open_requests", m_requests.size()));
}

void RequestGateway::handle(const std::shared_ptr<HttpExchange>& exchange)
{
    auto read = m_protocol.read(exchange->request);
    if (!read) {
        m_log.write(LogLevel::Info,
            LogLine("reject").add("reason", "malformed").add("status", static_cast<int>(read.error().result_int())));
        exchange->respond(std::move(read.error()));
        return;
    }
    if (m_rejectsFrom && steadyNow() >= *m_rejectsFrom) {
        m_log.write(
            LogLevel::Info, LogLine("reject").add("request", read->id).add("reason", enumName(RejectReason::Leaving)));
        exchange->respond(m_protocol.rejection({ 0, RejectReason::Leaving, leavingRetryAfter }));
        return;
    }
    read->content = contentOf(exchange->request, *read);
    const auto handle = ++m_lastHandle;
    OpenRequest opened;
    opened.exchange = exchange;
    opened.id = read->id;
    opened.content = read->content;
    m_requests.emplace(handle, std::move(opened));
    exchange->onCallerGone = [this, handle] {
        const auto it = m_requests.find(handle);
        if (it == m_requests.end())
            return;
        perform(m_steering.callerDisconnected(handle, steadyNow()));
        m_requests.erase(handle);
    };
    perform(m_steering.begin(handle, *read, steadyNow()));
}

void RequestGateway::perform(const SteeringActions& actions)
{
    for (const auto& action : actions)
        std::visit([this](const auto& it) { perform(it); }, action);
}

void RequestGateway::perform(const SendToServer& send)
{
    const auto it = m_requests.find(send.request);
    if (it == m_requests.end())
        return;
    auto& request = it->second;
    auto connection = m_connections.acquire(send.server, send.address, send.isIdempotent, request.id);
    if (!connection) {
        reportUnsent(
            send.request, DispatchResult::NotSent, "connection limit of the server reached or server address invalid");
        return;
    }
    request.connection = connection;
    request.isAtPeer = false;
    request.server = send.server;
    request.incarnation = send.incarnation;
    request.sentAt = unixTime();
    request.address = send.address;
    connection->send(
        m_protocol.requestToServer(request.exchange->request, send),
        [this, id = request.id, &connection = *connection](
            const HttpResponse& response) { return m_protocol.check(response, id, connection.isReused()); },
        [this, handle = send.request, connection](
            ExchangeResult result) { sendFinished(handle, connection, std::move(result)); });
}

void RequestGateway::reportUnsent(RequestHandle handle, DispatchResult result, std::string detail)
{
    asio::post(m_context, [this, isAlive = m_isAlive, handle, result, detail = std::move(detail)] {
        if (*isAlive)
            report(handle, { result, {}, {}, detail });
    });
}

void RequestGateway::perform(const PassToInstance& pass)
{
    const auto it = m_requests.find(pass.request);
    if (it == m_requests.end())
        return;
    auto& request = it->second;
    auto connection
        = m_peers.acquire(BackendServerId(pass.instance.value()), pass.address, pass.isIdempotent, request.id);
    if (!connection) {
        reportUnsent(pass.request, DispatchResult::NotSent,
            "connection limit of the instance reached or instance address invalid");
        return;
    }
    request.connection = connection;
    request.isAtPeer = true;
    connection->send(
        m_protocol.requestToInstance(request.exchange->request, pass),
        [this, id = request.id](const HttpResponse& response) {
            // Instances state the length of each body. Without it, a part that arrived would pass for the whole.
            return endsWithConnection(response) ? ResponseVerdict::Reject : m_protocol.checkFromInstance(response, id);
        },
        [this, handle = pass.request, connection](
            ExchangeResult result) { passFinished(handle, connection, std::move(result)); });
}

void RequestGateway::passFinished(
    RequestHandle handle, const std::shared_ptr<ClientConnection>& connection, ExchangeResult result)
{
    const auto it = m_requests.find(handle);
    if (it == m_requests.end() || it->second.connection != connection)
        return;
    it->second.connection.reset();
    SendReport sendReport;
    if (result) {
        sendReport.result = m_protocol.inspectInstanceResponse(*result);
        sendReport.detail = "status " + std::to_string(result->result_int());
        it->second.response = std::move(*result);
    } else {
        recordFailure(result.error(), m_peers, sendReport);
    }
    report(handle, sendReport);
}

void RequestGateway::perform(const ProbeServer& probe)
{
    m_connections.tryConnect(probe.address, probe.isUrgent ? Duration { 0 } : probeSettleTime,
        [this, isAlive = m_isAlive, probe](ConnectOutcome outcome) {
            if (*isAlive)
                perform(m_steering.probed(probe, outcome, steadyNow()));
        });
}

void RequestGateway::perform(const CheckServer& check)
{
    m_connections.tryConnect(
        check.address, probeSettleTime, [this, isAlive = m_isAlive, check](ConnectOutcome outcome) {
            if (*isAlive)
                m_steering.checked(check, outcome, steadyNow());
        });
}

void RequestGateway::sendFinished(
    RequestHandle handle, const std::shared_ptr<ClientConnection>& connection, ExchangeResult result)
{
    const auto it = m_requests.find(handle);
    if (it == m_requests.end() || it->second.connection != connection)
        return;
    it->second.connection.reset();
    SendReport sendReport;
    sendReport.connectTime = connection->takeConnectTime();
    if (result) {
        const auto info = m_protocol.inspectResponse(*result);
        if (info.result == DispatchResult::Succeeded || info.result == DispatchResult::ServerError)
            *it->second.hasResponse = true;
        else
            connection->noteRefusal(it->second.id);
        sendReport.result = info.result;
        sendReport.statement = info.statement;
        sendReport.responseBytes = result->body().size();
        if (info.result != DispatchResult::Succeeded)
            sendReport.detail = "status " + std::to_string(result->result_int());
        it->second.response = std::move(*result);
    } else {
        recordFailure(result.error(), m_connections, sendReport);
        if (result.error().wasSent)
            checkServer(it->second);
    }
    report(handle, sendReport);
}

void RequestGateway::checkServer(const OpenRequest& request)
{
    // A process that ends may still have accepted the connection.
    m_connections.tryConnect(request.address, probeSettleTime,
        [this, isAlive = m_isAlive,
            report = CrashReport { request.content, request.server, request.incarnation,
                LostSend { request.sentAt, unixTime() } },
            address = request.address, hasResponse = request.hasResponse, id = request.id](ConnectOutcome outcome) {
            if (!*isAlive)
                return;
            m_log.write(LogLevel::Info,
                LogLine("server_checked")
                    .add("request", id)
                    .add("server", report.server)
                    .add("outcome", enumName(outcome)));
            // The response has removed all reports of the request; a late one must not follow it.
            if (!*hasResponse)
                perform(m_steering.sendLost(report, address, outcome, steadyNow()));
        });
}

void RequestGateway::report(RequestHandle handle, const SendReport& sendReport)
{
    perform(m_steering.finished(handle, sendReport, steadyNow()));
}

void RequestGateway::perform(const CancelSend& cancel)
{
    const auto it = m_requests.find(cancel.request);
    if (it == m_requests.end() || !it->second.connection)
        return;
    const auto connection = std::exchange(it->second.connection, nullptr);
    connection->close();
}

void RequestGateway::perform(const WithdrawSend& withdraw)
{
    const auto it = m_requests.find(withdraw.request);
    if (it == m_requests.end() || !it->second.connection || it->second.connection->hasSent())
        return;
    std::exchange(it->second.connection, nullptr)->close();
    reportUnsent(withdraw.request, DispatchResult::Withdrawn, "the connection was being opened");
}

void RequestGateway::perform(const DeliverResponse& deliver)
{
    const auto it = m_requests.find(deliver.request);
    if (it == m_requests.end() || !it->second.response)
        return;
    auto& response = *it->second.response;
    answer(deliver.request,
        it->second.isAtPeer ? m_protocol.instanceResponseToCaller(std::move(response))
                            : m_protocol.responseToCaller(std::move(response)));
}

void RequestGateway::perform(const RejectRequest& reject) { answer(reject.request, m_protocol.rejection(reject)); }

void RequestGateway::answer(RequestHandle handle, HttpResponse response)
{
    auto node = m_requests.extract(handle);
    if (node.empty())
        return;
    node.mapped().exchange->releaseRequestBody();
    node.mapped().exchange->respond(std::move(response));
}

}
