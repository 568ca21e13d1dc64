// Finds callers' keys in requests that reach a backend server, where none may appear.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace peridot {

struct ScreenedMessage {
    std::string target; // Path and query as received.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string_view body;
};

class KeyDetector {
public:
    explicit KeyDetector(std::vector<std::string> secrets);

    /** Returns the place of a key, such as "header Authorization", without the key itself. */
    std::optional<std::string> find(const ScreenedMessage&) const;

private:
    bool holdsSecret(std::string_view text) const;

    const std::vector<std::string> m_secrets;
};

}
