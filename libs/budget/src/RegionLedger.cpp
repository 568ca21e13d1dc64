// Answers to demands and balances of the buckets of one region.

#include "budget/RegionLedger.h"
