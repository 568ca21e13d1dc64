// Asking, sharing one look-up among the requests that wait for it, and falling back to the next entry address.

#include "LookupCache.h"

#include "HttpClients.h"
#include "program/Clocks.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace peridot {

namespace {

    constexpr Duration lookupTimeout = std::chrono::seconds { 2 };

}

Result<CachedLookup> parseLookup(const std::string& body, TimePoint now)
{
    const auto fail = [](const std::string& message) {
        return makeError(ErrorCode::ProtocolViolation, "parse look-up answer", "", message);
    };
    const auto document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object() || !document.contains("ttl_ms") || !document["ttl_ms"].is_number()
        || !document.contains("instances") || !document["instances"].is_array())
        return fail("expected an object with ttl_ms and instances");
    CachedLookup lookup;
    lookup.expires = now + std::chrono::milliseconds { document["ttl_ms"].get<std::int64_t>() };
    for (const auto& instance : document["instances"]) {
        if (!instance.is_object() || !instance.contains("address") || !instance["address"].is_string())
            return fail("expected an address in each instance");
        lookup.addresses.push_back(instance["address"].get<std::string>());
    }
    if (lookup.addresses.empty())
        return fail("the answer lists no instance");
    return lookup;
}

LookupCache::LookupCache(std::vector<std::string> entryAddresses, std::string clientAddress)
    : m_entryAddresses(std::move(entryAddresses))
    , m_clientAddress(std::move(clientAddress))
{
}

void LookupCache::find(const std::string& service, Callback callback)
{
    std::unique_lock lock(m_mutex);
    auto& entry = m_entries[service];
    if (entry.cached.expires > monotonicTime()) {
        const auto addresses = entry.cached.addresses;
        lock.unlock();
        return callback(addresses);
    }
    entry.waiting.push_back(std::move(callback));
    if (entry.waiting.size() > 1)
        return;
    lock.unlock();
    ask(service, 1);
}

void LookupCache::ask(const std::string& service, std::size_t attempt)
{
    std::string address;
    {
        std::lock_guard lock(m_mutex);
        address = m_entryAddresses[m_nextEntry % m_entryAddresses.size()];
        ++m_lookups;
    }
    std::string target = "/v1/lookup?service=" + service;
    if (!m_clientAddress.empty())
        target += "&client=" + m_clientAddress;
    const auto sent = monotonicTime();
    sendHttp(address, { "GET", target, {}, "", true, lookupTimeout },
        [self = shared_from_this(), service, attempt, sent](const HttpOutcome& outcome) {
            if (outcome.status == 200)
                return self->answered(service, attempt, parseLookup(outcome.body, sent));
            self->answered(service, attempt,
                makeError(ErrorCode::Unavailable, "look up", "",
                    outcome.status == 0 ? outcome.error : "status " + std::to_string(outcome.status)));
        });
}

void LookupCache::answered(const std::string& service, std::size_t attempt, const Result<CachedLookup>& lookup)
{
    std::unique_lock lock(m_mutex);
    auto& entry = m_entries[service];
    if (lookup) {
        entry.cached = *lookup;
    } else {
        ++m_failedLookups;
        ++m_nextEntry; // Asks the next instance from now on.
        if (attempt < m_entryAddresses.size()) {
            lock.unlock();
            return ask(service, attempt + 1);
        }
    }
    const auto waiting = std::exchange(entry.waiting, {});
    lock.unlock();
    for (const auto& callback : waiting) {
        if (lookup)
            callback(lookup->addresses);
        else
            callback(tl::make_unexpected(lookup.error()));
    }
}

void LookupCache::demote(const std::string& service, const std::string& address)
{
    std::lock_guard lock(m_mutex);
    auto& addresses = m_entries[service].cached.addresses;
    if (auto it = std::find(addresses.begin(), addresses.end(), address); it != addresses.end())
        std::rotate(it, it + 1, addresses.end());
}

std::uint64_t LookupCache::lookups() const
{
    std::lock_guard lock(m_mutex);
    return m_lookups;
}

std::uint64_t LookupCache::failedLookups() const
{
    std::lock_guard lock(m_mutex);
    return m_failedLookups;
}

}
