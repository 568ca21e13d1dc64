// The life of a request: read, admitted, run, answered.

#include "BackendConnection.h"

#include "program/CheckedBody.h"
#include "program/Clocks.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/lexical_cast.hpp>
#include <nlohmann/json.hpp>

#include <sstream>
#include <utility>

namespace peridot {

namespace {

    namespace asio = boost::asio;
    namespace http = boost::beast::http;
    using asio::ip::tcp;

    constexpr std::uint32_t largestHeader = 64U << 10U;
    constexpr std::uint64_t largestBody = 64U << 20U;
    constexpr std::size_t largestResponse = 64U << 20U;
    // A held response is sent unchanged if no other turns up to be exchanged with.
    constexpr Duration longestSwapWait = std::chrono::milliseconds { 500 };

    std::map<std::string, std::string> parseQuery(std::string_view query)
    {
        std::map<std::string, std::string> values;
        while (!query.empty()) {
            const auto end = std::min(query.find('&'), query.size());
            const auto parameter = query.substr(0, end);
            const auto equals = std::min(parameter.find('='), parameter.size());
            const auto value = equals < parameter.size() ? parameter.substr(equals + 1) : std::string_view {};
            values.emplace(parameter.substr(0, equals), value);
            query.remove_prefix(std::min(end + 1, query.size()));
        }
        return values;
    }

    template <typename Number> std::optional<Number> parseNumber(std::string_view text)
    {
        Number number = 0;
        if (text.empty() || text.front() == '-' || !boost::conversion::try_lexical_convert(text, number))
            return std::nullopt;
        return number;
    }

    std::string headerValue(const auto& message, const char* name)
    {
        const auto it = message.find(name);
        return it == message.end() ? std::string() : std::string(it->value());
    }

}

BackendConnection::BackendConnection(tcp::socket socket, ServedServer& server)
    : m_socket(std::move(socket))
    , m_server(server)
    , m_timer(m_socket.get_executor())
{
}

void BackendConnection::readRequest()
{
    m_parser.emplace();
    m_parser->header_limit(largestHeader);
    m_parser->body_limit(largestBody);
    http::async_read(m_socket, m_buffer, *m_parser,
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t) { self->requestRead(error); });
}

void BackendConnection::requestRead(const boost::system::error_code& error)
{
    if (m_isClosed)
        return;
    static const auto httpCategory = http::make_error_code(http::error::bad_method).category().name();
    if (error && error != http::error::end_of_stream && error != http::error::partial_message
        && error.category().name() == httpCategory) {
        ++m_server.counts().badRequests;
        m_request = {};
        auto response = makeError(400, "bad_request", error.message());
        response.keep_alive(false);
        return send(std::move(response));
    }
    if (error)
        return close();
    m_request = m_parser->release();
    ++m_served;
    handle();
}

void BackendConnection::handle()
{
    readTarget();
    m_job.reset();
    m_isCounted = false;
    if (m_request.method() == http::verb::get && (m_path == "/health" || m_path == "/load")) {
        ++m_server.counts().probes;
        const auto report = m_server.model().report(monotonicTime());
        return send(
            makeResponse(m_path == "/health" && !report.isHealthy ? 503 : 200, encodeLoadReport(report).dump()));
    }
    ScreenedMessage screened { std::string(m_request.target()), {}, m_request.body() };
    for (const auto& field : m_request)
        screened.headers.emplace_back(field.name_string(), field.value());
    if (const auto place = m_server.context().keys.find(screened)) {
        m_server.context().log.write(LogLevel::Error,
            LogLine("caller_key_seen")
                .add("server", m_server.model().settings().name)
                .add("place", *place)
                .add("request_id", headerValue(m_request, "X-Request-Id")));
        m_server.context().keySeen();
        return close();
    }
    admit();
}

void BackendConnection::readTarget()
{
    const std::string_view target(m_request.target().data(), m_request.target().size());
    const auto question = std::min(target.find('?'), target.size());
    m_path = target.substr(0, question);
    m_query = parseQuery(target.substr(std::min(question + 1, target.size())));
}

std::optional<TimePoint> BackendConnection::readDeadline(TimePoint now) const
{
    const auto timeout = parseNumber<std::uint32_t>(headerValue(m_request, "Request-Timeout-Ms"));
    if (!timeout)
        return std::nullopt;
    return now + std::chrono::milliseconds { *timeout };
}

