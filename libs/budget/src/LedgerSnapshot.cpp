// Text form of a ledger snapshot.

#include "budget/RegionLedger.h"
