#include "OperatorClient.h"

#include "rest/StrictHttpClient.h"

namespace peridot {

namespace {

    namespace http = web::http;

    // An instance answers a change within 30 s, or says that it is undecided.
    constexpr std::chrono::seconds exchangeTimeout { 40 };
    constexpr int rounds = 2;

    constexpr int plainPort = 80;
    constexpr int tlsPort = 443;

    /** The client of host:port or of a URL. */
    StrictHttpClient clientOf(const std::string& address, const std::string& certificateAuthorityFile)
    {
        const web::uri url(address.find("://") == std::string::npos ? "http://" + address : address);
        const bool isTls = url.scheme() == "https";
        if (!isTls && url.scheme() != "http")
            throw std::invalid_argument("neither http nor https: " + address);
        const auto port = url.port() > 0 ? url.port() : isTls ? tlsPort : plainPort;
        const auto server = url.host() + ":" + std::to_string(port);
        if (!isTls)
            return { server, ConnectionUse::Single, exchangeTimeout };
        auto context = std::make_shared<boost::asio::ssl::context>(boost::asio::ssl::context::tls_client);
        context->set_default_verify_paths();
        if (!certificateAuthorityFile.empty())
            context->load_verify_file(certificateAuthorityFile);
        return { server, std::move(context), exchangeTimeout };
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
        const auto client = clientOf(address, m_certificateAuthorityFile);
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
