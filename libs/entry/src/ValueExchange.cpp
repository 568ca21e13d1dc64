#include "entry/ValueExchange.h"

#include "base/LogLine.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace peridot {

namespace {

    constexpr std::size_t childrenPerInstance = 2;

}

std::vector<PeerInstance> valueSources(
    const InstanceId& self, const PeerInstance& root, std::vector<PeerInstance> instances)
{
    std::erase_if(instances, [&](const auto& it) { return it.id == root.id; });
    std::sort(instances.begin(), instances.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
    instances.insert(instances.begin(), root);
    const auto own = std::find_if(instances.begin(), instances.end(), [&](const auto& it) { return it.id == self; });
    if (own == instances.begin())
        return {};
    std::vector<PeerInstance> sources;
    if (own != instances.end()) {
        const auto parent = (static_cast<std::size_t>(own - instances.begin()) - 1) / childrenPerInstance;
        if (parent > 0)
            sources.push_back(instances[parent]);
    }
    sources.push_back(root);
    return sources;
}

ValueExchange::ValueExchange(Timers& timers, ValueExchangeOptions options, Ports ports, EventLog& log)
    : m_timers(timers)
    , m_options(options)
    , m_ports(std::move(ports))
    , m_log(log)
    , m_timer(timers.makeTimer())
{
}

ValueExchange::~ValueExchange() { *m_isAlive = false; }

ValueId ValueExchange::add(const std::string& value)
{
    const auto id = valueIdOf(value);
    if (const auto it = m_kept.find(id); it != m_kept.end())
        it->second.lastUse = ++m_uses;
    else
        keep(id, std::make_shared<const std::string>(value));
    return id;
}

ValueExchange::Value ValueExchange::find(const ValueId& id) const
{
    const auto it = m_kept.find(id);
    return it == m_kept.end() ? nullptr : it->second.value;
}

void ValueExchange::keep(const ValueId& id, Value value)
{
    m_kept.insert_or_assign(id, Kept { std::move(value), ++m_uses });
    std::size_t bytes = 0;
    for (const auto& [keptId, kept] : m_kept)
        bytes += keptId.bytes;
    while (m_kept.size() > m_options.keptValues && bytes > m_options.keptBytes) {
        const auto oldest = std::min_element(m_kept.begin(), m_kept.end(),
            [](const auto& a, const auto& b) { return a.second.lastUse < b.second.lastUse; });
        bytes -= oldest->first.bytes;
        m_kept.erase(oldest);
    }
}

ValueExchange::FetchId ValueExchange::fetch(
    const ValueId& id, const std::optional<ValueId>& base, std::vector<PeerInstance> sources, Handler handler)
{
    const auto fetchId = ++m_lastFetch;
    const auto [it, isNew] = m_fetches.try_emplace(id);
    auto& fetch = it->second;
    fetch.handlers.emplace_back(fetchId, std::move(handler));
    if (!isNew)
        return fetchId;
    fetch.id = fetchId;
    fetch.baseValue = base ? find(*base) : nullptr;
    if (fetch.baseValue)
        fetch.base = base;
    fetch.sources = std::move(sources);
    fetch.start = fetch.lastProgress = m_timers.now();
    m_log.write(LogLevel::Info,
        LogLine("value_asked_for")
            .add("value", id.low)
            .add("bytes", id.bytes)
            .add("source", fetch.sources.empty() ? InstanceId {} : fetch.sources.front().id)
            .add("has_base", fetch.base.has_value()));
    if (!fetch.sources.empty())
        ask(id, fetch);
    return fetchId;
}

void ValueExchange::cancel(FetchId fetchId)
{
    for (auto it = m_fetches.begin(); it != m_fetches.end(); ++it) {
        auto& handlers = it->second.handlers;
        if (std::erase_if(handlers, [&](const auto& handler) { return handler.first == fetchId; }) == 0)
            continue;
        if (handlers.empty())
            m_fetches.erase(it);
        return;
    }
}

void ValueExchange::ask(const ValueId& id, Fetch& fetch)
{
    const auto& address = fetch.sources[fetch.source].address;
    // The size is not known before the first part.
    const auto end = fetch.stream
        ? std::min<std::size_t>(fetch.stream->bytes, fetch.bytes.size() + m_options.openParts * m_options.partBytes)
        : m_options.partBytes;
    for (fetch.asked = std::max(fetch.asked, fetch.bytes.size()); fetch.asked < end; fetch.asked += m_options.partBytes)
        m_ports.sendPull(address, { id, fetch.base, fetch.asked });
}

void ValueExchange::askNextSource(Fetches::iterator it, const char* reason)
{
    auto& [id, fetch] = *it;
    if (fetch.source < fetch.sources.size()) {
        m_log.write(LogLevel::Info,
            LogLine("value_source_replaced")
                .add("value", id.low)
                .add("source", fetch.sources[fetch.source].id)
                .add("reason", reason)
                .add("received", fetch.bytes.size()));
        ++fetch.source;
    }
    if (fetch.source >= fetch.sources.size()) {
        end(it, nullptr);
        return;
    }
    fetch.lastProgress = m_timers.now();
    fetch.asked = fetch.bytes.size();
    ask(id, fetch);
}

void ValueExchange::receive(const std::string& senderAddress, const ValuePart& part)
{
    const auto it = m_fetches.find(part.id);
    if (it == m_fetches.end())
        return;
    auto& fetch = it->second;
    const bool isFromSource
        = fetch.source < fetch.sources.size() && fetch.sources[fetch.source].address == senderAddress;
    if (!part.isKnown) {
        if (isFromSource)
            askNextSource(it, "not_known");
        return;
    }
    if (part.bytes.empty()) {
        // The source is about to get the bytes.
        if (isFromSource && part.offset == fetch.bytes.size()) {
            fetch.asked = fetch.bytes.size();
            ask(part.id, fetch);
        }
        return;
    }
    const Stream stream { part.usesBase, part.encodedBytes, part.encodedHash };
    if (fetch.stream != stream) {
        if (!isFromSource || part.encodedBytes > maximumValueBytes || (part.usesBase && !fetch.base))
            return;
        fetch.stream = stream;
        fetch.bytes.clear();
        fetch.asked = part.offset == 0 ? m_options.partBytes : 0;
    }
    if (part.offset == fetch.bytes.size() && part.bytes.size() <= stream.bytes - fetch.bytes.size()) {
        fetch.bytes += part.bytes;
        fetch.lastProgress = m_timers.now();
        m_receivedBytes += part.bytes.size();
    }
    if (fetch.bytes.size() == stream.bytes) {
        complete(it);
    } else {
        ask(part.id, fetch);
        serve();
    }
}

void ValueExchange::complete(Fetches::iterator it)
{
    auto& [id, fetch] = *it;
    const auto now = m_timers.now();
    const std::string_view base = fetch.stream->usesBase ? std::string_view(*fetch.baseValue) : std::string_view {};
    auto value = decodeValue(fetch.bytes, base, id);
    if (!value) {
        m_log.write(LogLevel::Warning, LogLine("value_refused").add("error", value.error().describe()));
        fetch.stream.reset();
        fetch.bytes.clear();
        askNextSource(it, "damaged");
        return;
    }
    m_log.write(LogLevel::Info,
        LogLine("value_received")
            .add("value", id.low)
            .add("source", fetch.sources[fetch.source].id)
            .add("encoded_bytes", fetch.bytes.size())
            .add("uses_base", fetch.stream->usesBase)
            .add("fetch_ms", now - fetch.start)
            .add("decode_ms", m_timers.now() - now));
    const auto shared = std::make_shared<const std::string>(std::move(*value));
    keep(id, shared);
    // Peers that have the same base get the same bytes.
    if (const auto kept = m_kept.find(id); kept != m_kept.end())
        kept->second.encoded.insert_or_assign(
            fetch.stream->usesBase ? fetch.base : std::nullopt, Encoded { *fetch.stream, std::move(fetch.bytes) });
    end(it, shared);
    serve();
}

void ValueExchange::end(Fetches::iterator it, const Value& value)
{
    const auto handlers = std::move(it->second.handlers);
    m_fetches.erase(it);
    for (const auto& [id, handler] : handlers)
        handler(value);
}

void ValueExchange::receive(const std::string& senderAddress, const ValuePull& pull)
{
    if (m_waiting.size() >= m_options.maximumWaitingPulls)
        return;
    // A pull that is repeated replaces the earlier one.
    const auto isSame = [&](const auto& it) {
        return it.address == senderAddress && it.pull.id == pull.id && it.pull.offset == pull.offset;
    };
    if (std::none_of(m_waiting.begin(), m_waiting.end(), isSame))
        m_waiting.push_back({ senderAddress, pull, m_timers.now() });
    serve();
}

const ValueExchange::Encoded& ValueExchange::encodedFor(
    const ValueId& id, Kept& kept, const std::optional<ValueId>& wantedBase)
{
    kept.lastUse = ++m_uses;
    const auto baseValue = wantedBase && *wantedBase != id ? find(*wantedBase) : nullptr;
    const auto base = baseValue ? wantedBase : std::nullopt;
    auto [it, isNew] = kept.encoded.try_emplace(base);
    if (isNew) {
        auto& [stream, bytes] = it->second;
        bytes = encodeValue(*kept.value, baseValue ? std::string_view(*baseValue) : std::string_view {});
        stream = { base.has_value(), bytes.size(), XXH3_64bits(bytes.data(), bytes.size()) };
    }
    return it->second;
}

ValuePart ValueExchange::cut(const ValuePull& pull, const Stream& stream, const std::string& available) const
{
    ValuePart part { pull.id, true, stream.usesBase, stream.bytes, stream.hash, pull.offset, {} };
    if (pull.offset < available.size())
        part.bytes = available.substr(pull.offset, m_options.partBytes);
    return part;
}

std::optional<ValuePart> ValueExchange::partFor(const ValuePull& pull)
{
    if (const auto kept = m_kept.find(pull.id); kept != m_kept.end()) {
        const auto& [stream, bytes] = encodedFor(pull.id, kept->second, pull.base);
        auto part = cut(pull, stream, bytes);
        // The receiver has a part of another stream. It begins anew with this one.
        if (part.bytes.empty()) {
            part.offset = 0;
            part.bytes = bytes.substr(0, m_options.partBytes);
        }
        return part;
    }
    const auto fetch = m_fetches.find(pull.id);
    if (fetch == m_fetches.end() || !fetch->second.stream || fetch->second.base != pull.base)
        return std::nullopt;
    // Whole parts only, because the receiver asks for the next one at the same time.
    const auto& [stream, bytes] = std::tie(*fetch->second.stream, fetch->second.bytes);
    if (bytes.size() < std::min<std::size_t>(pull.offset + m_options.partBytes, stream.bytes))
        return std::nullopt;
    return cut(pull, stream, bytes);
}

void ValueExchange::serve()
{
    const auto now = m_timers.now();
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        auto part = partFor(it->pull);
        if (!part) {
            if (now - it->received < m_options.holdTime) {
                ++it;
                continue;
            }
            m_ports.sendPart(it->address,
                ValuePart { it->pull.id, m_fetches.contains(it->pull.id), false, 0, 0, it->pull.offset, {} });
            it = m_waiting.erase(it);
            continue;
        }
        if (now < m_nextPart) {
            m_timer->start(m_nextPart - now, [this, isAlive = m_isAlive] {
                if (*isAlive)
                    serve();
            });
            return;
        }
        const auto bytes = part->bytes.size();
        m_nextPart = std::max(m_nextPart, now) + fromSeconds(static_cast<double>(bytes) / m_options.bytesPerSecond);
        m_sentBytes += bytes;
        m_ports.sendPart(it->address, std::move(*part));
        it = m_waiting.erase(it);
    }
}

void ValueExchange::tick()
{
    const auto now = m_timers.now();
    serve();
    std::vector<ValueId> stalled;
    for (const auto& [id, fetch] : m_fetches) {
        if (now - fetch.lastProgress >= m_options.stallTime || fetch.sources.empty())
            stalled.push_back(id);
    }
    for (const auto& id : stalled) {
        if (const auto it = m_fetches.find(id); it != m_fetches.end())
            askNextSource(it, "silent");
    }
}

}
