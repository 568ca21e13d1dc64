// Parses responses. What Beast takes although no server may send it, or other parsers read differently, is refused.

#pragma once

#include "http/BoundedParser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>

#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridot {

// A server that sends more responses to other requests, or more informational ones, is faulty.
inline constexpr unsigned maximumSkippedResponses = 16;

using ResponseHeader = boost::beast::http::response_header<HttpFields>;

/** What makes a head with valid lines unacceptable; nothing if it is sound. */
std::optional<std::string> findFault(const ResponseHeader&);

/** Parses one response, final or informational. Not to be moved while it parses. */
template <typename Body> class ResponseParser {
public:
    using Parser = BoundedParser<false, Body>;

    /** @p bodyLimit is in bytes. A response to HEAD has no body. */
    ResponseParser(std::uint64_t bodyLimit, bool isToHead)
        : m_parser(s_headLimit, s_chunkHeaderLimit)
    {
        m_parser.body_limit(bodyLimit);
        m_parser.skip(isToHead);
    }

    /** Parses @p input, which begins with what the last call left. Returns the number of bytes that were parsed, or why
     *  they are malformed. */
    tl::expected<std::size_t, std::string> put(boost::asio::const_buffer input)
    {
        std::size_t parsed = 0;
        if (!m_parser.is_header_done()) {
            if (const auto error = parse(input, parsed))
                return tl::make_unexpected(*error);
            if (!m_parser.is_header_done())
                return parsed;
            if (const auto fault = findFault(m_parser.get()))
                return tl::make_unexpected(*fault);
            // An eager parser goes on with the body after a header that is refused, and reserves the announced length.
            m_parser.eager(true);
        }
        if (!m_parser.is_done() && input.size() > parsed) {
            if (const auto error = parse(input, parsed))
                return tl::make_unexpected(*error);
        }
        return parsed;
    }

    /** The connection has ended. Returns false if it did so within the response. */
    bool putEnd()
    {
        boost::system::error_code ec;
        if (!m_parser.is_done() && m_parser.got_some())
            m_parser.put_eof(ec);
        return !ec;
    }

    bool isHeaderDone() const { return m_parser.is_header_done(); }
    bool isDone() const { return m_parser.is_done(); }
    bool keepsOpen() const { return m_parser.keep_alive(); }
    typename Parser::value_type& message() { return m_parser.get(); }
    typename Parser::value_type release() { return m_parser.release(); }

private:
    static constexpr std::size_t s_headLimit = 32'768; // Bytes; twice what callers may send by default.
    static constexpr std::size_t s_chunkHeaderLimit = 65'536; // Bytes.

    /** Parses what is behind the first @p parsed bytes, and counts them. */
    std::optional<std::string> parse(boost::asio::const_buffer input, std::size_t& parsed)
    {
        boost::system::error_code ec;
        parsed += m_parser.put(input + parsed, ec);
        if (ec && ec != boost::beast::http::error::need_more)
            return m_parser.fault(ec);
        return std::nullopt;
    }

    Parser m_parser;
};

}
