#include "HttpReplies.h"

#include "BodyReader.h"

#include <nlohmann/json.hpp>

namespace peridot {

namespace {

    constexpr std::uint64_t lineOverhead = 4; // ": " and the line end.

    std::string refusalBody(const Refusal& refusal, const RequestId& id)
    {
        const nlohmann::ordered_json body {
            { "code", refusal.code },
            { "message", refusal.message },
            { "run", enumName(refusal.run) },
            { "retry_after_ms", toMilliseconds(refusal.retryAfter) },
            { "request_id", id.value() },
        };
        // A message may quote the caller's bytes, which need not be UTF-8.
        return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

}

HeaderList headerList(const web::http::http_headers& headers)
{
    HeaderList list;
    for (const auto& [name, value] : headers)
        list.emplace_back(name, value);
    return list;
}

web::http::http_response makeResponse(std::uint16_t status, const RequestId& id)
{
    web::http::http_response response(status);
    response.headers().add("X-Request-Id", id.value());
    return response;
}

web::http::http_response makeJsonResponse(std::uint16_t status, const RequestId& id, const std::string& body)
{
    auto response = makeResponse(status, id);
    response.set_body(body, "application/json");
    return response;
}

web::http::http_response makeRefusal(const Refusal& refusal, const RequestId& id)
{
    auto response = makeJsonResponse(refusal.status, id, refusalBody(refusal, id));
    if (refusal.retryAfter > Duration::zero()) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(refusal.retryAfter).count();
        response.headers().add("Retry-After", std::to_string(seconds));
    }
    // A caller whose key no longer counts keeps no connection.
    if (refusal.status == 401)
        response.headers().add("Connection", "close");
    return response;
}

void send(const web::http::http_request& request, const web::http::http_response& response)
{
    // The exception of a failed delivery must be observed; cpprestsdk ends the process otherwise.
    request.reply(response).then([](const pplx::task<void>& task) {
        try {
            task.get();
        } catch (const std::exception&) {
            // The caller has gone; there is no one left to tell.
            return;
        }
    });
}

void sendLastRefusal(const web::http::http_request& request, const Refusal& refusal, const RequestId& id)
{
    auto response = makeRefusal(refusal, id);
    response.headers()["Connection"] = "close";
    send(request, response);
    discardBody(request);
}

void discardBody(const web::http::http_request& request)
{
    // cpprestsdk sends a response only after it has read the whole body, and buffers what nobody reads.
    BodyReader::read(
        request.body(), [](const std::uint8_t*, std::size_t) { return true; }, [](const std::exception_ptr&) {});
}

std::uint64_t headerBytes(const web::http::http_request& request)
{
    std::uint64_t sum = request.request_uri().to_string().size() + request.method().size();
    for (const auto& [name, value] : request.headers())
        sum += name.size() + value.size() + lineOverhead;
    return sum;
}

}
