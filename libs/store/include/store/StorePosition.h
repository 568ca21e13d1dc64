// Positions in the history of the platform's store.

#pragma once

#include <compare>
#include <cstdint>
#include <optional>

namespace peridot {

/** Rises by one each time the store comes back from an older copy. Versions that were given out since that copy are
 *  given out again, with other content. */
using StoreEra = std::uint64_t;

/** Ordered by era, then by version. A version alone orders nothing once the store has come back from a copy. */
struct StorePosition {
    StorePosition() = default;
    explicit constexpr StorePosition(std::uint64_t version, std::optional<StoreEra> era = std::nullopt) noexcept
        : era(era)
        , version(version)
    {
    }

    auto operator<=>(const StorePosition&) const = default;

    std::optional<StoreEra> era; // Empty if nobody has stated it.
    std::uint64_t version = 0; // 0: nothing is known of the era's history.
};

}
