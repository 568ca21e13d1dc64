#include "BackendClients.h"

namespace peridot {

namespace {

    // Bounds each phase of an exchange if its cancellation at the deadline should fail.
    constexpr std::chrono::minutes exchangeTimeout { 10 };
    // Clients of backend servers that have left are dropped with their connections after this time.
    constexpr std::chrono::minutes unusedLifetime { 5 };
    constexpr std::size_t sizeForRemoval = 256;

    BackendClients::Client makeClient(const std::string& address)
    {
        web::http::client::http_client_config configuration;
        configuration.set_timeout(exchangeTimeout);
        // The caller follows redirections; the client would repeat the request, whatever its method.
        configuration.set_max_redirects(0);
        return std::make_shared<web::http::client::http_client>(web::uri("http://" + address), configuration);
    }

}

bool isResponseTo(const web::http::http_response& response, const RequestId& id)
{
    const auto it = response.headers().find("X-Request-Id");
    return it == response.headers().end() || it->second == id.value();
}

BackendClients::Client BackendClients::pooled(const std::string& address)
{
    const auto now = std::chrono::steady_clock::now();
    const std::lock_guard lock(m_mutex);
    if (m_clients.size() >= sizeForRemoval)
        removeUnused(now);
    auto& entry = m_clients[address];
    if (!entry.client)
        entry.client = makeClient(address);
    entry.lastUse = now;
    return entry.client;
}

BackendClients::Client BackendClients::fresh(const std::string& address) const { return makeClient(address); }

void BackendClients::removeUnused(std::chrono::steady_clock::time_point now)
{
    std::erase_if(m_clients, [&](const auto& item) { return now - item.second.lastUse > unusedLifetime; });
}

}
