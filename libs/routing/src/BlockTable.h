// The blocks of one address family in address order, cut into chunks that versions share.

#pragma once

#include "base/Error.h"
#include "routing/BlockMap.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace peridot {

struct V6Bits {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    bool operator==(const V6Bits&) const = default;
    bool operator<(const V6Bits& other) const noexcept
    {
        return high != other.high ? high < other.high : low < other.low;
    }
};

using V4Bits = std::uint32_t;

inline bool covers(V4Bits start, unsigned length, V4Bits address) noexcept
{
    return !length || (start ^ address) >> (32 - length) == 0;
}

inline bool covers(const V6Bits& start, unsigned length, const V6Bits& address) noexcept
{
    if (length <= 64)
        return !length || (start.high ^ address.high) >> (64 - length) == 0;
    return start.high == address.high && (start.low ^ address.low) >> (128 - length) == 0;
}

/** One block with its sites; the span points into a chunk or a delta. As a change, no sites mean a removal. */
template <typename Bits> struct BlockRow {
    Bits start {};
    std::uint8_t length = 0;
    std::span<const SiteIndex> sites;

    bool isBefore(const BlockRow& other) const noexcept
    {
        return start != other.start ? start < other.start : length < other.length;
    }
    bool isSameBlock(const BlockRow& other) const noexcept { return start == other.start && length == other.length; }
};

/** A run of neighbouring blocks. Immutable once built; copies share the data. All of it is in one allocation, as most
 * of the time of a lookup goes into cache and TLB misses. */
template <typename Bits> class BlockChunk {
public:
    static constexpr std::size_t s_largestSize = 240;

    explicit BlockChunk(std::span<const BlockRow<Bits>> rows);

    std::size_t size() const noexcept { return m_words[0] & 0xffff; }
    const Bits& firstStart() const noexcept { return *starts(); }
    BlockRow<Bits> row(std::size_t index) const noexcept
    {
        const auto& block = blocks()[index];
        const auto* list = reinterpret_cast<const SiteIndex*>(blocks() + size()) + block.list;
        return { starts()[index], block.length, { list + 1, *list } };
    }
    /** Returns the longest block of this chunk that covers the address. */
    std::optional<std::size_t> find(const Bits& address) const noexcept;
    /** Returns the blocks of this chunk that cover an address after its last block, longest first. */
    std::vector<std::size_t> coveringAtEnd(const Bits& address) const;
    std::size_t memoryBytes() const noexcept;

private:
    static constexpr std::uint8_t s_noParent = 0xff;
    static_assert(s_largestSize < s_noParent && s_largestSize * 256 <= 65536, "positions fit their types");

    /** Kept together, since a lookup that has found the start needs all of it. */
    struct Block {
        std::uint16_t list = 0; // Offset of its site list; equal lists are kept once.
        std::uint8_t length = 0;
        std::uint8_t parent = s_noParent; // The longest other block of this chunk that contains the block.
    };

    static constexpr std::size_t s_startsOffset = sizeof(std::uint64_t);

    const Bits* starts() const noexcept { return reinterpret_cast<const Bits*>(m_words.get() + 1); }
    const Block* blocks() const noexcept { return reinterpret_cast<const Block*>(starts() + size()); }

    // The number of blocks (low 16 bits) and of words, the starts in the order (start, length), the other fields of the
    // blocks, and the site lists: each its length, then its sites.
    std::shared_ptr<const std::uint64_t[]> m_words;
};

/** All blocks of one family. Immutable once built. */
template <typename Bits> class BlockTable {
public:
    std::span<const SiteIndex> find(const Bits& address) const noexcept;
    /** Returns a table with the changes, which must be sorted and name each block once. A row that removes a block
     * which the table lacks is returned as the error. */
    tl::expected<std::shared_ptr<const BlockTable>, BlockRow<Bits>> apply(
        std::span<const BlockRow<Bits>> changes) const;

    std::size_t blockCount() const noexcept { return m_blockCount; }
    std::size_t memoryBytes() const noexcept;
    std::size_t ownBytes() const noexcept { return m_ownBytes; }

private:
    /** A block of an earlier chunk that contains the first block of a chunk, and perhaps later ones. */
    struct OuterBlock {
        Bits start {};
        std::uint8_t length = 0;
        std::vector<SiteIndex> sites;

        bool operator==(const OuterBlock&) const = default;
    };
    using OuterBlocks = std::vector<OuterBlock>;
    struct Part {
        BlockChunk<Bits> chunk;
        std::shared_ptr<const OuterBlocks> outer; // Shortest first; null if there are none.
    };

    std::size_t partFor(const BlockRow<Bits>&) const noexcept;
    void append(const std::vector<BlockRow<Bits>>& rows);
    void updateOuterBlocks();
    static OuterBlocks outerBlocksAfter(const Part&, const Bits& nextStart);
    static std::size_t bytes(const OuterBlocks&) noexcept;

    std::vector<Bits> m_firstStarts; // Of the parts; kept apart for a fast binary search.
    std::vector<Part> m_parts;
    std::size_t m_blockCount = 0;
    std::size_t m_ownBytes = 0;
};

struct BlockTables {
    std::shared_ptr<const BlockTable<V4Bits>> v4;
    std::shared_ptr<const BlockTable<V6Bits>> v6;
};

}
