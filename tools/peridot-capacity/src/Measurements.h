// The slopes that docs/CAPACITY.md is worked out from: the real libraries and codecs at several sizes.

#pragma once

#include "Fit.h"

#include <string>
#include <vector>

namespace peridot::capacity {

struct Series {
    std::string name;
    std::string xName;
    std::string yName;
    double targetX = 0; // Size at which the page needs the value.
    std::vector<Point> points;
};

/** Processor time of Node::lookup against the number of client blocks. */
Series measureLookup();
/** Processor time of a lookup plan against the number of live instances. */
Series measurePlan();
/** Processor time of answering one demand against the number of holders of a region. */
Series measureLedger();
/** Encoded bytes of a demand and its grant against the number of budgets in use. */
Series measureDemandBytes();
/** Bytes of a configuration version as a peer sends it, against the number of workspaces. */
Series measureConfigurationBytes();
/** Processor time of reading a configuration version against the number of workspaces. */
Series measureConfigurationParse();
/** Bytes of the platform's list against the number of backend servers. */
Series measureInstanceListBytes();
/** Processor time of one idle tick of a Node against the number of live instances. */
Series measureIdleTick();

std::vector<Series> measureAll();

}
