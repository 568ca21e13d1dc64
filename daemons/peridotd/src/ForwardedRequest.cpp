#include "ForwardedRequest.h"

#include "BodyReader.h"
#include "HttpReplies.h"

#include "base/LogLine.h"

#include <cpprest/rawptrstream.h>

#include <algorithm>
#include <system_error>

namespace peridot {

namespace {

    namespace http = web::http;

    /** The service a path names, without check whether it exists. */
    std::string serviceOf(const std::string& path)
    {
        const auto end = path.find('/', 1);
        return path.substr(1, end == std::string::npos ? end : end - 1);
    }

    bool hasNoBody(const std::string& method, std::uint16_t status)
    {
        return method == "HEAD" || status == 204 || status == 304;
    }

    bool isChunked(const http::http_headers& headers)
    {
        const auto it = headers.find("Transfer-Encoding");
        return it != headers.end() && it->second.find("chunked") != std::string::npos;
    }

    std::optional<std::uint64_t> contentLength(const http::http_headers& headers)
    {
        std::uint64_t length = 0;
        if (headers.match("Content-Length", length))
            return length;
        return std::nullopt;
    }

    /** A backend server states with this header that it has refused a request without running any of it. */
    bool isShed(const http::http_response& response)
    {
        return response.status_code() == 503 && response.headers().has("X-Not-Run");
    }

    Duration retryAfter(const http::http_headers& headers)
    {
        std::uint64_t seconds = 0;
        if (headers.match("Retry-After", seconds))
            return std::chrono::seconds { std::min<std::uint64_t>(seconds, 3600) };
        return Duration { 0 };
    }

}

ForwardedRequest::ForwardedRequest(
    const ForwardingContext& context, const http::http_request& request, RequestHead head, ScreenedRequest screened)
    : m_context(context)
    , m_request(request)
    , m_head(std::move(head))
    , m_screened(std::move(screened))
    , m_start(steadyNow())
    , m_declaredBodyBytes(contentLength(m_request.headers()))
{
}

void ForwardedRequest::start()
{
    if (m_declaredBodyBytes.value_or(0) == 0 && !isChunked(m_request.headers())) {
        begin();
        return;
    }
    BodyReader::read(
        m_request.body(),
        [self = shared_from_this()](
            const std::uint8_t* data, std::size_t size) { return self->takeRequestPiece(data, size); },
        [self = shared_from_this()](const std::exception_ptr& error) { self->requestBodyEnded(error); });
}

bool ForwardedRequest::takeRequestPiece(const std::uint8_t* data, std::size_t size)
{
    bool startsStreaming = false;
    {
        const std::lock_guard lock(m_mutex);
        m_bodyBytes += size;
        m_isBodyTooLong = m_bodyBytes > m_context.limits.bodyBytes;
        if (!m_isBodyTooLong && m_bodyPipe) {
            // After the answer, the rest of the body is read and dropped, so that it does not pile up.
            if (m_stage != Stage::Answered)
                m_bodyPipe->putn_nocopy(data, size).wait();
            return true;
        }
        if (!m_isBodyTooLong) {
            m_body.insert(m_body.end(), data, data + size);
            startsStreaming = m_body.size() > m_context.limits.bufferedBodyBytes;
            if (startsStreaming) {
                m_bodyPipe.emplace();
                m_bodyPipe->putn_nocopy(m_body.data(), m_body.size()).wait();
                m_body = {};
            }
        }
    }
    if (m_isBodyTooLong) {
        refuseOversizeBody();
        return false;
    }
    if (startsStreaming)
        begin();
    return true;
}

void ForwardedRequest::refuseOversizeBody()
{
    AttemptPointer attempt;
    bool hasBegun = false;
    {
        const std::lock_guard lock(m_mutex);
        attempt = m_attempt;
        hasBegun = m_stage != Stage::ReadingBody;
        m_isCallerGone = true; // Nobody waits for the outcome of the attempt any more.
        if (m_bodyPipe)
            m_bodyPipe->close(std::ios_base::out, std::make_exception_ptr(std::runtime_error("body too long")));
    }
    const Refusal refusal { 413, "body_too_large",
        "the body exceeds " + std::to_string(m_context.limits.bodyBytes) + " bytes",
        attempt ? RunState::Unknown : RunState::NotRun, {} };
    if (attempt)
        attempt->cancellation.cancel();
    else if (hasBegun)
        m_context.driver.abandoned(m_head.id);
    if (!markAnswered())
        return;
    sendLastRefusal(m_request, refusal, m_head.id);
    logFinished(refusal.status, refusal.code, 0);
}

void ForwardedRequest::requestBodyEnded(const std::exception_ptr& error)
{
    bool isBuffered = false;
    {
        const std::lock_guard lock(m_mutex);
        isBuffered = !m_bodyPipe;
        // Set before the pipe ends: the exchange with the backend server may fail before callerHasGone() is called, and
        // would count as a failure of that server.
        if (error)
            m_isCallerGone = true;
        // A body that broke off must not look complete to the backend server.
        if (m_bodyPipe && error)
            m_bodyPipe->close(std::ios_base::out, error);
        else if (m_bodyPipe)
            m_bodyPipe->close(std::ios_base::out);
    }
    if (error) {
        callerHasGone();
        return;
    }
    if (isBuffered)
        begin();
}

void ForwardedRequest::begin()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stage = Stage::Waiting;
        m_head.bodyBytes = m_declaredBodyBytes.value_or(m_bodyBytes);
    }
    m_context.driver.begin(m_head, shared_from_this());
}

