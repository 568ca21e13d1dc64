// Percent-encoding of the parts of a URI.

#pragma once

#include <string>
#include <string_view>

namespace peridot {

/** Encodes everything but unreserved characters. */
std::string percentEncoded(std::string_view text);
/** Decodes %XX and, in queries, '+'. Invalid sequences stay as they are. */
std::string percentDecoded(std::string_view text, bool isQuery);

}