bool BackendConnection::isBodyDamaged() const
{
    const auto checksum = headerValue(m_request, "X-Content-Checksum");
    return !checksum.empty() && checksum != contentChecksum(m_request.body());
}

bool BackendConnection::drawsClose(double probability)
{
    return (!m_server.model().control().closesReusedOnly || m_served > 1) && m_server.model().draw(probability);
}

void BackendConnection::admit()
{
    auto& counts = m_server.counts();
    const auto& control = m_server.model().control();
    const auto now = monotonicTime();
    ++counts.requests;
    m_isCounted = true;
    counts.lastRequestUnixMs = unixMilliseconds();
    if (control.isDraining)
        ++counts.requestsWhileDraining;
    if (isBodyDamaged()) {
        ++counts.damagedBodies;
        return send(makeError(422, "damaged_body", "the body does not match X-Content-Checksum"));
    }
    if (drawsClose(control.closeBeforeRunProbability)) {
        ++counts.faults;
        return close();
    }
    if (m_server.model().draw(control.shedProbability))
        return shed();
    m_deadline = readDeadline(now);
    const auto job = m_server.nextJob();
    const auto arrival = m_server.model().arrive(job, now);
    if (arrival == Arrival::Shed)
        return shed();
    m_job = job;
    m_isRunning = false;
    watchForDisconnect();
    if (arrival == Arrival::Run)
        return startRun();
    m_server.wait(job, shared_from_this());
    if (m_deadline)
        after(*m_deadline - now, &BackendConnection::waitExpired);
}

void BackendConnection::shed()
{
    ++m_server.counts().shed;
    auto response = makeError(503, "overloaded", "all slots and the queue are taken; the request was not run");
    response.set("X-Not-Run", "true");
    response.set(http::field::retry_after, "1");
    send(std::move(response));
}

void BackendConnection::watchForDisconnect()
{
    m_socket.async_wait(tcp::socket::wait_read,
        [self = shared_from_this(), watched = m_served](const boost::system::error_code& error) {
            if (error || self->m_isClosed || self->m_served != watched || !self->m_job)
                return;
            boost::system::error_code ignored;
            // Readable without data means that the caller closed the connection; data is the next request.
            if (self->m_socket.available(ignored) == 0)
                self->disconnected();
        });
}

void BackendConnection::disconnected()
{
    ++(m_isRunning ? m_server.counts().cancelledRunning : m_server.counts().cancelledWaiting);
    close();
}

void BackendConnection::waitExpired()
{
    ++m_server.counts().expiredWaiting;
    m_server.leave(*std::exchange(m_job, std::nullopt));
    auto response = makeError(503, "deadline_exceeded", "the deadline passed before the request could run");
    response.set("X-Not-Run", "true");
    send(std::move(response));
}

void BackendConnection::startRun()
{
    ++m_server.counts().runs;
    m_isRunning = true;
    const auto echo = m_query.find("echo");
    m_server.context().runs.record({ headerValue(m_request, "X-Request-Id"), echo == m_query.end() ? "" : echo->second,
        std::string(m_request.method_string()), m_path, m_server.model().settings().name });
    const auto now = monotonicTime();
    const auto serviceTime = m_server.model().drawServiceTime();
    if (m_deadline && *m_deadline < now + serviceTime)
        after(*m_deadline - now, &BackendConnection::runExpired);
    else
        after(serviceTime, &BackendConnection::runEnded);
}

void BackendConnection::after(Duration delay, void (BackendConnection::*next)())
{
    ++m_step;
    m_timer.expires_after(delay);
    m_timer.async_wait([self = shared_from_this(), step = m_step, next](const boost::system::error_code& error) {
        if (!error && self->m_step == step && !self->m_isClosed)
            ((*self).*next)();
    });
}

void BackendConnection::runExpired()
{
    m_server.leave(*std::exchange(m_job, std::nullopt));
    ++m_server.counts().expiredRunning;
    send(makeError(504, "deadline_exceeded", "the deadline passed while the request ran"));
}

void BackendConnection::runEnded()
{
    m_server.leave(*std::exchange(m_job, std::nullopt));
    if (drawsClose(m_server.model().control().closeAfterRunProbability)) {
        ++m_server.counts().faults;
        return close();
    }
    finish(makeResult());
}

