// Lookup in the chunks and the building of a new version by a merge of the touched chunks with the changes.

#include "BlockTable.h"

#include "base/Assert.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace peridot {

namespace {

    template <typename T> std::size_t vectorBytes(const std::vector<T>& vector) noexcept
    {
        return vector.capacity() * sizeof(T);
    }

    /** Places each distinct list once. Holds its entries on the stack, as it is built for every touched chunk. */
    class ListTable {
    public:
        /** Returns the offset of the list; adds it to the end of @p data if it is new. */
        std::uint16_t place(std::span<const SiteIndex> list, std::vector<SiteIndex>& data)
        {
            auto slot = XXH3_64bits(list.data(), list.size_bytes()) % m_offsets.size();
            for (; m_offsets[slot]; slot = (slot + 1) % m_offsets.size()) {
                const auto* known = data.data() + m_offsets[slot] - 1;
                if (std::equal(list.begin(), list.end(), known + 1, known + 1 + *known))
                    return static_cast<std::uint16_t>(m_offsets[slot] - 1);
            }
            const auto offset = static_cast<std::uint16_t>(data.size());
            m_offsets[slot] = offset + 1U;
            data.push_back(static_cast<SiteIndex>(list.size()));
            data.insert(data.end(), list.begin(), list.end());
            return offset;
        }

    private:
        // Twice the blocks of a chunk, so that a free slot always exists. An entry is the offset plus 1, or 0 if free.
        std::array<std::uint32_t, 2 * BlockChunk<V4Bits>::s_largestSize> m_offsets {};
    };

    /** Merges sorted rows with sorted changes. Returns the change that removes a missing block, if there is one. */
    template <typename Bits>
    std::optional<BlockRow<Bits>> merge(std::span<const BlockRow<Bits>> rows, std::span<const BlockRow<Bits>> changes,
        std::vector<BlockRow<Bits>>& result)
    {
        auto row = rows.begin();
        for (const auto& change : changes) {
            while (row != rows.end() && row->isBefore(change))
                result.push_back(*row++);
            const bool isKnown = row != rows.end() && row->isSameBlock(change);
            if (change.sites.empty() && !isKnown)
                return change;
            if (!change.sites.empty())
                result.push_back(change);
            if (isKnown)
                ++row;
        }
        result.insert(result.end(), row, rows.end());
        return std::nullopt;
    }

}

template <typename Bits> BlockChunk<Bits>::BlockChunk(std::span<const BlockRow<Bits>> rows)
{
    PERIDOT_ASSERT(!rows.empty() && rows.size() <= s_largestSize, "a chunk has a bounded number of blocks");
    ListTable lists;
    std::vector<Block> blocks;
    std::vector<SiteIndex> siteData;
    blocks.reserve(rows.size());
    for (const auto& row : rows) {
        // The parent of a block is the block before it, or one of that block's ancestors.
        auto parent = static_cast<std::uint8_t>(blocks.empty() ? s_noParent : blocks.size() - 1);
        while (parent != s_noParent && !covers(rows[parent].start, rows[parent].length, row.start))
            parent = blocks[parent].parent;
        blocks.push_back({ lists.place(row.sites, siteData), row.length, parent });
    }
    const auto bytes
        = s_startsOffset + rows.size() * (sizeof(Bits) + sizeof(Block)) + siteData.size() * sizeof(SiteIndex);
    const auto size = (bytes + sizeof(std::uint64_t) - 1) / sizeof(std::uint64_t);
    const auto words = std::make_shared<std::uint64_t[]>(size);
    words[0] = rows.size() | size << 16;
    auto* starts = reinterpret_cast<Bits*>(words.get() + 1);
    for (const auto& row : rows)
        *starts++ = row.start;
    auto* end = std::copy(blocks.begin(), blocks.end(), reinterpret_cast<Block*>(starts));
    std::copy(siteData.begin(), siteData.end(), reinterpret_cast<SiteIndex*>(end));
    m_words = words;
}

