#include "http/MessageHeaders.h"

#include "base/PercentEncoding.h"

#include <boost/beast/http/rfc7230.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <string>
#include <utility>
#include <vector>

namespace peridot {

namespace http = boost::beast::http;

namespace {

    constexpr std::string_view newline = "\r\n";

    /** The lines of a head in @p unparsed; see hasFoldedLine(). */
    std::string_view headOf(std::string_view unparsed, bool isStartLineParsed)
    {
        // An empty line behind the lines that are parsed ends the head.
        if (isStartLineParsed && unparsed.starts_with(newline))
            return {};
        return unparsed.substr(0, unparsed.find(endOfHead));
    }

    /** The last line of an unfinished head may lack the second half of its end. */
    std::string_view trimmed(std::string_view value)
    {
        constexpr auto blanks = " \t\r";
        value.remove_prefix(std::min(value.find_first_not_of(blanks), value.size()));
        return value.substr(0, value.find_last_not_of(blanks) + 1);
    }

}

HttpResponse makeResponse(http::status status, std::string_view contentType, std::string body)
{
    HttpResponse response(status, 11);
    response.set(http::field::content_type, boost::beast::string_view(contentType.data(), contentType.size()));
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

void setRetryAfter(HttpResponse& response, Duration pause)
{
    response.set(http::field::retry_after, pause.count() > 0 ? fmt::format("{:.3f}", toSeconds(pause)) : "0");
}

std::optional<std::string_view> headerValue(const HttpFields& fields, std::string_view name)
{
    const auto it = fields.find(boost::beast::string_view(name.data(), name.size()));
    if (it == fields.end())
        return std::nullopt;
    return std::string_view(it->value().data(), it->value().size());
}

bool hasFoldedLine(std::string_view unparsed, bool isStartLineParsed)
{
    const auto head = headOf(unparsed, isStartLineParsed);
    return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
}

std::size_t headSize(std::string_view unparsed, bool isStartLineParsed)
{
    const auto lines = headOf(unparsed, isStartLineParsed);
    const auto end = lines.empty() ? newline : endOfHead;
    return std::min(lines.size() + end.size(), unparsed.size());
}

bool hasOversizedField(std::string_view unparsed, bool isStartLineParsed)
{
    if (unparsed.size() <= maximumFieldBytes)
        return false;
    auto lines = headOf(unparsed, isStartLineParsed);
    while (lines.size() > maximumFieldBytes) {
        const auto line = lines.substr(0, lines.find(newline));
        const auto colon = line.find(':');
        const auto value = colon == std::string_view::npos ? std::string_view {} : trimmed(line.substr(colon + 1));
        const bool isOversized = std::max(line.substr(0, colon).size(), value.size()) > maximumFieldBytes;
        if (isStartLineParsed && isOversized)
            return true;
        isStartLineParsed = true;
        lines.remove_prefix(std::min(line.size() + newline.size(), lines.size()));
    }
    return false;
}

std::map<std::string, std::string> queryParameters(std::string_view target)
{
    std::map<std::string, std::string> parameters;
    const auto begin = target.find('?');
    auto rest = begin == std::string_view::npos ? std::string_view {} : target.substr(begin + 1);
    while (!rest.empty()) {
        const auto pair = rest.substr(0, rest.find('&'));
        rest = pair.size() == rest.size() ? std::string_view {} : rest.substr(pair.size() + 1);
        if (const auto equals = pair.find('='); equals != std::string_view::npos)
            parameters.insert_or_assign(
                percentDecoded(pair.substr(0, equals), true), percentDecoded(pair.substr(equals + 1), true));
    }
    return parameters;
}

std::optional<std::uint64_t> parseNumber(std::string_view text) noexcept
{
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto [last, ec] = std::from_chars(text.data(), end, value);
    if (ec != std::errc {} || last != end || text.empty())
        return std::nullopt;
    return value;
}

void removeConnectionHeaders(HttpFields& fields)
{
    std::vector<std::string> named;
    const auto [first, last] = fields.equal_range(http::field::connection);
    for (auto it = first; it != last; ++it) {
        for (const auto& token : http::token_list(it->value()))
            named.emplace_back(token.data(), token.size());
    }
    for (const auto& name : named)
        fields.erase(name);
    for (const auto field : { http::field::connection, http::field::keep_alive, http::field::proxy_connection,
             http::field::te, http::field::trailer, http::field::transfer_encoding, http::field::upgrade,
             http::field::content_length, http::field::expect, http::field::proxy_authorization })
        fields.erase(field);
}

std::optional<Duration> keepAliveTimeout(const HttpFields& fields)
{
    const auto value = headerValue(fields, "Keep-Alive");
    if (!value)
        return std::nullopt;
    constexpr std::string_view parameter = "timeout=";
    const auto begin = value->find(parameter);
    if (begin == std::string_view::npos)
        return std::nullopt;
    auto text = value->substr(begin + parameter.size());
    text = text.substr(0, text.find_first_not_of("0123456789"));
    const auto seconds = parseNumber(text);
    constexpr std::uint64_t longest = 86'400;
    if (!seconds || *seconds > longest)
        return std::nullopt;
    return std::chrono::seconds { *seconds };
}

}
