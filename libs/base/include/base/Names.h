// The names that instances exchange: of services, servers, workspaces and instances.

#pragma once

#include <algorithm>
#include <cstddef>
#include <string_view>

namespace peridot {

constexpr std::size_t maximumNameBytes = 255;

/** Whether peers accept the name. They refuse a whole message with one that they don't, so names from other sources
 *  have to be checked where they come in. Names end up in log lines, headers and JSON; an empty one is no name. */
constexpr bool isName(std::string_view text) noexcept
{
    return !text.empty() && text.size() <= maximumNameBytes && std::none_of(text.begin(), text.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return byte < 0x20 || byte == 0x7f;
    });
}

}
