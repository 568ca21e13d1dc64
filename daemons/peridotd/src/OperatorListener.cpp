#include "OperatorListener.h"

#include "BodyReader.h"
#include "HttpReplies.h"

#include <sodium.h>

#include <algorithm>
#include <array>

namespace peridot {

namespace {

    namespace http = web::http;

    constexpr std::string_view pathPrefix = "/v1/operator";
    constexpr std::uint64_t longestBody = 4'194'304;
    constexpr std::size_t longestChangeId = 128;

    using Digest = std::array<unsigned char, crypto_generichash_BYTES>;

    /** Hashes make the comparison independent of the lengths. */
    Digest digestOf(const std::string& text)
    {
        Digest digest {};
        crypto_generichash(
            digest.data(), digest.size(), reinterpret_cast<const unsigned char*>(text.data()), text.size(), nullptr, 0);
        return digest;
    }

    bool isChangeId(const std::string& text)
    {
        return !text.empty() && text.size() <= longestChangeId
            && std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > 0x20 && c < 0x7f; });
    }

}

OperatorListener::OperatorListener(Identity identity, NodeDriver& driver, EventLog& log)
    : m_identity(std::move(identity))
    , m_driver(driver)
    , m_log(log)
    , m_listener(
          m_identity.address, m_identity.tls, log, [this](const http::http_request& request) { handle(request); })
{
}

bool OperatorListener::hasOperatorKey(const http::http_request& request) const
{
    const auto it = request.headers().find("Authorization");
    const std::string presented = it == request.headers().end() ? "" : it->second;
    const auto expected = digestOf("Bearer " + m_identity.operatorKey);
    return sodium_memcmp(digestOf(presented).data(), expected.data(), expected.size()) == 0;
}

void OperatorListener::handle(const http::http_request& request)
{
    const RequestId id { m_identity.requestIdPrefix + "o" + std::to_string(++m_requestCount) };
    const std::string path = request.request_uri().path();
    if (!hasOperatorKey(request)) {
        m_log.write(
            LogLevel::Warning, LogLine("operator_refused").add("request", id).add("client", request.remote_address()));
        sendLastRefusal(request,
            { 401, "operator_key_required", "the operator key is missing or wrong", RunState::NotRun, {} }, id);
        return;
    }
    if (path.rfind(std::string(pathPrefix) + "/", 0) != 0) {
        send(request, makeRefusal({ 404, "not_found", "no such resource", RunState::NotRun, {} }, id));
        return;
    }
    std::uint64_t length = 0;
    if (!request.headers().match("Content-Length", length) && !request.headers().has("Transfer-Encoding")) {
        operate(request, id, "");
        return;
    }
    auto body = std::make_shared<std::string>();
    BodyReader::read(
        request.body(),
        [request, id, body](const std::uint8_t* data, std::size_t size) {
            body->append(data, data + size);
            if (body->size() <= longestBody)
                return true;
            sendLastRefusal(request, { 413, "body_too_large", "the body exceeds 4 MiB", RunState::NotRun, {} }, id);
            return false;
        },
        [this, request, id, body](const std::exception_ptr& error) {
            if (!error) {
                operate(request, id, *body);
                return;
            }
            // cpprestsdk releases a connection only after a reply, even if no one reads it.
            sendLastRefusal(request, { 400, "body_incomplete", "the body broke off", RunState::NotRun, {} }, id);
        });
}

void OperatorListener::operate(const http::http_request& request, const RequestId& id, const std::string& body)
{
    OperatorRequest operation;
    operation.id = id.value();
    operation.method = request.method();
    operation.path = request.request_uri().path().substr(pathPrefix.size());
    operation.body = body;
    if (request.headers().match("X-Change-Id", operation.id) && !isChangeId(operation.id)) {
        send(request,
            makeRefusal(
                { 400, "bad_change_id", "X-Change-Id holds 1 to 128 printable ASCII characters", RunState::NotRun, {} },
                id));
        return;
    }
    m_driver.operate(operation, [request, id](const AnswerOperator& answer) {
        send(request, makeJsonResponse(answer.status, id, answer.body));
    });
}

}
