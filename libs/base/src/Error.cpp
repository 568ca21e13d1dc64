// Formatting of errors.

#include "base/Error.h"

#include <fmt/format.h>

#include <utility>

namespace peridot {

std::string Error::describe() const
{
    if (peer.empty())
        return fmt::format("{}: {} ({})", step, message, enumName(code));
    return fmt::format("{} with {}: {} ({})", step, peer, message, enumName(code));
}

tl::unexpected<Error> makeError(ErrorCode code, std::string step, std::string peer, std::string message)
{
    return tl::make_unexpected(Error { code, std::move(step), std::move(peer), std::move(message) });
}

}
