// Invariant checks that stay on in release builds. A violated invariant throws; the daemon logs it and aborts, the
// randomised trial reports the seed.

#pragma once

#include <stdexcept>
#include <string>

namespace peridot {

/** Thrown when an internal invariant does not hold. Not meant to be handled: continuing could break a guarantee. */
class InvariantViolation : public std::logic_error {
public:
    using std::logic_error::logic_error;
};

[[noreturn]] void reportInvariantViolation(
    const char* condition, const std::string& message, const char* file, int line);

}

#define PERIDOT_ASSERT(condition, message)                                                                             \
    do {                                                                                                               \
        if (!(condition)) [[unlikely]]                                                                                 \
            ::peridot::reportInvariantViolation(#condition, (message), __FILE__, __LINE__);                            \
    } while (false)
