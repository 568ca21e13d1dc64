// The error type of all libraries. It carries the step that failed and the peer it failed with.

#pragma once

#include "base/EnumNames.h"

#include <tl/expected.hpp>

#include <string>

namespace peridot {

enum class ErrorCode {
    InvalidArgument,
    InvalidSettings,
    NotFound,
    Conflict,
    Unavailable, // The operation did not take effect.
    OutcomeUnknown, // The operation may have taken effect.
    PermissionDenied,
    ProtocolViolation,
    Internal,
};

template <>
inline constexpr EnumNameTable<ErrorCode, 9> enumNames<ErrorCode> { {
    { ErrorCode::InvalidArgument, "invalid_argument" },
    { ErrorCode::InvalidSettings, "invalid_settings" },
    { ErrorCode::NotFound, "not_found" },
    { ErrorCode::Conflict, "conflict" },
    { ErrorCode::Unavailable, "unavailable" },
    { ErrorCode::OutcomeUnknown, "outcome_unknown" },
    { ErrorCode::PermissionDenied, "permission_denied" },
    { ErrorCode::ProtocolViolation, "protocol_violation" },
    { ErrorCode::Internal, "internal" },
} };

struct Error {
    ErrorCode code = ErrorCode::Internal;
    std::string step; // What was being done, such as "read configuration head".
    std::string peer; // Name or address of the other side; empty if there is none.
    std::string message;

    /** Returns one line for logs and terminals. */
    std::string describe() const;
};

template <typename T> using Result = tl::expected<T, Error>;

tl::unexpected<Error> makeError(ErrorCode, std::string step, std::string peer, std::string message);

}
