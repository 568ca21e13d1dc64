#include "Registration.h"

#include "rest/StrictHttpClient.h"
#include "store/HttpStoreClient.h"
#include "store/StoreJson.h"

#include <future>

namespace peridot {

namespace {

    namespace http = web::http;

    constexpr std::chrono::seconds callTimeout { 2 };
    const std::string deploymentKey = "deployment";

}

Registration::Registration(const DaemonSettings& settings)
    : m_platformAddress(settings.platformAddress)
    , m_node(settings.node)
{
}

StoreResult Registration::call(const StoreRequest& request) const
{
    HttpStoreClient client({ m_platformAddress, m_node.self.id.value() });
    std::promise<StoreResult> answered;
    client.call(request, callTimeout, [&](StoreResult result) { answered.set_value(std::move(result)); });
    return answered.get_future().get();
}

Result<void> Registration::checkDeployment() const
{
    const auto read = call(TableRead { { deploymentKey } });
    if (!read)
        return tl::make_unexpected(read.error());
    auto rows = std::get<TableRows>(*read).rows;
    if (rows.empty()) {
        const auto commit
            = call(TableCommit { { { deploymentKey, 0 } }, { { deploymentKey, m_node.deployment.value() } } });
        if (!commit)
            return tl::make_unexpected(commit.error());
        rows = std::get<CommitResult>(*commit).current;
    }
    if (rows.empty())
        return makeError(ErrorCode::Unavailable, "check deployment", m_platformAddress, "the row has vanished");
    if (rows.front().value != m_node.deployment.value()) {
        return makeError(ErrorCode::InvalidSettings, "check deployment", m_platformAddress,
            "deployment: found '" + m_node.deployment.value() + "' in the settings, expected '" + rows.front().value
                + "' as on the platform");
    }
    return {};
}

Result<void> Registration::announce(PlatformInstanceState state) const
{
    PlatformInstance instance;
    instance.kind = PlatformInstanceKind::Entry;
    instance.name = m_node.self.id.value();
    instance.region = m_node.self.region;
    instance.failureDomain = m_node.self.failureDomain;
    instance.address = m_node.self.callerAddress;
    instance.peerAddress = m_node.self.peerAddress;
    instance.state = state;
    try {
        const StrictHttpClient client(m_platformAddress, ConnectionUse::Single, callTimeout);
        http::http_request request(http::methods::PUT);
        request.set_request_uri(web::uri("/v1/instances/" + web::uri::encode_data_string(instance.name)));
        request.set_body(encodePlatformInstance(instance).dump(), "application/json");
        const auto response = client.request(request).get();
        if (response.status_code() == 200)
            return {};
        return makeError(ErrorCode::Unavailable, "announce instance", m_platformAddress,
            "status " + std::to_string(response.status_code()));
    } catch (const std::exception& error) {
        return makeError(ErrorCode::Unavailable, "announce instance", m_platformAddress, error.what());
    }
}

}
