// A caller's request between its arrival and its response, as the node driver sees it.

#pragma once

#include "peridot/Actions.h"

namespace peridot {

/** Each call may come from any thread and returns without waiting. */
class ActiveRequest {
public:
    virtual ~ActiveRequest() = default;
    /** Sends the request to a backend server; the outcome is reported to the node driver. */
    virtual void dispatch(const DispatchRequest&) = 0;
    virtual void refuse(const Refusal&) = 0;
    virtual void replay(const RecordedResponse&) = 0;
    /**
     * The deadline has passed: ends the exchange with a backend server. A request that waits for a decision of the node
     * is refused only if @p isLast. Returns false if it still waits.
     */
    virtual bool expire(bool isLast) = 0;
};

}
