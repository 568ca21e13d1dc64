#include "HeaderScreening.h"

#include "base/PercentEncoding.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace peridot {

namespace {

    // Of RFC 9110, section 7.6.1, and those that the HTTP library writes itself.
    constexpr std::array<std::string_view, 12> hopByHopNames { "connection", "keep-alive", "proxy-connection",
        "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "host",
        "content-length", "expect" };
    // Written by this instance; a caller's or backend server's own value must not be mistaken for it.
    constexpr std::array<std::string_view, 3> ownNames { "x-request-id", "request-timeout-ms", "x-workspace" };

    std::string_view trimmed(std::string_view text)
    {
        while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
            text.remove_prefix(1);
        while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
            text.remove_suffix(1);
        return text;
    }

    template <typename Visitor> void splitAt(std::string_view text, char separator, const Visitor& visit)
    {
        while (true) {
            const auto end = text.find(separator);
            visit(text.substr(0, end));
            if (end == std::string_view::npos)
                return;
            text.remove_prefix(end + 1);
        }
    }

    void addKey(std::vector<std::string>& keys, std::string_view key)
    {
        if (!key.empty() && std::find(keys.begin(), keys.end(), key) == keys.end())
            keys.emplace_back(key);
    }

    /** The HTTP library joins repeated headers with commas; a key holds no comma. */
    void addBearerKeys(std::vector<std::string>& keys, std::string_view value)
    {
        constexpr std::string_view scheme = "bearer ";
        splitAt(value, ',', [&](std::string_view part) {
            part = trimmed(part);
            if (part.size() > scheme.size() && equalsIgnoringCase(part.substr(0, scheme.size()), scheme))
                addKey(keys, trimmed(part.substr(scheme.size())));
        });
    }

    std::vector<std::string> keysOf(const HeaderList& headers, const std::string& query)
    {
        std::vector<std::string> keys;
        for (const auto& [name, value] : headers) {
            if (equalsIgnoringCase(name, "authorization"))
                addBearerKeys(keys, value);
        }
        for (const auto& [name, value] : headers) {
            if (equalsIgnoringCase(name, "x-api-key"))
                splitAt(value, ',', [&](std::string_view part) { addKey(keys, trimmed(part)); });
        }
        splitAt(query, '&', [&](std::string_view parameter) {
            const auto equals = parameter.find('=');
            if (equals != std::string_view::npos && percentDecoded(parameter.substr(0, equals), true) == "key")
                addKey(keys, percentDecoded(parameter.substr(equals + 1), true));
        });
        return keys;
    }

    bool containsKey(const std::vector<std::string>& keys, std::string_view text)
    {
        return std::any_of(keys.begin(), keys.end(), [&](const std::string& key) {
            return text.find(key) != std::string_view::npos || percentDecoded(text, true).find(key) != std::string::npos
                || percentDecoded(text, false).find(key) != std::string::npos;
        });
    }

    template <std::size_t size> bool isAmong(const std::array<std::string_view, size>& names, std::string_view name)
    {
        return std::any_of(names.begin(), names.end(), [&](auto other) { return equalsIgnoringCase(name, other); });
    }

    /** Names that the Connection header declares as meant for this hop only. */
    std::vector<std::string> connectionTokens(const HeaderList& headers)
    {
        std::vector<std::string> tokens;
        for (const auto& [name, value] : headers) {
            if (equalsIgnoringCase(name, "connection"))
                splitAt(value, ',', [&](std::string_view token) { tokens.emplace_back(trimmed(token)); });
        }
        return tokens;
    }

    HeaderList endToEnd(const HeaderList& headers)
    {
        const auto tokens = connectionTokens(headers);
        HeaderList kept;
        for (const auto& header : headers) {
            const auto& name = header.first;
            const bool isDeclared = std::any_of(
                tokens.begin(), tokens.end(), [&](const auto& token) { return equalsIgnoringCase(token, name); });
            if (!isDeclared && !isAmong(hopByHopNames, name) && !isAmong(ownNames, name))
                kept.push_back(header);
        }
        return kept;
    }

    std::string screenedQuery(const std::vector<std::string>& keys, std::string_view query)
    {
        std::string kept;
        if (query.empty())
            return kept;
        splitAt(query, '&', [&](std::string_view parameter) {
            const auto name = percentDecoded(parameter.substr(0, parameter.find('=')), true);
            if (name == "key" || containsKey(keys, parameter))
                return;
            if (!kept.empty())
                kept += '&';
            kept += parameter;
        });
        return kept;
    }

}

bool equalsIgnoringCase(std::string_view left, std::string_view right) noexcept
{
    return left.size() == right.size() && std::equal(left.begin(), left.end(), right.begin(), [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a)) == std::tolower(static_cast<unsigned char>(b));
    });
}

bool hasAmbiguousSegments(std::string_view path)
{
    const std::string decoded = percentDecoded(path, false);
    // A second round of decoding at the backend server must not make a difference either.
    if (percentDecoded(decoded, false) != decoded)
        return true;
    bool isAmbiguous = std::any_of(
        decoded.begin(), decoded.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f || c == '\\'; });
    splitAt(decoded, '/', [&](std::string_view segment) { isAmbiguous |= segment == "." || segment == ".."; });
    return isAmbiguous;
}

ScreenedRequest screenRequest(const HeaderList& headers, const std::string& path, const std::string& query)
{
    ScreenedRequest request;
    request.presentedKeys = keysOf(headers, query);
    request.isKeyInPath = containsKey(request.presentedKeys, path);
    request.query = screenedQuery(request.presentedKeys, query);
    for (const auto& header : endToEnd(headers)) {
        const bool holdsKeys
            = equalsIgnoringCase(header.first, "authorization") || equalsIgnoringCase(header.first, "x-api-key");
        if (!holdsKeys && !containsKey(request.presentedKeys, header.second)
            && !containsKey(request.presentedKeys, header.first))
            request.headers.push_back(header);
    }
    return request;
}

HeaderList screenResponseHeaders(const HeaderList& headers) { return endToEnd(headers); }

}
