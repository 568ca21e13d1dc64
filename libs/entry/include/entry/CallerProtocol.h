// Interface between the request gateway and the HTTP conventions of a deployment. The implementation alone depends on
// the header names and status codes that callers and backend servers use.

#pragma once

#include "http/ClientConnection.h"
#include "http/MessageHeaders.h"
#include "steering/TrafficSteering.h"

#include <tl/expected.hpp>

#include <optional>
#include <string>

namespace peridot {

/** Result of a send, and what the backend server states about itself, as its response has them. */
struct ServerResponseInfo {
    DispatchResult result = DispatchResult::Succeeded;
    ServerStatement statement {};
};

class CallerProtocol {
public:
    virtual ~CallerProtocol() = default;

    /** Parses a caller's request. If it is malformed, returns the error response for the caller. */
    virtual tl::expected<CallerRequest, HttpResponse> read(const HttpRequest&) const = 0;
    /** Returns the request to send to the chosen server. It must not contain the caller's key. */
    virtual HttpRequest requestToServer(const HttpRequest&, const SendToServer&) const = 0;
    /** Returns the request to pass to another entry instance, which handles it as one that the caller sent there. It
     *  states that it was passed on. */
    virtual HttpRequest requestToInstance(const HttpRequest&, const PassToInstance&) const = 0;
    /** Decides whether a response that another entry instance returned belongs to the request with this id. */
    virtual ResponseVerdict checkFromInstance(const HttpResponse&, const std::string& requestId) const = 0;
    /** Returns Shed if the other instance states that it is unable to serve the request, which has not run. */
    virtual DispatchResult inspectInstanceResponse(const HttpResponse&) const = 0;
    /** Converts the response of another entry instance to the response for the caller. */
    virtual HttpResponse instanceResponseToCaller(HttpResponse) const = 0;
    /** Decides whether a response that was read from the connection belongs to the request with this id. On a reused
     *  connection, a late copy of an earlier response may arrive first. */
    virtual ResponseVerdict check(const HttpResponse&, const std::string& requestId, bool isConnectionReused) const = 0;
    /** Derives the result of a send, and what the server states about itself, from an accepted response. */
    virtual ServerResponseInfo inspectResponse(const HttpResponse&) const = 0;
    /** Converts the server's response to the response for the caller. */
    virtual HttpResponse responseToCaller(HttpResponse) const = 0;
    /** Returns the response for a request that the entry instance rejects itself. */
    virtual HttpResponse rejection(const RejectRequest&) const = 0;
};

}
