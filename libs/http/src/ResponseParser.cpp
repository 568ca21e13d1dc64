#include "http/ResponseParser.h"

#include <algorithm>

namespace peridot {

namespace http = boost::beast::http;

namespace {

    /** Requests ask for no other coding. Beast ignores others, and takes what they coded for the body. */
    bool hasUnknownCoding(const HttpFields& fields)
    {
        const auto [first, last] = fields.equal_range(http::field::transfer_encoding);
        return std::any_of(first, last, [](const auto& it) { return !boost::beast::iequals(it.value(), "chunked"); });
    }

}

std::optional<std::string> findFault(const ResponseHeader& header)
{
    // RFC 9110, section 15. Beast takes any three digits.
    if (header.result_int() < 100 || header.result_int() > 599)
        return "status code " + std::to_string(header.result_int());
    if (header.result() == http::status::switching_protocols)
        return "an upgrade that was not asked for";
    if (hasUnknownCoding(header))
        return "unknown transfer coding";
    return std::nullopt;
}

}
