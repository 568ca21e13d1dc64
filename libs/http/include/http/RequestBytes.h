// The body of a request, in blocks that copies of the request share.

#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace peridot {

/**
 * A request is sent to one server after the other while its exchange is open, so that a copy for each of them would
 * hold large bodies several times. Blocks also spare the copy that a growing string makes, and large ones go back to
 * the system when they are released. Invariant: shared blocks don't change.
 */
class RequestBytes {
public:
    RequestBytes() = default;
    RequestBytes(std::string text); // Not explicit: a body is assigned from a text.
    RequestBytes(const char* text)
        : RequestBytes(std::string(text))
    {
    }

    bool empty() const noexcept { return size() == 0; }
    std::size_t size() const noexcept { return m_content ? m_content->size : 0; }
    /** Bytes that the blocks take. */
    std::size_t capacity() const noexcept { return m_content ? m_content->capacity : 0; }
    /** What capacity() will be after @p bytes more have been appended. */
    std::size_t capacityWith(std::size_t bytes) const noexcept;
    /** The whole length of the body, if it is known before the first append(). */
    void expect(std::size_t length) noexcept { m_expectedBytes = length; }
    /** Leaves copies as they are. */
    void append(std::string_view bytes);
    std::string text() const;
    std::size_t blockCount() const noexcept { return m_content ? m_content->blocks.size() : 0; }
    std::string_view block(std::size_t index) const { return m_content->blocks[index]; }

private:
    struct Content {
        std::vector<std::string> blocks;
        std::size_t size = 0;
        std::size_t capacity = 0;
    };

    /** Size of the next block, behind @p held bytes, if @p wanted bytes come now. */
    std::size_t blockBytes(std::size_t held, std::size_t wanted) const noexcept;

    std::shared_ptr<Content> m_content; // Null: no bytes.
    std::size_t m_expectedBytes = 0;
};

/** The body type of Beast for RequestBytes. */
struct RequestBody {
    using value_type = RequestBytes;

    static std::uint64_t size(const value_type& body) { return body.size(); }

    class reader { // NOLINT(readability-identifier-naming): Beast asks for this name.
    public:
        template <bool isRequest, class Fields>
        reader(boost::beast::http::header<isRequest, Fields>&, value_type& body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t>& length, boost::beast::error_code& ec)
        {
            if (length)
                m_body.expect(static_cast<std::size_t>(*length));
            ec = {};
        }

        template <class Buffers> std::size_t put(const Buffers& buffers, boost::beast::error_code& ec)
        {
            std::size_t total = 0;
            for (auto it = boost::asio::buffer_sequence_begin(buffers); it != boost::asio::buffer_sequence_end(buffers);
                 ++it) {
                const boost::asio::const_buffer piece = *it;
                m_body.append({ static_cast<const char*>(piece.data()), piece.size() });
                total += piece.size();
            }
            ec = {};
            return total;
        }

        static void finish(boost::beast::error_code& ec) { ec = {}; }

    private:
        value_type& m_body;
    };

    class writer { // NOLINT(readability-identifier-naming): Beast asks for this name.
    public:
        using const_buffers_type = boost::asio::const_buffer;

        template <bool isRequest, class Fields>
        writer(const boost::beast::http::header<isRequest, Fields>&, const value_type& body)
            : m_body(body)
        {
        }

        static void init(boost::beast::error_code& ec) { ec = {}; }

        boost::optional<std::pair<const_buffers_type, bool>> get(boost::beast::error_code& ec)
        {
            ec = {};
            if (m_next >= m_body.blockCount())
                return boost::none;
            const auto block = m_body.block(m_next++);
            return { { const_buffers_type(block.data(), block.size()), m_next < m_body.blockCount() } };
        }

    private:
        const value_type& m_body;
        std::size_t m_next = 0;
    };
};

}
