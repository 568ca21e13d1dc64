// Large values of rows travel apart from the rows: a row names its value, and the value is fetched in encoded parts.
// An encoded value holds only what differs from another value that the receiver has.

#pragma once

#include "base/Error.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridot {

// A larger value is named in messages between instances instead of being part of them.
constexpr std::size_t largestInlineValue = 4'096;
// Bounds the memory that a peer's statement can make an instance take.
constexpr std::size_t maximumValueBytes = 33'554'432;

/** Names a value by a hash of its content. */
struct ValueId {
    std::uint64_t high = 0; // Of the hash.
    std::uint64_t low = 0;
    std::uint64_t bytes = 0; // Size of the value.

    auto operator<=>(const ValueId&) const = default;
};

ValueId valueIdOf(std::string_view value);

/** Returns @p value in encoded form. The receiver needs the same @p base to decode it; an empty base stands for none.
 */
std::string encodeValue(std::string_view value, std::string_view base);

/** Fails with ProtocolViolation if @p encoded is damaged, was made with another base or holds another value than @p id
 *  names. */
Result<std::string> decodeValue(std::string_view encoded, std::string_view base, const ValueId& id);

/** Asks a peer for a part of an encoded value. */
struct ValuePull {
    ValueId id;
    std::optional<ValueId> base; // That the sender has; the peer may use it if it has it as well.
    std::uint64_t offset = 0; // In the encoded value.
};

/** Part of an encoded value. The whole is the same as that of an earlier part if its size, hash and use of the base
 *  are. */
struct ValuePart {
    ValueId id;
    bool isKnown = false; // The peer has the value or is about to get it.
    bool usesBase = false; // The one that the pull names.
    std::uint64_t encodedBytes = 0; // Of the whole.
    std::uint64_t encodedHash = 0;
    std::uint64_t offset = 0;
    std::string bytes; // Empty if the peer does not have them yet.
};

}
