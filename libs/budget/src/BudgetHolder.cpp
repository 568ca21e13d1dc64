// Spending, demands and grants at one instance.

#include "budget/BudgetHolder.h"
