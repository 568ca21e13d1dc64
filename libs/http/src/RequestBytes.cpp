#include "http/RequestBytes.h"

#include <algorithm>

namespace peridot {

namespace {

    constexpr std::size_t smallestBlock = 64; // A string reserves just as much as it is told from this size on.
    constexpr std::size_t smallBlock = 16'384;
    // The allocator maps blocks of this size one by one, so that they don't stay resident once they are released.
    constexpr std::size_t largeBlock = 262'144;
    constexpr std::size_t largeBody = 131'072; // From this size on, blocks are large.

}

RequestBytes::RequestBytes(std::string text)
{
    if (text.empty())
        return;
    m_content = std::make_shared<Content>();
    m_content->size = text.size();
    m_content->capacity = text.capacity();
    m_content->blocks.push_back(std::move(text));
}

std::size_t RequestBytes::blockBytes(std::size_t held, std::size_t wanted) const noexcept
{
    auto block = std::max(held, m_expectedBytes) >= largeBody ? largeBlock : smallBlock;
    if (m_expectedBytes > held)
        block = std::min(block, std::max(m_expectedBytes - held, wanted));
    else if (held == 0)
        block = std::min(block, wanted);
    return std::max(block, smallestBlock);
}

std::size_t RequestBytes::capacityWith(std::size_t bytes) const noexcept
{
    const auto total = size() + bytes;
    auto result = capacity();
    while (result < total)
        result += blockBytes(result, total - result);
    return result;
}

void RequestBytes::append(std::string_view bytes)
{
    if (bytes.empty())
        return;
    if (!m_content)
        m_content = std::make_shared<Content>();
    else if (m_content.use_count() > 1)
        *this = RequestBytes(text());
    while (!bytes.empty()) {
        auto& blocks = m_content->blocks;
        if (blocks.empty() || blocks.back().size() == blocks.back().capacity()) {
            const auto block = blockBytes(m_content->size, bytes.size());
            blocks.emplace_back().reserve(block);
            m_content->capacity += blocks.back().capacity();
        }
        auto& last = blocks.back();
        const auto part = bytes.substr(0, last.capacity() - last.size());
        last.append(part);
        m_content->size += part.size();
        bytes.remove_prefix(part.size());
    }
}

std::string RequestBytes::text() const
{
    std::string result;
    result.reserve(size());
    for (std::size_t i = 0; i < blockCount(); ++i)
        result.append(block(i));
    return result;
}

}