template <typename Bits> std::optional<std::size_t> BlockChunk<Bits>::find(const Bits& address) const noexcept
{
    // All blocks that cover the address are the last block that starts at or before it, or ancestors of that block.
    const auto* first = starts();
    // The search would wait for its cache lines one after the other.
    constexpr std::size_t perLine = 64 / sizeof(Bits);
    for (std::size_t i = 0; i < size(); i += perLine)
        __builtin_prefetch(first + i);
    const auto* next = std::upper_bound(first, first + size(), address);
    if (next == first)
        return std::nullopt;
    auto index = static_cast<std::uint8_t>(next - first - 1);
    while (index != s_noParent && !covers(first[index], blocks()[index].length, address))
        index = blocks()[index].parent;
    return index == s_noParent ? std::nullopt : std::optional<std::size_t>(index);
}

template <typename Bits> std::vector<std::size_t> BlockChunk<Bits>::coveringAtEnd(const Bits& address) const
{
    std::vector<std::size_t> covering;
    for (auto index = static_cast<std::uint8_t>(size() - 1); index != s_noParent; index = blocks()[index].parent) {
        if (covers(starts()[index], blocks()[index].length, address))
            covering.push_back(index);
    }
    return covering;
}

template <typename Bits> std::size_t BlockChunk<Bits>::memoryBytes() const noexcept
{
    constexpr std::size_t controlBlock = 2 * sizeof(std::uint64_t) + sizeof(void*);
    return (m_words[0] >> 16) * sizeof(std::uint64_t) + controlBlock;
}

template <typename Bits> std::span<const SiteIndex> BlockTable<Bits>::find(const Bits& address) const noexcept
{
    const auto next = std::upper_bound(m_firstStarts.begin(), m_firstStarts.end(), address);
    if (next == m_firstStarts.begin())
        return {};
    const auto& part = m_parts[static_cast<std::size_t>(next - m_firstStarts.begin() - 1)];
    if (const auto index = part.chunk.find(address))
        return part.chunk.row(*index).sites;
    if (!part.outer)
        return {};
    const auto outer = std::find_if(part.outer->rbegin(), part.outer->rend(),
        [&](const OuterBlock& block) { return covers(block.start, block.length, address); });
    return outer == part.outer->rend() ? std::span<const SiteIndex>() : std::span<const SiteIndex>(outer->sites);
}

template <typename Bits> std::size_t BlockTable<Bits>::partFor(const BlockRow<Bits>& change) const noexcept
{
    const auto next = std::upper_bound(m_parts.begin(), m_parts.end(), change,
        [](const BlockRow<Bits>& row, const Part& part) { return row.isBefore(part.chunk.row(0)); });
    return next == m_parts.begin() ? 0 : static_cast<std::size_t>(next - m_parts.begin() - 1);
}

template <typename Bits>
tl::expected<std::shared_ptr<const BlockTable<Bits>>, BlockRow<Bits>> BlockTable<Bits>::apply(
    std::span<const BlockRow<Bits>> changes) const
{
    // A chunk below this size is joined with the next one, so that removals do not leave many small chunks.
    constexpr std::size_t smallestSize = BlockChunk<Bits>::s_largestSize / 8;

    auto result = std::make_shared<BlockTable>();
    std::vector<BlockRow<Bits>> rows;
    std::vector<BlockRow<Bits>> merged;
    std::size_t part = 0;
    auto change = changes.begin();
    while (part < m_parts.size() || change != changes.end()) {
        const auto touched = change == changes.end() ? m_parts.size() : partFor(*change);
        if (part < touched && merged.empty()) {
            result->m_parts.insert(result->m_parts.end(), m_parts.begin() + static_cast<std::ptrdiff_t>(part),
                m_parts.begin() + static_cast<std::ptrdiff_t>(touched));
            part = touched;
            continue;
        }
        rows.clear();
        if (part < m_parts.size()) {
            for (std::size_t i = 0; i < m_parts[part].chunk.size(); ++i)
                rows.push_back(m_parts[part].chunk.row(i));
        }
        const auto end = part + 1 < m_parts.size() ? std::partition_point(change, changes.end(),
                             [&](const BlockRow<Bits>& row) { return row.isBefore(m_parts[part + 1].chunk.row(0)); })
                                                   : changes.end();
        if (const auto missing = merge<Bits>(rows, { change, end }, merged))
            return tl::unexpected(*missing);
        change = end;
        ++part;
        if (merged.size() >= smallestSize || part >= m_parts.size()) {
            result->append(merged);
            merged.clear();
        }
    }
    result->m_parts.shrink_to_fit();
    result->updateOuterBlocks();
    return result;
}

