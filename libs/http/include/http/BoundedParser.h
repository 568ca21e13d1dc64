// Parses messages with Beast within bounds of our own, so that no message reaches a limit at which Beast throws.

#pragma once

#include "http/MessageHeaders.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <cctype>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <functional>
#include <limits>
#include <string>
#include <string_view>
#include <utility>

namespace peridot {

/** A parser of Beast whose put() never throws. Beast limits the size of heads only; here chunk headers, with the
 * trailer behind the last one, have a limit too. How the input is cut doesn't decide what is refused. Not to be moved
 * while it parses. */
template <bool isRequest, typename Body> class BoundedParser : public boost::beast::http::parser<isRequest, Body> {
    using Base = boost::beast::http::parser<isRequest, Body>;
    using ErrorCode = boost::system::error_code;

public:
    /** Limits in bytes: of a head with its start line, and of a chunk header, the last one with the trailer. */
    BoundedParser(std::size_t headLimit, std::size_t chunkHeaderLimit)
        : m_headLimit(headLimit)
        , m_chunkHeaderLimit(chunkHeaderLimit)
    {
        // Beast's own limit is one of the bytes that a call gets.
        Base::header_limit(std::numeric_limits<std::uint32_t>::max());
        Base::on_chunk_header(m_onChunkHeader);
    }

    BoundedParser(const BoundedParser&) = delete;
    BoundedParser& operator=(const BoundedParser&) = delete;

    /** As that of Beast: parses @p input, which begins with what the last call left, and returns the number of bytes
     *  that were parsed. */
    std::size_t put(boost::asio::const_buffer input, ErrorCode& ec)
    {
        m_input = { static_cast<const char*>(input.data()), input.size() };
        m_fault.clear();
        if (!this->is_header_done()) {
            checkHead(ec);
            if (ec)
                return 0;
        }
        std::size_t parsed = 0;
        try {
            parsed = Base::put(input, ec);
        } catch (const std::exception& error) {
            refuse(boost::beast::http::error::bad_field, error.what(), ec);
            return 0;
        }
        if (!this->is_header_done())
            m_parsedHeadBytes += parsed;
        const bool isChunkHeaderOpen = ec == boost::beast::http::error::need_more && this->is_header_done();
        if (isChunkHeaderOpen && input.size() - parsed > m_chunkHeaderLimit)
            refuseChunkHeader(ec);
        return parsed;
    }

    /** Describes the error of the last put(). */
    std::string fault(const ErrorCode& ec) const { return m_fault.empty() ? ec.message() : m_fault; }

private:
    void refuse(boost::beast::http::error error, std::string fault, ErrorCode& ec)
    {
        m_fault = std::move(fault);
        ec = error;
    }

    void refuseChunkHeader(ErrorCode& ec)
    {
        refuse(boost::beast::http::error::header_limit, "a chunk header or trailer that is too long", ec);
    }

    void checkHead(ErrorCode& ec)
    {
        const bool isStartLineParsed = m_parsedHeadBytes > 0;
        if (m_parsedHeadBytes + headSize(m_input, isStartLineParsed) > m_headLimit)
            refuse(boost::beast::http::error::header_limit, "a head that is too long", ec);
        else
            checkFields(m_input, isStartLineParsed, ec);
    }

    /** @p lines are those of a head, as for hasFoldedLine(), or of a trailer. */
    void checkFields(std::string_view lines, bool isStartLineParsed, ErrorCode& ec)
    {
        ec = {};
        if (hasFoldedLine(lines, isStartLineParsed))
            refuse(boost::beast::http::error::bad_field, "a line that begins with whitespace", ec);
        else if (hasOversizedField(lines, isStartLineParsed))
            refuse(boost::beast::http::error::header_limit, "a field that is too long", ec);
    }

    /** Beast calls it before it parses a chunk, and for the last one once the input holds the whole trailer. */
    void checkChunkHeader(std::uint64_t size, std::string_view extensions, ErrorCode& ec)
    {
        auto begin = static_cast<std::size_t>(extensions.data() - m_input.data());
        const auto lineEnd = begin + extensions.size();
        while (begin > 0 && std::isxdigit(static_cast<unsigned char>(m_input[begin - 1])) != 0)
            --begin;
        // Beast leaves the end of a chunk's line to the next header.
        constexpr std::string_view newline = "\r\n";
        if (m_hasChunks)
            begin -= std::min(begin, newline.size());
        m_hasChunks = true;
        const auto trailer = m_input.substr(lineEnd);
        const auto end = size > 0 ? newline.size() : trailer.find(endOfHead) + endOfHead.size();
        if (lineEnd + end - begin > m_chunkHeaderLimit)
            refuseChunkHeader(ec);
        else if (size == 0)
            checkFields(trailer, false, ec);
    }

    const std::size_t m_headLimit;
    const std::size_t m_chunkHeaderLimit;
    std::string_view m_input; // Of the running put().
    std::size_t m_parsedHeadBytes = 0; // While the head is not whole. Beast parses the start line first.
    bool m_hasChunks = false; // The header of the first chunk is parsed.
    std::string m_fault; // Empty: Beast's own error, or none.
    std::function<void(std::uint64_t, boost::beast::string_view, ErrorCode&)> m_onChunkHeader
        = [this](std::uint64_t size, boost::beast::string_view extensions, ErrorCode& ec) {
              checkChunkHeader(size, { extensions.data(), extensions.size() }, ec);
          };
};

}
