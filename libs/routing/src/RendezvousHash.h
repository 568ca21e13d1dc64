// Hashes for rendezvous ranking. They are equal in all processes, so that instances agree without messages.

#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string>

namespace peridot {

inline std::uint64_t hashOf(const std::string& name) noexcept { return XXH3_64bits(name.data(), name.size()); }

/** Mixes two hashes; the finalizer of SplitMix64. */
inline std::uint64_t mixHashes(std::uint64_t a, std::uint64_t b) noexcept
{
    auto value = a ^ (b * 0x9e3779b97f4a7c15 + 0x9e3779b97f4a7c15);
    value = (value ^ value >> 30) * 0xbf58476d1ce4e5b9;
    value = (value ^ value >> 27) * 0x94d049bb133111eb;
    return value ^ value >> 31;
}

/** Maps a hash to (0, 1]. */
inline double unitInterval(std::uint64_t hash) noexcept { return (static_cast<double>(hash >> 11) + 1) / (1ULL << 53); }

}
