// Checks of names, with the rules of protobuf for text (Unicode, table 3-7).

#include "base/Names.h"

#include <algorithm>

namespace peridot {

namespace {

    /** Returns the length of the well-formed UTF-8 character at the start, 0 if there is none. */
    std::size_t characterLength(std::string_view text) noexcept
    {
        const auto byte = [text](std::size_t i) { return static_cast<unsigned char>(text[i]); };
        const auto first = byte(0);
        if (first < 0x80)
            return 1;
        const std::size_t length = first >= 0xf0 ? 4 : first >= 0xe0 ? 3 : 2;
        if (first < 0xc2 || first > 0xf4 || text.size() < length)
            return 0;
        for (std::size_t i = 1; i < length; ++i) {
            if ((byte(i) & 0xc0) != 0x80)
                return 0;
        }
        // Longer forms of shorter characters, surrogates and numbers beyond U+10FFFF.
        const bool isMalformed = (first == 0xe0 && byte(1) < 0xa0) || (first == 0xed && byte(1) > 0x9f)
            || (first == 0xf0 && byte(1) < 0x90) || (first == 0xf4 && byte(1) > 0x8f);
        return isMalformed ? 0 : length;
    }

    bool isUtf8(std::string_view text) noexcept
    {
        while (!text.empty()) {
            const auto length = characterLength(text);
            if (length == 0)
                return false;
            text.remove_prefix(length);
        }
        return true;
    }

    bool isControl(char c) noexcept
    {
        const auto byte = static_cast<unsigned char>(c);
        return byte < 0x20 || byte == 0x7f;
    }

}

bool isName(std::string_view text) noexcept
{
    return !text.empty() && text.size() <= maximumNameBytes && std::none_of(text.begin(), text.end(), isControl)
        && isUtf8(text);
}

}
