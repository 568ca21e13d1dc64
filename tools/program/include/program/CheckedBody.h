// Response bodies that a caller can check: they name their request, have an agreed length and come with a checksum.

#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace peridot {

struct CheckedBodyHead {
    std::string requestId; // X-Request-Id as the backend server received it.
    std::string echo; // Query parameter `echo`, chosen by the caller.
    std::string server; // Name of the backend server.
};

/** Builds a JSON document of @p bytes bytes, or of the shortest possible length if that is more. */
std::string makeCheckedBody(const CheckedBodyHead&, std::size_t bytes);

/** Returns the head if @p body is such a document. */
std::optional<CheckedBodyHead> parseCheckedBody(std::string_view body);

/** The value of X-Content-Checksum: xxHash64 in 16 hexadecimal digits. */
std::string contentChecksum(std::string_view body);

}
