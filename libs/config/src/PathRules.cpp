#include "PathRules.h"

#include <algorithm>

namespace peridot {

namespace {

    char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

    /** Encoded dots, slashes, backslashes, percent signs and NULs; some servers decode them before resolving. */
    bool hasRiskyEscape(std::string_view path)
    {
        for (std::size_t i = 0; i + 2 < path.size(); ++i) {
            if (path[i] != '%')
                continue;
            const char escape[] { lower(path[i + 1]), lower(path[i + 2]) };
            const std::string_view code(escape, 2);
            if (code == "2e" || code == "2f" || code == "5c" || code == "25" || code == "00")
                return true;
        }
        return false;
    }

    /** Some servers drop parameters such as ";x" from a segment before they resolve dots. */
    bool isDotSegment(std::string_view segment)
    {
        const auto name = segment.substr(0, segment.find(';'));
        return name == "." || name == "..";
    }

}

bool isPlainPath(std::string_view path) noexcept
{
    if (path.empty() || path.front() != '/' || path.find('\\') != std::string_view::npos || hasRiskyEscape(path))
        return false;
    if (std::any_of(path.begin(), path.end(), [](char c) { return static_cast<unsigned char>(c) < ' '; }))
        return false;
    for (std::size_t start = 1; start < path.size();) {
        const auto end = std::min(path.find('/', start), path.size());
        if (end == start || isDotSegment(path.substr(start, end - start)))
            return false;
        start = end + 1;
    }
    return true;
}

bool isPathPrefix(std::string_view prefix, std::string_view path) noexcept
{
    if (prefix == "/")
        return true;
    return path.substr(0, prefix.size()) == prefix && (path.size() == prefix.size() || path[prefix.size()] == '/');
}

}
