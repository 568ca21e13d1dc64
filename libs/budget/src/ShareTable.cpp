// Steps of the share rows of all workspaces.

#include "budget/ShareTable.h"
