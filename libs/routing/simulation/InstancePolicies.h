// The backend pool and the baselines that it is compared with, behind one interface.

#pragma once

#include "ServiceSimulation.h"

namespace peridot {

/** @p hasFreeSlot tells the central queue, which alone knows the true state, whether a server has a free slot. */
std::unique_ptr<InstancePolicy> makePolicy(PolicyKind, const std::vector<InstanceId>& instances, std::size_t self,
    std::mt19937_64& random, std::function<bool(const BackendServerId&)> hasFreeSlot);

}