bool ForwardedRequest::markAnswered()
{
    const std::lock_guard lock(m_mutex);
    if (m_stage == Stage::Answered || m_stage == Stage::Streaming)
        return false;
    m_stage = Stage::Answered;
    return true;
}

void ForwardedRequest::refuse(const Refusal& refusal)
{
    if (!markAnswered())
        return;
    auto response = makeRefusal(refusal, m_head.id);
    closeIfLeaving(response);
    send(m_request, response);
    logFinished(refusal.status, refusal.code, 0);
}

void ForwardedRequest::replay(const RecordedResponse& recorded)
{
    if (!markAnswered())
        return;
    auto response = makeResponse(recorded.status, m_head.id);
    response.headers().add("Idempotency-Replayed", "true");
    if (!recorded.body.empty() || !recorded.contentType.empty())
        response.set_body(recorded.body, recorded.contentType);
    send(m_request, response);
    logFinished(recorded.status, "replayed", recorded.body.size());
}

bool ForwardedRequest::expire(bool isLast)
{
    AttemptPointer attempt;
    RunState run = RunState::NotRun;
    {
        const std::lock_guard lock(m_mutex);
        if (m_stage == Stage::Answered)
            return true;
        if (m_stage == Stage::Dispatched || m_stage == Stage::Streaming) {
            m_isExpired = true;
            attempt = m_attempt;
        } else if (!isLast) {
            return false;
        } else {
            // Set under the lock: a dispatch that comes now is not sent, so that "not run" stays true.
            m_stage = Stage::Answered;
            run = m_mayHaveRun ? RunState::Unknown : RunState::NotRun;
        }
    }
    if (attempt) {
        attempt->cancellation.cancel();
        return true;
    }
    const Refusal refusal { 504, "deadline_exceeded", "the request was not decided in time", run, {} };
    send(m_request, makeRefusal(refusal, m_head.id));
    logFinished(refusal.status, refusal.code, 0);
    return true;
}

void ForwardedRequest::callerHasGone()
{
    AttemptPointer attempt;
    bool isWaiting = false;
    {
        const std::lock_guard lock(m_mutex);
        if (m_stage == Stage::Answered)
            return;
        m_isCallerGone = true;
        isWaiting = m_stage == Stage::Waiting;
        if (m_stage == Stage::Dispatched || m_stage == Stage::Streaming)
            attempt = m_attempt;
        else
            m_stage = Stage::Answered;
    }
    if (attempt) {
        attempt->cancellation.cancel();
        return;
    }
    if (isWaiting)
        m_context.driver.abandoned(m_head.id);
    const Refusal refusal { 400, "body_incomplete", "the body broke off", RunState::NotRun, {} };
    sendLastRefusal(m_request, refusal, m_head.id);
    logFinished(refusal.status, refusal.code, 0);
}

