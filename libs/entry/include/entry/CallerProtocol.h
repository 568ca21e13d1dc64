// How callers and backend servers state what the product needs to know. The surroundings of an entry instance implement
// it; nothing else knows their header names and status codes.

#pragma once

#include "http/ClientConnection.h"
#include "http/MessageHeaders.h"
#include "steering/TrafficSteering.h"

#include <tl/expected.hpp>

#include <optional>
#include <string>

namespace peridot {

/** What a backend server's response says. */
struct ServerResponseInfo {
    DispatchResult result = DispatchResult::Succeeded;
    std::optional<ServerLoad> load;
};

class CallerProtocol {
public:
    virtual ~CallerProtocol() = default;

    /** Reads a caller's request, or returns the answer to one that can't be understood. */
    virtual tl::expected<CallerRequest, HttpResponse> read(const HttpRequest&) const = 0;
    /** The request as the chosen server gets it. Never holds the caller's key. */
    virtual HttpRequest requestToServer(const HttpRequest&, const SendToServer&) const = 0;
    /** Whether a response that arrived on the request's connection is the answer to it. */
    virtual ResponseVerdict check(const HttpResponse&, const std::string& requestId) const = 0;
    virtual ServerResponseInfo inspectResponse(const HttpResponse&) const = 0;
    /** The server's response as the caller gets it. */
    virtual HttpResponse responseToCaller(HttpResponse) const = 0;
    virtual HttpResponse rejection(const RejectRequest&) const = 0;
};

}
