#include "CallerListener.h"

#include "HttpReplies.h"

#include "base/PercentEncoding.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace peridot {

namespace {

    namespace http = web::http;

    constexpr std::size_t longestIdempotencyKey = 255;

    Refusal badRequest(const std::string& code, const std::string& message)
    {
        return { 400, code, message, RunState::NotRun, {} };
    }

    /** Returns a query parameter, decoded; empty if it is missing. */
    std::string queryParameter(const std::string& query, const std::string& wanted)
    {
        std::size_t start = 0;
        while (start <= query.size()) {
            const auto end = std::min(query.find('&', start), query.size());
            const auto parameter = query.substr(start, end - start);
            const auto equals = parameter.find('=');
            if (equals != std::string::npos && percentDecoded(parameter.substr(0, equals), true) == wanted)
                return percentDecoded(parameter.substr(equals + 1), true);
            start = end + 1;
        }
        return "";
    }

    std::string lookupBody(const std::string& service, const LookupResponse& answer)
    {
        auto instances = nlohmann::ordered_json::array();
        for (const auto& instance : answer.instances) {
            instances.push_back({
                { "name", instance.id.value() },
                { "region", instance.region.value() },
                { "failure_domain", instance.failureDomain.value() },
                { "address", instance.address },
            });
        }
        const nlohmann::ordered_json body {
            { "service", service },
            { "version", answer.version },
            { "ttl_ms", toMilliseconds(answer.timeToLive) },
            { "instances", instances },
        };
        return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

    bool isPrintable(const std::string& text)
    {
        return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > 0x20 && c < 0x7f; });
    }

    /** Reads the Request-Timeout-Ms header. Returns nothing if it is no positive number. */
    std::optional<Duration> requestTimeout(const http::http_headers& headers, Duration fallback, Duration longest)
    {
        const auto it = headers.find("Request-Timeout-Ms");
        if (it == headers.end())
            return fallback;
        const std::string& text = it->second;
        std::uint32_t count = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
        if (error != std::errc {} || end != text.data() + text.size() || count == 0)
            return std::nullopt;
        return std::min<Duration>(std::chrono::milliseconds { count }, longest);
    }

    /** A request with two statements of its length could be read differently by the next server. */
    bool hasConflictingLengths(const http::http_headers& headers)
    {
        const auto length = headers.find("Content-Length");
        if (length == headers.end())
            return false;
        const std::string& text = length->second;
        return headers.has("Transfer-Encoding") || text.empty()
            || text.find_first_not_of("0123456789") != std::string::npos;
    }

    std::optional<Refusal> checkFraming(const http::http_request& request, const RequestLimits& limits)
    {
        const auto& headers = request.headers();
        if (headerBytes(request) > limits.headerBytes)
            return Refusal { 431, "headers_too_large",
                "request line and headers exceed " + std::to_string(limits.headerBytes) + " bytes", RunState::NotRun,
                {} };
        if (hasConflictingLengths(headers))
            return badRequest("bad_length", "Content-Length is not a number, or stands beside Transfer-Encoding");
        std::uint64_t length = 0;
        if (headers.match("Content-Length", length) && length > limits.bodyBytes)
            return Refusal { 413, "body_too_large", "the body exceeds " + std::to_string(limits.bodyBytes) + " bytes",
                RunState::NotRun, {} };
        return std::nullopt;
    }

    std::optional<Refusal> checkTarget(const http::http_request& request, const ScreenedRequest& screened)
    {
        const std::string path = request.request_uri().path();
        if (request.method() == http::methods::TRCE || request.method() == http::methods::CONNECT)
            return Refusal { 405, "method_not_allowed", "TRACE and CONNECT are not forwarded", RunState::NotRun, {} };
        if (path.size() < 2 || path[0] != '/' || path[1] == '/')
            return Refusal { 404, "unknown_service", "the path names no service", RunState::NotRun, {} };
        if (hasAmbiguousSegments(path))
            return badRequest("bad_path", "the path holds dot segments, backslashes or doubly encoded characters");
        if (screened.isKeyInPath)
            return badRequest("key_in_path", "the path holds the key, which no backend server may see");
        return std::nullopt;
    }

}

CallerListener::CallerListener(
    Identity identity, const ForwardingContext& context, std::function<void(std::string&)> writeMetrics)
    : m_identity(std::move(identity))
    , m_context(context)
    , m_writeMetrics(std::move(writeMetrics))
    , m_listener(m_identity.address, m_identity.tls, m_context.log,
          [this](const http::http_request& request) { handle(request); })
{
}

