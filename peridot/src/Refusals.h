// Every refusal that a Node gives, in one place; docs/api.md lists the same codes.

#pragma once

#include "base/EnumNames.h"
#include "peridot/Actions.h"

#include <string>

namespace peridot {

enum class RefusalCode {
    UnknownService,
    UnknownRoute,
    MissingKey,
    MalformedKey,
    UnknownKey,
    WithdrawnKey,
    AmbiguousKey,
    InvalidIdempotencyKey,
    IdempotencyKeyReused,
    DuplicateRequest,
    RateExceeded,
    NoContact,
    Starting,
    StoreUnavailable,
    Overloaded,
    TargetUnreachable,
    DeadlineUnreachable,
    NoBackendServer,
    BackendFailed,
    BackendTimeout,
    ShiftInProgress,
    NoInstance,
};

template <>
inline constexpr EnumNameTable<RefusalCode, 22> enumNames<RefusalCode> { {
    { RefusalCode::UnknownService, "unknown_service" },
    { RefusalCode::UnknownRoute, "unknown_route" },
    { RefusalCode::MissingKey, "missing_key" },
    { RefusalCode::MalformedKey, "malformed_key" },
    { RefusalCode::UnknownKey, "unknown_key" },
    { RefusalCode::WithdrawnKey, "withdrawn_key" },
    { RefusalCode::AmbiguousKey, "ambiguous_key" },
    { RefusalCode::InvalidIdempotencyKey, "invalid_idempotency_key" },
    { RefusalCode::IdempotencyKeyReused, "idempotency_key_reused" },
    { RefusalCode::DuplicateRequest, "duplicate_request" },
    { RefusalCode::RateExceeded, "rate_exceeded" },
    { RefusalCode::NoContact, "no_contact" },
    { RefusalCode::Starting, "starting" },
    { RefusalCode::StoreUnavailable, "store_unavailable" },
    { RefusalCode::Overloaded, "overloaded" },
    { RefusalCode::TargetUnreachable, "target_unreachable" },
    { RefusalCode::DeadlineUnreachable, "deadline_unreachable" },
    { RefusalCode::NoBackendServer, "no_backend_server" },
    { RefusalCode::BackendFailed, "backend_failed" },
    { RefusalCode::BackendTimeout, "backend_timeout" },
    { RefusalCode::ShiftInProgress, "shift_in_progress" },
    { RefusalCode::NoInstance, "no_instance" },
} };

/** Makes the refusal with the status and message that belong to the code. */
Refusal makeRefusal(RefusalCode, RunState = RunState::NotRun, Duration retryAfter = Duration { 0 });

}
