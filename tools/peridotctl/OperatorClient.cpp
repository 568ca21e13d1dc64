#include "OperatorClient.h"

#include <cpprest/http_client.h>

namespace peridot {

namespace {

    namespace http = web::http;

    // An instance answers a change within 30 s, or says that it is undecided.
    constexpr std::chrono::seconds exchangeTimeout { 40 };
    constexpr int rounds = 2;

    std::string urlOf(const std::string& address)
    {
        return address.find("://") == std::string::npos ? "http://" + address : address;
    }

    /** Another instance may reach the store, or have decided about the request in question. */
    bool isWorthAnotherInstance(const OperatorReply& reply)
    {
        return reply.status == 503
            || (reply.status == 404 && reply.body.is_object() && reply.body.value("code", "") == "unknown_request");
    }

}

OperatorClient::OperatorClient(
    std::vector<std::string> addresses, std::string operatorKey, std::string certificateAuthorityFile)
    : m_addresses(std::move(addresses))
    , m_operatorKey(std::move(operatorKey))
    , m_certificateAuthorityFile(std::move(certificateAuthorityFile))
{
}

Result<OperatorReply> OperatorClient::get(const std::string& path) const { return send("GET", path, "", ""); }

Result<OperatorReply> OperatorClient::post(
    const std::string& path, const nlohmann::json& body, const std::string& changeId) const
{
    return send("POST", path, body.dump(), changeId);
}

Result<OperatorReply> OperatorClient::send(
    const std::string& method, const std::string& path, const std::string& body, const std::string& changeId) const
{
    Result<OperatorReply> last = makeError(ErrorCode::Unavailable, "call operator endpoint", "", "no address given");
    for (int round = 0; round < rounds; ++round) {
        for (const auto& address : m_addresses) {
            auto reply = sendTo(address, method, path, body, changeId);
            if (reply && !isWorthAnotherInstance(*reply))
                return reply;
            // An answer says more than a failed connection.
            if (reply || !last)
                last = std::move(reply);
        }
    }
    return last;
}

Result<OperatorReply> OperatorClient::sendTo(const std::string& address, const std::string& method,
    const std::string& path, const std::string& body, const std::string& changeId) const
{
    try {
        http::client::http_client_config configuration;
        configuration.set_timeout(exchangeTimeout);
        configuration.set_max_redirects(0);
        if (!m_certificateAuthorityFile.empty()) {
            configuration.set_ssl_context_callback(
                [this](boost::asio::ssl::context& context) { context.load_verify_file(m_certificateAuthorityFile); });
        }
        http::client::http_client client(web::uri(urlOf(address)), configuration);
        http::http_request request(method);
        request.set_request_uri(web::uri("/v1/operator" + path));
        request.headers().add("Authorization", "Bearer " + m_operatorKey);
        if (!changeId.empty())
            request.headers().add("X-Change-Id", changeId);
        if (!body.empty())
            request.set_body(body, "application/json");
        const auto response = client.request(request).get();
        const auto text = response.extract_utf8string(true).get();
        return OperatorReply { response.status_code(), nlohmann::json::parse(text, nullptr, false) };
    } catch (const std::exception& error) {
        return makeError(ErrorCode::Unavailable, "call operator endpoint", address, error.what());
    }
}

}