void ForwardedRequest::dispatch(const DispatchRequest& dispatch)
{
    const auto attempt = std::make_shared<Attempt>();
    attempt->backendServer = dispatch.backendServer;
    attempt->start = steadyNow();
    bool isSendable = false;
    {
        const std::lock_guard lock(m_mutex);
        isSendable = m_stage == Stage::Waiting && !(m_bodyPipe && m_attempts > 0);
        if (isSendable) {
            m_stage = Stage::Dispatched;
            m_attempt = attempt;
            ++m_attempts;
        }
    }
    if (isSendable) {
        sendAttempt(attempt, dispatch);
        return;
    }
    // A long body is gone with the first attempt.
    refuse({ 503, "not_repeatable", "a backend server refused the request and its body is too long to keep",
        m_mayHaveRun ? RunState::Unknown : RunState::NotRun, std::chrono::seconds { 1 } });
    m_context.driver.finished(m_head.id, DispatchOutcome { DispatchOutcomeKind::Cancelled, {}, {}, 0, false, {} });
}

http::http_request ForwardedRequest::backendRequest(const DispatchRequest& dispatch)
{
    http::http_request request(m_head.method);
    const std::string target = m_screened.query.empty() ? m_head.path : m_head.path + '?' + m_screened.query;
    request.set_request_uri(web::uri(target));
    for (const auto& [name, value] : m_screened.headers)
        request.headers().add(name, value);
    request.headers().add("X-Request-Id", m_head.id.value());
    request.headers().add("Request-Timeout-Ms", std::max<std::int64_t>(toMilliseconds(dispatch.timeout), 1));
    if (!dispatch.workspace.isEmpty())
        request.headers().add("X-Workspace", dispatch.workspace.value());
    const auto type = m_request.headers().content_type();
    if (m_bodyPipe && m_declaredBodyBytes)
        request.set_body(m_bodyPipe->create_istream(), *m_declaredBodyBytes, type);
    else if (m_bodyPipe)
        request.set_body(m_bodyPipe->create_istream(), type);
    else if (!m_body.empty())
        request.set_body(concurrency::streams::rawptr_stream<std::uint8_t>::open_istream(m_body.data(), m_body.size()),
            m_body.size(), type);
    return request;
}

void ForwardedRequest::sendAttempt(const AttemptPointer& attempt, const DispatchRequest& dispatch)
{
    try {
        attempt->hasFreshConnection = dispatch.needsFreshConnection || m_bodyPipe;
        attempt->client = attempt->hasFreshConnection ? m_context.clients.fresh(dispatch.address)
                                                      : m_context.clients.pooled(dispatch.address);
        attempt->client->request(backendRequest(dispatch), attempt->cancellation.get_token())
            .then([self = shared_from_this(), attempt](const pplx::task<http::http_response>& task) {
                try {
                    self->headArrived(attempt, task.get());
                } catch (...) {
                    self->failed(attempt, self->outcomeOf(std::current_exception()));
                }
            });
    } catch (const std::exception& error) {
        // Building the request failed; nothing was sent.
        m_context.log.write(
            LogLevel::Warning, LogLine("request_not_built").add("request", m_head.id).add("message", error.what()));
        failed(attempt, DispatchOutcomeKind::NotSent);
    }
}

DispatchOutcomeKind ForwardedRequest::outcomeOf(const std::exception_ptr& error)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_isExpired)
            return DispatchOutcomeKind::TimedOut;
        if (m_isCallerGone)
            return DispatchOutcomeKind::Cancelled;
    }
    try {
        std::rethrow_exception(error);
    } catch (const http::http_exception& exception) {
        logBroken(exception.what());
        if (exception.error_code() == std::errc::host_unreachable)
            return DispatchOutcomeKind::NotSent;
        return exception.error_code() == std::errc::timed_out ? DispatchOutcomeKind::TimedOut
                                                              : DispatchOutcomeKind::Failed;
    } catch (const std::exception& exception) {
        logBroken(exception.what());
        return DispatchOutcomeKind::Failed;
    } catch (...) {
        return DispatchOutcomeKind::Failed;
    }
}

