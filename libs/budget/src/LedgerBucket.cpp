// Token bucket of one budget.

#include "budget/RegionLedger.h"