template <typename Bits> void BlockTable<Bits>::append(const std::vector<BlockRow<Bits>>& rows)
{
    constexpr auto largest = BlockChunk<Bits>::s_largestSize;
    if (rows.empty())
        return;
    // Pieces are at most three quarters full, so that the next additions do not split them again.
    const auto pieces = rows.size() <= largest ? 1 : (rows.size() + largest * 3 / 4 - 1) / (largest * 3 / 4);
    const std::span<const BlockRow<Bits>> all(rows);
    for (std::size_t i = 0; i < pieces; ++i) {
        const auto begin = rows.size() * i / pieces;
        const auto end = rows.size() * (i + 1) / pieces;
        m_parts.push_back({ BlockChunk<Bits>(all.subspan(begin, end - begin)), nullptr });
        m_ownBytes += m_parts.back().chunk.memoryBytes();
    }
}

template <typename Bits> void BlockTable<Bits>::updateOuterBlocks()
{
    m_firstStarts.reserve(m_parts.size());
    for (std::size_t i = 0; i < m_parts.size(); ++i) {
        auto& part = m_parts[i];
        m_firstStarts.push_back(part.chunk.firstStart());
        m_blockCount += part.chunk.size();
        auto outer = i ? outerBlocksAfter(m_parts[i - 1], part.chunk.firstStart()) : OuterBlocks();
        if (part.outer ? outer == *part.outer : outer.empty())
            continue;
        if (outer.empty()) {
            part.outer = nullptr;
            continue;
        }
        part.outer = std::make_shared<OuterBlocks>(std::move(outer));
        m_ownBytes += bytes(*part.outer);
    }
    m_ownBytes += sizeof(*this) + vectorBytes(m_firstStarts) + vectorBytes(m_parts);
}

template <typename Bits>
typename BlockTable<Bits>::OuterBlocks BlockTable<Bits>::outerBlocksAfter(const Part& part, const Bits& nextStart)
{
    OuterBlocks result;
    if (part.outer) {
        std::copy_if(part.outer->begin(), part.outer->end(), std::back_inserter(result),
            [&](const OuterBlock& block) { return covers(block.start, block.length, nextStart); });
    }
    const auto covering = part.chunk.coveringAtEnd(nextStart);
    std::for_each(covering.rbegin(), covering.rend(), [&](std::size_t index) {
        const auto row = part.chunk.row(index);
        result.push_back({ row.start, row.length, { row.sites.begin(), row.sites.end() } });
    });
    return result;
}

template <typename Bits> std::size_t BlockTable<Bits>::bytes(const OuterBlocks& blocks) noexcept
{
    auto sum = sizeof(blocks) + vectorBytes(blocks);
    for (const auto& block : blocks)
        sum += vectorBytes(block.sites);
    return sum;
}

template <typename Bits> std::size_t BlockTable<Bits>::memoryBytes() const noexcept
{
    auto sum = sizeof(*this) + vectorBytes(m_firstStarts) + vectorBytes(m_parts);
    for (const auto& part : m_parts)
        sum += part.chunk.memoryBytes() + (part.outer ? bytes(*part.outer) : 0);
    return sum;
}

template class BlockChunk<V4Bits>;
template class BlockChunk<V6Bits>;
template class BlockTable<V4Bits>;
template class BlockTable<V6Bits>;

}
