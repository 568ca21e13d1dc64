// The carriers of a key are refused by name, and the known secrets anywhere.

#include "KeyDetector.h"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>

namespace peridot {

namespace {

    int hexDigit(char c)
    {
        if (c >= '0' && c <= '9')
            return c - '0';
        const char lower = static_cast<char>(c | 0x20);
        return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
    }

    std::string percentDecoded(std::string_view text)
    {
        std::string decoded;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size() && hexDigit(text[i + 1]) >= 0 && hexDigit(text[i + 2]) >= 0) {
                decoded += static_cast<char>(hexDigit(text[i + 1]) * 16 + hexDigit(text[i + 2]));
                i += 2;
            } else {
                decoded += text[i];
            }
        }
        return decoded;
    }

    bool hasKeyParameter(std::string_view target)
    {
        auto position = target.find('?');
        while (position != std::string_view::npos) {
            const auto parameter = target.substr(position + 1);
            const auto name = parameter.substr(0, parameter.find_first_of("=&#"));
            if (percentDecoded(name) == "key")
                return true;
            position = target.find('&', position + 1);
        }
        return false;
    }

}

KeyDetector::KeyDetector(std::vector<std::string> secrets)
    : m_secrets(std::move(secrets))
{
}

std::optional<std::string> KeyDetector::find(const ScreenedMessage& message) const
{
    if (hasKeyParameter(message.target))
        return "query parameter key";
    if (holdsSecret(message.target) || holdsSecret(percentDecoded(message.target)))
        return "request target";
    for (const auto& [name, value] : message.headers) {
        if (boost::iequals(name, "Authorization") || boost::iequals(name, "X-Api-Key") || holdsSecret(value)
            || holdsSecret(name))
            return "header " + (holdsSecret(name) ? std::string("name") : name);
    }
    if (holdsSecret(message.body))
        return "body";
    return std::nullopt;
}

bool KeyDetector::holdsSecret(std::string_view text) const
{
    return std::any_of(m_secrets.begin(), m_secrets.end(),
        [text](const std::string& secret) { return text.find(secret) != std::string_view::npos; });
}

}
