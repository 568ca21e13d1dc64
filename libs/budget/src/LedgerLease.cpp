// Steps of the lease on the row `ledger/<region>`.

#include "budget/LedgerLease.h"