void ForwardedRequest::logBroken(const char* message) const
{
    m_context.log.write(
        LogLevel::Warning, LogLine("exchange_broken").add("request", m_head.id).add("message", message));
}

void ForwardedRequest::headArrived(const AttemptPointer& attempt, const http::http_response& response)
{
    if (!isResponseTo(response, m_head.id)) {
        m_context.log.write(LogLevel::Error,
            LogLine("response_of_other_request")
                .add("request", m_head.id)
                .add("backend_server", attempt->backendServer));
        attempt->cancellation.cancel();
        failed(attempt, DispatchOutcomeKind::Failed);
        return;
    }
    if (isShed(response)) {
        // On a kept connection, a refusal without an id may be a late copy of an earlier one, while this request runs.
        const bool isCertain = attempt->hasFreshConnection || response.headers().has("X-Request-Id");
        if (!isCertain)
            attempt->cancellation.cancel();
        failed(attempt, isCertain ? DispatchOutcomeKind::Shed : DispatchOutcomeKind::Failed,
            retryAfter(response.headers()));
        return;
    }
    attempt->response = response;
    attempt->expectedBytes = contentLength(response.headers());
    if (hasNoBody(m_head.method, response.status_code())) {
        attempt->expectedBytes = 0;
    } else if (!attempt->expectedBytes && !isChunked(response.headers())) {
        // Such a body cannot be told from one that broke off.
        logBroken("the response ends with its connection");
        attempt->cancellation.cancel();
        failed(attempt, DispatchOutcomeKind::Failed);
        return;
    }
    if (attempt->expectedBytes == 0U) {
        completed(attempt);
        return;
    }
    BodyReader::read(
        response.body(),
        [self = shared_from_this(), attempt](
            const std::uint8_t* data, std::size_t size) { return self->takeResponsePiece(attempt, data, size); },
        [self = shared_from_this(), attempt](const std::exception_ptr& error) { self->responseEnded(attempt, error); });
}

bool ForwardedRequest::takeResponsePiece(const AttemptPointer& attempt, const std::uint8_t* data, std::size_t size)
{
    attempt->receivedBytes += size;
    if (attempt->pipe) {
        attempt->pipe->putn_nocopy(data, size).wait();
        return true;
    }
    attempt->buffered.insert(attempt->buffered.end(), data, data + size);
    if (attempt->buffered.size() > m_context.limits.bufferedBodyBytes)
        startStreaming(attempt);
    return true;
}

void ForwardedRequest::closeIfLeaving(http::http_response& response) const
{
    // Callers that keep their connection would lose a request to the end of the process.
    if (m_context.driver.state() == InstanceState::Leaving)
        response.headers()["Connection"] = "close";
}

http::http_response ForwardedRequest::callerResponse(const Attempt& attempt) const
{
    auto response = makeResponse(attempt.response.status_code(), m_head.id);
    closeIfLeaving(response);
    for (const auto& [name, value] : screenResponseHeaders(headerList(attempt.response.headers())))
        response.headers().add(name, value);
    return response;
}

void ForwardedRequest::startStreaming(const AttemptPointer& attempt)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_stage != Stage::Dispatched)
            return;
        m_stage = Stage::Streaming;
        attempt->pipe.emplace();
        attempt->pipe->putn_nocopy(attempt->buffered.data(), attempt->buffered.size()).wait();
        attempt->buffered = {};
    }
    auto response = callerResponse(*attempt);
    const auto type = attempt->response.headers().content_type();
    if (attempt->expectedBytes)
        response.set_body(attempt->pipe->create_istream(), *attempt->expectedBytes, type);
    else
        response.set_body(attempt->pipe->create_istream(), type);
    m_request.reply(response).then([self = shared_from_this()](const pplx::task<void>& task) {
        try {
            task.get();
        } catch (const std::exception&) {
            self->callerHasGone();
        }
    });
}

void ForwardedRequest::responseEnded(const AttemptPointer& attempt, const std::exception_ptr& error)
{
    if (error) {
        failed(attempt, outcomeOf(error));
        return;
    }
    if (attempt->expectedBytes && *attempt->expectedBytes != attempt->receivedBytes) {
        failed(attempt, DispatchOutcomeKind::Failed);
        return;
    }
    completed(attempt);
}

