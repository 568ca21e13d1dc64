// Base64 of values that may hold any bytes.

#pragma once

#include <optional>
#include <string>

namespace peridot {

std::string toBase64(const std::string& bytes);
/** Returns nothing if @p text is no base64. */
std::optional<std::string> fromBase64(const std::string& text);

}
