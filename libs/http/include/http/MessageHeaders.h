// Message types of the HTTP layer, and what is common to requests and responses.

#pragma once

#include "base/Time.h"
#include "http/RequestBytes.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace peridot {

using HttpRequest = boost::beast::http::request<RequestBody>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;
using HttpFields = boost::beast::http::fields;

// Of a field's name, and of its value. Beast keeps their lengths in 16 bits and throws for more.
inline constexpr std::size_t maximumFieldBytes = 65'533;

inline constexpr std::string_view endOfHead = "\r\n\r\n";

/** A response of this process, with its length. */
HttpResponse makeResponse(boost::beast::http::status, std::string_view contentType, std::string body);

/** States when the caller may send the request again, in seconds. */
void setRetryAfter(HttpResponse&, Duration);

/** The value of a header that may appear once; nothing if it is missing. The first one wins if it is repeated. */
std::optional<std::string_view> headerValue(const HttpFields&, std::string_view name);

/** Whether a line of the head in @p unparsed, or of a trailer, begins with whitespace and so continues the line before
 *  it (RFC 9112, section 5.2). Beast joins such lines, which other parsers read as fields of their own. A head may be
 *  unparsed from its start line on, or from one of the lines behind it. */
bool hasFoldedLine(std::string_view unparsed, bool isStartLineParsed);

/** Bytes of the head in @p unparsed, as for hasFoldedLine(), with its end if that has come. */
std::size_t headSize(std::string_view unparsed, bool isStartLineParsed);

/** Whether a field in @p unparsed, a head or trailer as for hasFoldedLine(), is longer than maximumFieldBytes. */
bool hasOversizedField(std::string_view unparsed, bool isStartLineParsed);

/** Parses a whole decimal number without sign. */
std::optional<std::uint64_t> parseNumber(std::string_view text) noexcept;

/** The parameters of a target's query, percent-decoded. The last one wins if a name is repeated. */
std::map<std::string, std::string> queryParameters(std::string_view target);

/** Removes the headers that concern one connection only, including those that `Connection` names, and the framing. */
void removeConnectionHeaders(HttpFields&);

/** The `timeout` parameter of a `Keep-Alive` header. */
std::optional<Duration> keepAliveTimeout(const HttpFields&);

}
