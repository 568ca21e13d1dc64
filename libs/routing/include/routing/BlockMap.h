// Maps client blocks to ordered lists of sites by longest prefix match. A snapshot is immutable; applying a delta makes
// a new snapshot that shares all unchanged parts with the old one, so that readers continue on theirs.

#pragma once

#include "base/Error.h"
#include "base/Ids.h"
#include "routing/ClientBlock.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace peridot {

using SiteId = Id<struct SiteTag>;
/** Position of a site in the site table of the map. */
using SiteIndex = std::uint16_t;

/** Sets the sites of a block, or removes the block if the list is empty. */
struct BlockChange {
    ClientBlock block;
    std::vector<SiteIndex> sites; // Most preferred first.

    bool operator==(const BlockChange&) const = default;
};

/** Changes to a block map, applied together. A later change of the same block replaces an earlier one. */
struct BlockDelta {
    std::vector<BlockChange> changes;

    /** Compact binary form: about 6 bytes and 1 to 2 bytes a site for an IPv4 block. */
    std::string encode() const;
    static Result<BlockDelta> decode(std::string_view bytes);
};

struct BlockTables;

/** One version of the block map. All calls are thread-safe. */
class BlockMapSnapshot {
public:
    explicit BlockMapSnapshot(std::shared_ptr<const std::vector<SiteId>> sites);
    BlockMapSnapshot(const BlockMapSnapshot&) = default;
    ~BlockMapSnapshot();

    /** Returns the sites of the longest block that contains the address; empty if there is none. The span is valid as
     *  long as the snapshot. */
    std::span<const SiteIndex> find(const ClientAddress&) const noexcept;

    const SiteId& site(SiteIndex index) const { return m_sites->at(index); }
    std::uint64_t version() const noexcept { return m_version; }
    std::size_t blockCount() const noexcept;

    /** Bytes of the arrays and indexes that this snapshot refers to, shared ones included. */
    std::size_t memoryBytes() const noexcept;
    /** Bytes that this snapshot does not share with the one it was made from. */
    std::size_t ownBytes() const noexcept { return m_ownBytes; }

private:
    friend class BlockMap;

    std::shared_ptr<const std::vector<SiteId>> m_sites;
    std::shared_ptr<const BlockTables> m_tables;
    std::uint64_t m_version = 0;
    std::size_t m_ownBytes = 0;
};

/** Holder of the current snapshot. Thread-safe: one writer at a time, any number of readers. A reader waits at most for
 *  the copy of one pointer, never for a delta. */
class BlockMap {
public:
    /** @p sites names the sites that changes refer to by position. */
    explicit BlockMap(std::vector<SiteId> sites);

    std::shared_ptr<const BlockMapSnapshot> snapshot() const;

    /** Applies all changes or, if one of them is wrong (unknown site, removal of an unknown block), none. */
    Result<std::shared_ptr<const BlockMapSnapshot>> apply(const BlockDelta&);

private:
    std::mutex m_writer;
    mutable std::mutex m_mutex; // Guards the pointer only.
    std::shared_ptr<const BlockMapSnapshot> m_current;
};

}
