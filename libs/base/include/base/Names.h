// The names that instances exchange: of services, servers, workspaces and instances.

#pragma once

#include <cstddef>
#include <string_view>

namespace peridot {

constexpr std::size_t maximumNameBytes = 255;

/** Whether peers accept the name: 1 to maximumNameBytes bytes of UTF-8 without control characters. They refuse a whole
 *  message with another one, so names from other sources have to be checked where they come in. Names end up in log
 *  lines, headers and JSON. */
bool isName(std::string_view text) noexcept;

}
