// Hashes of caller keys. Only the BLAKE2b hash of a key is stored.

#pragma once

#include "base/Ids.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace peridot {

/** BLAKE2b-256 over the whole presented key, so that a hash fits one key id only. */
using KeyHash = std::array<std::uint8_t, 32>;

/** Hashes a key of the form `<key id>.<secret>`. */
KeyHash hashKey(std::string_view presentedKey);

/** Compares in constant time. */
bool equalHashes(const KeyHash&, const KeyHash&) noexcept;

std::string toHex(const KeyHash&);
std::optional<KeyHash> keyHashFromHex(std::string_view);

/** Splits `<key id>.<secret>`; empty if the form or a length is wrong. */
std::optional<std::pair<KeyId, std::string_view>> splitKey(std::string_view presentedKey);

}