void ForwardedRequest::completed(const AttemptPointer& attempt)
{
    bool isStreamed = false;
    bool isAnswered = false;
    {
        const std::lock_guard lock(m_mutex);
        if (attempt->isOver)
            return;
        attempt->isOver = true;
        isStreamed = m_stage == Stage::Streaming;
        isAnswered = m_stage == Stage::Answered;
        m_stage = Stage::Answered;
    }
    const auto status = attempt->response.status_code();
    DispatchOutcome outcome { DispatchOutcomeKind::Completed, steadyNow() - attempt->start, {}, attempt->receivedBytes,
        isStreamed, { status, attempt->response.headers().content_type(), {} } };
    if (isStreamed) {
        attempt->pipe->close(std::ios_base::out);
    } else if (!isAnswered) {
        outcome.response.body.assign(attempt->buffered.begin(), attempt->buffered.end());
        auto response = callerResponse(*attempt);
        if (!attempt->buffered.empty())
            response.set_body(std::move(attempt->buffered));
        send(m_request, response);
    }
    m_context.driver.finished(m_head.id, outcome);
    logFinished(status, "completed", attempt->receivedBytes);
}

void ForwardedRequest::failed(const AttemptPointer& attempt, DispatchOutcomeKind kind, Duration retryAfter)
{
    bool isStreamed = false;
    bool isAbandoned = false;
    {
        const std::lock_guard lock(m_mutex);
        if (attempt->isOver)
            return;
        attempt->isOver = true;
        isStreamed = m_stage == Stage::Streaming;
        m_mayHaveRun |= kind != DispatchOutcomeKind::Shed && kind != DispatchOutcomeKind::NotSent;
        isAbandoned = m_stage == Stage::Dispatched && kind == DispatchOutcomeKind::Cancelled;
        if (m_stage == Stage::Dispatched)
            m_stage = isAbandoned ? Stage::Answered : Stage::Waiting;
        else if (isStreamed)
            m_stage = Stage::Answered;
    }
    if (isStreamed) {
        // Closes the caller's connection before the announced end, so that the caller sees the truncation.
        attempt->pipe->close(std::ios_base::out, std::make_exception_ptr(std::runtime_error("the response broke off")));
        logFinished(attempt->response.status_code(), std::string(enumName(kind)), attempt->receivedBytes);
    }
    if (isAbandoned) {
        // cpprestsdk releases a connection only after a reply, even if no one reads it.
        const Refusal refusal { 400, "body_incomplete", "the body broke off", RunState::Unknown, {} };
        sendLastRefusal(m_request, refusal, m_head.id);
        logFinished(refusal.status, refusal.code, 0);
    }
    m_context.driver.finished(m_head.id,
        DispatchOutcome { kind, steadyNow() - attempt->start, retryAfter, attempt->receivedBytes, isStreamed, {} });
}

void ForwardedRequest::logFinished(std::uint16_t status, const std::string& outcome, std::uint64_t responseBytes)
{
    std::string backendServer;
    std::uint32_t attempts = 0;
    std::uint64_t bodyBytes = 0;
    {
        const std::lock_guard lock(m_mutex);
        backendServer = m_attempt ? m_attempt->backendServer.value() : "";
        attempts = m_attempts;
        bodyBytes = m_bodyBytes;
    }
    const Duration latency = steadyNow() - m_start;
    // Only a service that has a backend server is known to exist.
    m_context.statistics.countRequest(attempts > 0 ? serviceOf(m_head.path) : "", outcome, latency);
    if (!m_context.log.isEnabled(LogLevel::Info))
        return;
    m_context.log.write(LogLevel::Info,
        LogLine("request_finished")
            .add("request", m_head.id)
            .add("method", m_head.method)
            .add("service", serviceOf(m_head.path))
            .add("status", status)
            .add("outcome", outcome)
            .add("backend_server", backendServer)
            .add("attempts", attempts)
            .add("request_bytes", bodyBytes)
            .add("response_bytes", responseBytes)
            .add("duration_ms", latency));
}

}
