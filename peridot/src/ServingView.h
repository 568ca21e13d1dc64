// What the request path reads: one immutable value that the control plane replaces.

#pragma once

#include "AdmittedRequest.h"
#include "base/Time.h"
#include "config/Configuration.h"
#include "peridot/Node.h"
#include "routing/LookupPlanner.h"

#include <map>
#include <memory>
#include <optional>

namespace peridot {

class ServiceRouter;

struct ServingView {
    std::shared_ptr<const Configuration> configuration; // Null until the first version is in force.
    std::shared_ptr<const LookupPlan> plan; // Null until the first plan is built.
    std::optional<TimePoint> evidenceTime; // Of the newest statement that covers the version in force.
    InstanceState state = InstanceState::Starting;
    std::map<ServiceId, std::shared_ptr<ServiceRouter>> routers;

    /** Whether a key withdrawn more than the limit ago would be known. Checked with the time of each request. */
    bool isEvidenceFresh(TimePoint now) const noexcept;
    /**
     * Whether a request that was admitted earlier may still be dispatched: its key may have been withdrawn while it
     * waited, or this instance may have lost contact. Empty if it may.
     */
    std::optional<Refusal> recheck(const AdmittedRequest&, TimePoint now) const;
};

}