void BackendConnection::finish(Response response)
{
    auto& model = m_server.model();
    const auto control = model.control();
    if (model.draw(control.truncateProbability)) {
        ++m_server.counts().faults;
        return sendTruncated(response);
    }
    if (model.draw(control.swapProbability)) {
        ++m_server.counts().faults;
        if (!m_server.swapResponse(shared_from_this(), response))
            return hold(std::move(response));
    }
    if (model.draw(control.lateProbability)) {
        ++m_server.counts().faults;
        m_held = std::move(response);
        return after(control.lateBy, &BackendConnection::sendHeld);
    }
    send(std::move(response));
}

void BackendConnection::hold(Response response)
{
    m_held = std::move(response);
    after(longestSwapWait, &BackendConnection::sendHeld);
}

void BackendConnection::sendHeld()
{
    if (m_held)
        send(*std::exchange(m_held, std::nullopt));
}

bool BackendConnection::exchangeHeldResponse(Response& response)
{
    if (!m_held || m_isClosed)
        return false;
    std::swap(*m_held, response);
    sendHeld();
    return true;
}

void BackendConnection::send(Response response)
{
    ++m_step; // Ends timers of this request.
    m_timer.cancel();
    if (m_request.method() == http::verb::head) {
        const auto length = response.body().size();
        response.body().clear();
        response.content_length(length);
    }
    auto message = std::make_shared<Response>(std::move(response));
    const bool keepsAlive = message->keep_alive();
    http::async_write(m_socket, *message,
        [self = shared_from_this(), message, keepsAlive](
            const boost::system::error_code& error, std::size_t) { self->written(error, keepsAlive); });
}

void BackendConnection::sendTruncated(const Response& response)
{
    std::ostringstream text;
    text << response;
    auto bytes = std::make_shared<std::string>(text.str());
    bytes->resize(bytes->size() - response.body().size() / 2 - 1);
    asio::async_write(m_socket, asio::buffer(*bytes),
        [self = shared_from_this(), bytes](const boost::system::error_code&, std::size_t) { self->close(); });
}

void BackendConnection::written(const boost::system::error_code& error, bool keepsAlive)
{
    if (m_isClosed)
        return;
    if (!error && m_isCounted)
        ++m_server.counts().completed;
    if (error || !keepsAlive)
        return close();
    readRequest();
}

void BackendConnection::close()
{
    if (std::exchange(m_isClosed, true))
        return;
    ++m_step;
    m_timer.cancel();
    boost::system::error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
    m_server.connectionClosed();
    if (m_job)
        m_server.leave(*std::exchange(m_job, std::nullopt));
}

BackendConnection::Response BackendConnection::makeResponse(unsigned status, std::string body) const
{
    Response response(static_cast<http::status>(status), m_request.version() == 0 ? 11 : m_request.version());
    response.set(http::field::server, "peridot-backend");
    response.set(http::field::content_type, "application/json");
    if (const auto id = headerValue(m_request, "X-Request-Id"); !id.empty())
        response.set("X-Request-Id", id);
    response.set("X-Content-Checksum", contentChecksum(body));
    response.body() = std::move(body);
    response.keep_alive(m_request.keep_alive());
    const auto chunked = m_query.find("chunked");
    if (chunked != m_query.end() && chunked->second == "1" && m_request.version() == 11)
        response.chunked(true);
    else
        response.prepare_payload();
    return response;
}

BackendConnection::Response BackendConnection::makeError(
    unsigned status, const std::string& code, const std::string& message) const
{
    const nlohmann::json body { { "code", code }, { "message", message } };
    return makeResponse(status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

BackendConnection::Response BackendConnection::makeResult() const
{
    std::size_t bytes = m_server.model().behaviour().responseBytes;
    if (const auto it = m_query.find("bytes"); it != m_query.end())
        bytes = std::min(parseNumber<std::size_t>(it->second).value_or(bytes), largestResponse);
    const auto echo = m_query.find("echo");
    return makeResponse(200,
        makeCheckedBody({ headerValue(m_request, "X-Request-Id"), echo == m_query.end() ? "" : echo->second,
                            m_server.model().settings().name },
            bytes));
}

}
