// What the trial drives as one entry instance: the product's Node or a baseline policy behind the same calls.

#pragma once

#include "peridot/Node.h"

#include <string>

namespace peridot::trial {

class SteeringInstance {
public:
    virtual ~SteeringInstance() = default;

    virtual Actions tick(TimePoint now) = 0;
    virtual Actions receive(const Envelope&, TimePoint now) = 0;
    virtual Actions storeCompleted(std::uint64_t id, const StoreResult&, TimePoint now) = 0;
    virtual Actions probeCompleted(const BackendServerId&, const ProbeResult&, TimePoint now) = 0;
    virtual LookupResult lookup(const LookupQuery&, TimePoint now) = 0;
    virtual Actions begin(const RequestHead&, TimePoint now) = 0;
    virtual Actions finished(const RequestId&, const DispatchOutcome&, TimePoint now) = 0;
    virtual Actions abandoned(const RequestId&, TimePoint now) = 0;
    virtual Actions operate(const OperatorRequest&, TimePoint now) = 0;
    virtual Actions leave(TimePoint now) = 0;
    virtual bool hasDrained(TimePoint now) const = 0;
    virtual InstanceState state() const = 0;
    virtual ConfigurationVersion configurationVersion() const = 0;
    /** What operators see of the instance; empty for baselines. */
    virtual std::string status(TimePoint) const { return {}; }
};

}
