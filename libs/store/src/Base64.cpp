#include "store/Base64.h"

#include <sodium.h>

namespace peridot {

std::string toBase64(const std::string& bytes)
{
    std::string text(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
        sodium_base64_VARIANT_ORIGINAL);
    text.pop_back(); // The terminating zero.
    return text;
}

std::optional<std::string> fromBase64(const std::string& text)
{
    std::string bytes(text.size() / 4 * 3 + 3, '\0');
    std::size_t length = 0;
    if (sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), text.data(), text.size(),
            nullptr, &length, nullptr, sodium_base64_VARIANT_ORIGINAL)
        != 0)
        return std::nullopt;
    bytes.resize(length);
    return bytes;
}

}