RequestId CallerListener::nextRequestId()
{
    return RequestId { m_identity.requestIdPrefix + std::to_string(++m_requestCount) };
}

void CallerListener::handle(const http::http_request& request)
{
    const auto id = nextRequestId();
    if (const auto refusal = checkFraming(request, m_context.limits)) {
        m_context.statistics.countRequest("", refusal->code, {});
        sendLastRefusal(request, *refusal, id);
        return;
    }
    const std::string path = request.request_uri().path();
    if (path != "/v1" && path.rfind("/v1/", 0) != 0) {
        handleService(request, id);
        return;
    }
    if (request.method() != http::methods::GET)
        send(request, makeRefusal({ 405, "method_not_allowed", "only GET is allowed here", RunState::NotRun, {} }, id));
    else if (path == "/v1/lookup")
        handleLookup(request, id);
    else if (path == "/v1/health")
        handleHealth(request, id);
    else if (path == "/v1/metrics")
        handleMetrics(request, id);
    else
        send(request, makeRefusal({ 404, "not_found", "no such resource", RunState::NotRun, {} }, id));
}

void CallerListener::handleLookup(const http::http_request& request, const RequestId& id)
{
    const std::string query = request.request_uri().query();
    const std::string service = queryParameter(query, "service");
    std::string client = queryParameter(query, "client");
    if (client.empty())
        client = request.remote_address();
    if (service.empty()) {
        send(request, makeRefusal(badRequest("bad_lookup", "the query parameter 'service' is missing"), id));
        return;
    }
    const auto result = m_context.driver.lookup({ ServiceId { service }, client });
    if (const auto* refusal = std::get_if<Refusal>(&result)) {
        m_context.statistics.countLookup(refusal->code);
        send(request, makeRefusal(*refusal, id));
        return;
    }
    const auto& answer = std::get<LookupResponse>(result);
    m_context.statistics.countLookup("answered");
    auto response = makeJsonResponse(200, id, lookupBody(service, answer));
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(answer.timeToLive).count();
    response.headers().add("Cache-Control", "max-age=" + std::to_string(seconds));
    send(request, response);
}

void CallerListener::handleHealth(const http::http_request& request, const RequestId& id)
{
    const auto state = m_context.driver.state();
    const nlohmann::ordered_json body {
        { "state", enumName(state) },
        { "version", m_context.driver.configurationVersion() },
        { "open_requests", m_context.driver.openRequests() },
    };
    // A leaving instance still serves.
    send(request, makeJsonResponse(state == InstanceState::Starting ? 503 : 200, id, body.dump()));
}

void CallerListener::handleMetrics(const http::http_request& request, const RequestId& id)
{
    std::string page;
    m_context.statistics.write(page);
    writeMetric(page, "peridot_open_requests", "gauge", m_context.driver.openRequests());
    writeMetric(page, "peridot_configuration_version", "gauge", m_context.driver.configurationVersion());
    m_writeMetrics(page);
    auto response = makeResponse(200, id);
    response.set_body(page, "text/plain; version=0.0.4; charset=utf-8");
    send(request, response);
}

void CallerListener::handleService(const http::http_request& request, const RequestId& id)
{
    const auto& headers = request.headers();
    const std::string path = request.request_uri().path();
    auto screened = screenRequest(headerList(headers), path, request.request_uri().query());

    RequestHead head;
    head.id = id;
    head.method = request.method();
    head.path = path;
    head.clientAddress = request.remote_address();
    head.presentedKeys = screened.presentedKeys;
    headers.match("Idempotency-Key", head.idempotencyKey);
    const auto timeout = requestTimeout(headers, m_identity.defaultTimeout, m_identity.longestTimeout);

    auto refusal = checkTarget(request, screened);
    if (!refusal && !timeout)
        refusal = badRequest("bad_timeout", "Request-Timeout-Ms is not a positive number");
    if (!refusal && (head.idempotencyKey.size() > longestIdempotencyKey || !isPrintable(head.idempotencyKey)))
        refusal = badRequest("bad_idempotency_key", "Idempotency-Key holds 1 to 255 printable ASCII characters");
    if (!refusal && m_context.driver.openRequests() >= m_context.limits.openRequests)
        refusal = Refusal { 503, "too_many_requests_open", "the instance holds as many requests as it can",
            RunState::NotRun, std::chrono::seconds { 1 } };
    if (refusal) {
        m_context.statistics.countRequest("", refusal->code, {});
        send(request, makeRefusal(*refusal, id));
        return;
    }
    head.timeout = *timeout;
    std::make_shared<ForwardedRequest>(m_context, request, std::move(head), std::move(screened))->start();
}

}
