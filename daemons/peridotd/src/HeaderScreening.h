// What of a caller's request may reach a backend server: keys and hop-by-hop headers are taken out here.

#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace peridot {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/**
 * The parts of a request that may be forwarded.
 *
 * Invariant: no header and no query parameter contains a presented key, in plain or percent-encoded form.
 */
struct ScreenedRequest {
    std::vector<std::string> presentedKeys; // Without repetitions, in the order of Authorization, X-Api-Key, key.
    HeaderList headers;
    std::string query; // Without '?'.
    bool isKeyInPath = false; // The path itself holds a key; such a request cannot be forwarded.
};

ScreenedRequest screenRequest(const HeaderList&, const std::string& path, const std::string& query);

/** Returns the headers of a backend server's response that go to the caller. */
HeaderList screenResponseHeaders(const HeaderList&);

/** True if the path holds "." or ".." segments, a backslash or a control character, in plain or encoded form. */
bool hasAmbiguousSegments(std::string_view path);

bool equalsIgnoringCase(std::string_view left, std::string_view right) noexcept;

}
