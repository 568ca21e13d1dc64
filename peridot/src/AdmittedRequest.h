// A request past key, class and budget checks, and how it ended.

#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "config/Configuration.h"
#include "peridot/Actions.h"
#include "peridot/Node.h"

#include <variant>
#include <vector>

namespace peridot {

struct AdmittedRequest {
    RequestHead head;
    ServiceId service;
    TrafficClass trafficClass;
    WorkspaceId workspace; // Empty on open routes.
    KeyId key; // Empty on open routes.
    TimePoint arrived;
    TimePoint deadline; // The caller's.
    bool hasClaim = false; // An idempotency claim was granted.
};

struct CompletedRequest {
    Duration latency { 0 }; // Since the request arrived.
    RecordedResponse response;
};

/** The request has not run and will not run. */
struct NotRunRequest { };

/** The request may have run; no whole response arrived. */
struct UnknownRequest { };

struct EndedRequest {
    AdmittedRequest request;
    std::variant<CompletedRequest, NotRunRequest, UnknownRequest> ending;
};

/** What a step on requests asks for, and the requests that it ended. */
struct RequestOutput {
    Actions actions;
    std::vector<EndedRequest> ended;

    void append(RequestOutput other)
    {
        std::move(other.actions.begin(), other.actions.end(), std::back_inserter(actions));
        std::move(other.ended.begin(), other.ended.end(), std::back_inserter(ended));
    }
};

}
