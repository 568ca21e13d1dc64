// Distributes the requests of a route among its services by weight.

#pragma once

#include "steering/RouteTable.h"

#include <map>
#include <string>
#include <vector>

namespace peridot {

/** Uses smooth weighted round robin: after any number of requests, the count of each service differs from its share
 *  by less than one request. Not thread-safe. */
class SplitSelector {
public:
    const ServiceId& select(const Route&);

private:
    struct State {
        std::vector<ServiceShare> shares;
        std::vector<double> credits; // One for each share; the sum is 0.
    };

    std::map<std::string, State> m_states; // By route name.
};

}
