// Which paths may be matched against prefixes, and how.

#pragma once

#include <string_view>

namespace peridot {

/** Whether every backend server resolves @p path to itself, so that a prefix says what it reaches. */
bool isPlainPath(std::string_view path) noexcept;

/** Whether @p prefix is @p path or ends at one of its segment borders. */
bool isPathPrefix(std::string_view prefix, std::string_view path) noexcept;

}
