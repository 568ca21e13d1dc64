#include "BackendClients.h"

namespace peridot {

namespace {

    // Bounds an exchange if its cancellation at the deadline should fail.
    constexpr std::chrono::minutes exchangeTimeout { 10 };
    // Clients of backend servers that have left are dropped with their connections after this time.
    constexpr std::chrono::minutes unusedLifetime { 5 };
    constexpr std::size_t sizeForRemoval = 256;

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
        entry.client = std::make_shared<StrictHttpClient>(address, ConnectionUse::Kept, exchangeTimeout);
    entry.lastUse = now;
    return entry.client;
}

BackendClients::Client BackendClients::fresh(const std::string& address) const
{
    return std::make_shared<StrictHttpClient>(address, ConnectionUse::Single, exchangeTimeout);
}

void BackendClients::removeUnused(std::chrono::steady_clock::time_point now)
{
    std::erase_if(m_clients, [&](const auto& item) { return now - item.second.lastUse > unusedLifetime; });
}

}
