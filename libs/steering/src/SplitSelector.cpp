#include "steering/SplitSelector.h"

#include <algorithm>

namespace peridot {

const ServiceId& SplitSelector::select(const Route& route)
{
    if (route.services.size() == 1)
        return route.services.front().service;
    auto& state = m_states[route.name];
    const bool hasSameShares = state.shares.size() == route.services.size()
        && std::equal(state.shares.begin(), state.shares.end(), route.services.begin(),
            [](const auto& a, const auto& b) { return a.service == b.service && a.weight == b.weight; });
    if (!hasSameShares) {
        state.shares = route.services;
        state.credits.assign(route.services.size(), 0);
    }
    double total = 0;
    for (const auto& share : route.services)
        total += share.weight;
    std::size_t best = 0;
    for (std::size_t i = 0; i < state.credits.size(); ++i) {
        state.credits[i] += route.services[i].weight;
        if (state.credits[i] > state.credits[best])
            best = i;
    }
    state.credits[best] -= total;
    return route.services[best].service;
}

}
