// What a Node asks its surroundings to do. The daemon performs actions with real sockets, the randomised trial with
// fakes; both report the outcome back to the Node.

#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "store/StoreTypes.h"
#include "wire/PeerMessage.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace peridot {

struct SendMessage {
    InstanceId to;
    std::string address;
    PeerMessage message;
};

struct StoreCall {
    std::uint64_t id = 0;
    StoreRequest request;
    Duration timeout { 0 };
};

/** Sends a request, accepted earlier by Node::begin, to a backend server. */
struct DispatchRequest {
    RequestId request;
    WorkspaceId workspace; // On whose behalf it runs; empty on open routes.
    BackendServerId backendServer;
    std::string address;
    std::uint32_t attempt = 1;
    Duration timeout { 0 }; // What is left of the caller's deadline.
    bool needsFreshConnection
        = false; // Set for non-idempotent requests: a pooled connection could make the client resend.
};

enum class RunState {
    NotRun, // The request has not run and will not run.
    Unknown, // The request may have run, or may still run.
};

template <>
inline constexpr EnumNameTable<RunState, 2> enumNames<RunState> { {
    { RunState::NotRun, "not_run" },
    { RunState::Unknown, "unknown" },
} };

struct Refusal {
    std::uint16_t status = 503;
    std::string code; // Such as "rate_exceeded"; the list stands in docs/api.md.
    std::string message;
    RunState run = RunState::NotRun;
    Duration retryAfter { 0 }; // 0 if asking again later does not help.
};

struct RefuseRequest {
    RequestId request;
    Refusal refusal;
};

struct RecordedResponse {
    std::uint16_t status = 0;
    std::string contentType;
    std::string body;
};

/** Answers with the recorded response of an earlier request with the same idempotency key. */
struct ReplayResponse {
    RequestId request;
    RecordedResponse response;
};

/** Closes the connections of callers that use a withdrawn key. */
struct CloseCallers {
    KeyId key;
};

/** Asks a backend server for its health and load. */
struct ProbeBackendServer {
    BackendServerId backendServer;
    std::string address;
};

/** A request of the operator endpoint. */
struct OperatorRequest {
    std::string id; // Chosen by the operator's tool. It is the change id of a change, so that repeating it is harmless.
    std::string method;
    std::string path; // After "/v1/operator".
    std::string body; // JSON, see docs/api.md.
};

/** The answer to an operator, given once a change is decided. */
struct AnswerOperator {
    std::string id;
    std::uint16_t status = 200;
    std::string body; // JSON.
};

using Action = std::variant<SendMessage, StoreCall, DispatchRequest, RefuseRequest, ReplayResponse, CloseCallers,
    ProbeBackendServer, AnswerOperator>;
using Actions = std::vector<Action>;

}
