// libsodium's generic hash is BLAKE2b.

#include "config/KeyHash.h"

#include "base/Assert.h"

#include <sodium.h>

#include <algorithm>

namespace peridot {

namespace {

    constexpr std::size_t longestKeyId = 64;
    constexpr std::size_t longestSecret = 256;

    bool isKeyIdCharacter(char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
    }

    int hexDigit(char c)
    {
        if (c >= '0' && c <= '9')
            return c - '0';
        if (c >= 'a' && c <= 'f')
            return c - 'a' + 10;
        return -1;
    }

}

KeyHash hashKey(std::string_view presentedKey)
{
    static const bool isReady = sodium_init() >= 0;
    PERIDOT_ASSERT(isReady, "libsodium cannot be initialised");
    KeyHash hash {};
    crypto_generichash(hash.data(), hash.size(), reinterpret_cast<const unsigned char*>(presentedKey.data()),
        presentedKey.size(), nullptr, 0);
    return hash;
}

bool equalHashes(const KeyHash& a, const KeyHash& b) noexcept
{
    return sodium_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string toHex(const KeyHash& hash)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    for (const auto byte : hash) {
        text += digits[byte >> 4];
        text += digits[byte & 15];
    }
    return text;
}

std::optional<KeyHash> keyHashFromHex(std::string_view text)
{
    KeyHash hash {};
    if (text.size() != 2 * hash.size())
        return std::nullopt;
    for (std::size_t i = 0; i < hash.size(); ++i) {
        const int high = hexDigit(text[2 * i]);
        const int low = hexDigit(text[2 * i + 1]);
        if (high < 0 || low < 0)
            return std::nullopt;
        hash[i] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return hash;
}

std::optional<std::pair<KeyId, std::string_view>> splitKey(std::string_view presentedKey)
{
    const auto dot = presentedKey.find('.');
    if (dot == std::string_view::npos)
        return std::nullopt;
    const auto id = presentedKey.substr(0, dot);
    const auto secret = presentedKey.substr(dot + 1);
    if (id.empty() || id.size() > longestKeyId || !std::all_of(id.begin(), id.end(), isKeyIdCharacter))
        return std::nullopt;
    if (secret.empty() || secret.size() > longestSecret)
        return std::nullopt;
    return std::pair { KeyId(std::string(id)), secret };
}

}
