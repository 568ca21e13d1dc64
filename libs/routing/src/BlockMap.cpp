// Publishing of snapshots and checks of deltas.

#include "routing/BlockMap.h"

#include "BlockTable.h"

#include <algorithm>

namespace peridot {

namespace {

    constexpr std::size_t longestSiteList = 255;

    V4Bits bitsOf(const ClientAddress& address, V4Bits) noexcept { return address.v4(); }
    V6Bits bitsOf(const ClientAddress& address, V6Bits) noexcept { return { address.high(), address.low() }; }
    ClientAddress addressOf(V4Bits bits) noexcept { return ClientAddress::fromV4(bits); }
    ClientAddress addressOf(const V6Bits& bits) noexcept { return ClientAddress::fromV6(bits.high, bits.low); }

    /** Returns the changes of one family, sorted, the last change of each block only. */
    template <typename Bits> std::vector<BlockRow<Bits>> sortedRows(const BlockDelta& delta)
    {
        std::vector<BlockRow<Bits>> rows;
        for (const auto& change : delta.changes) {
            if (change.block.address().isV6() == std::is_same_v<Bits, V6Bits>) {
                rows.push_back({ bitsOf(change.block.address(), Bits()),
                    static_cast<std::uint8_t>(change.block.prefixLength()), change.sites });
            }
        }
        std::stable_sort(rows.begin(), rows.end(), [](const auto& a, const auto& b) { return a.isBefore(b); });
        std::size_t count = 0;
        for (std::size_t i = 0; i < rows.size(); ++i) {
            if (i + 1 == rows.size() || !rows[i].isSameBlock(rows[i + 1]))
                rows[count++] = rows[i];
        }
        rows.resize(count);
        return rows;
    }

    template <typename Bits>
    Result<std::shared_ptr<const BlockTable<Bits>>> applyTo(
        const std::shared_ptr<const BlockTable<Bits>>& table, const BlockDelta& delta)
    {
        const auto rows = sortedRows<Bits>(delta);
        if (rows.empty())
            return table;
        auto result = table->apply(rows);
        if (result)
            return *result;
        const auto block = ClientBlock::containing(addressOf(result.error().start), result.error().length);
        return makeError(ErrorCode::NotFound, "apply block delta", "", "cannot remove unknown block " + block.text());
    }

    Result<void> checkSites(const BlockDelta& delta, std::size_t siteCount)
    {
        for (const auto& change : delta.changes) {
            if (change.sites.size() > longestSiteList) {
                return makeError(ErrorCode::InvalidArgument, "apply block delta", "",
                    "block " + change.block.text() + " has more than " + std::to_string(longestSiteList) + " sites");
            }
            for (const auto site : change.sites) {
                if (site >= siteCount) {
                    return makeError(ErrorCode::InvalidArgument, "apply block delta", "",
                        "block " + change.block.text() + " names site " + std::to_string(site) + " of "
                            + std::to_string(siteCount));
                }
            }
        }
        return {};
    }

}

BlockMapSnapshot::BlockMapSnapshot(std::shared_ptr<const std::vector<SiteId>> sites)
    : m_sites(std::move(sites))
    , m_tables(std::make_shared<BlockTables>(
          BlockTables { std::make_shared<BlockTable<V4Bits>>(), std::make_shared<BlockTable<V6Bits>>() }))
{
}

BlockMapSnapshot::~BlockMapSnapshot() = default;

std::span<const SiteIndex> BlockMapSnapshot::find(const ClientAddress& address) const noexcept
{
    if (address.isV6())
        return m_tables->v6->find({ address.high(), address.low() });
    return m_tables->v4->find(address.v4());
}

std::size_t BlockMapSnapshot::blockCount() const noexcept
{
    return m_tables->v4->blockCount() + m_tables->v6->blockCount();
}

std::size_t BlockMapSnapshot::memoryBytes() const noexcept
{
    return sizeof(*this) + sizeof(BlockTables) + m_tables->v4->memoryBytes() + m_tables->v6->memoryBytes();
}

BlockMap::BlockMap(std::vector<SiteId> sites)
    : m_current(std::make_shared<BlockMapSnapshot>(std::make_shared<const std::vector<SiteId>>(std::move(sites))))
{
}

std::shared_ptr<const BlockMapSnapshot> BlockMap::snapshot() const
{
    const std::lock_guard lock(m_mutex);
    return m_current;
}

Result<std::shared_ptr<const BlockMapSnapshot>> BlockMap::apply(const BlockDelta& delta)
{
    const std::lock_guard writerLock(m_writer);
    const auto old = snapshot();
    if (auto checked = checkSites(delta, old->m_sites->size()); !checked)
        return tl::unexpected(checked.error());
    const auto v4 = applyTo(old->m_tables->v4, delta);
    if (!v4)
        return tl::unexpected(v4.error());
    const auto v6 = applyTo(old->m_tables->v6, delta);
    if (!v6)
        return tl::unexpected(v6.error());
    auto next = std::make_shared<BlockMapSnapshot>(*old);
    next->m_tables = std::make_shared<BlockTables>(BlockTables { *v4, *v6 });
    ++next->m_version;
    next->m_ownBytes = sizeof(*next) + sizeof(BlockTables) + (*v4 != old->m_tables->v4 ? (*v4)->ownBytes() : 0)
        + (*v6 != old->m_tables->v6 ? (*v6)->ownBytes() : 0);
    std::shared_ptr<const BlockMapSnapshot> published = std::move(next);
    {
        const std::lock_guard lock(m_mutex);
        m_current = published;
    }
    return published;
}

}
