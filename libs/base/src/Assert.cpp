// Reporting of violated invariants.

#include "base/Assert.h"

#include <fmt/format.h>

namespace peridot {

void reportInvariantViolation(const char* condition, const std::string& message, const char* file, int line)
{
    throw InvariantViolation(fmt::format("{}:{}: invariant violated: {} [{}]", file, line, message, condition));
}

}
