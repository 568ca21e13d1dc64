// Many runs side by side: comparison of the policies and soak of fresh seeds.

#pragma once

#include "Trial.h"

#include <functional>
#include <string>
#include <vector>

namespace peridot::trial {

/** Runs all of them on @p jobs threads; the results are in the order of @p runs. */
std::vector<TrialResult> runAll(const std::vector<TrialOptions>& runs, unsigned jobs);

/** Parses and runs `compare --seeds A..B [--jobs J] [--minutes M] [--deployment D] [--set KEY=VALUE]`. */
int compare(const std::vector<std::string>& arguments);

/** Parses and runs `soak --hours H [--jobs J] [--first-seed S] [--minutes M] [--policy P]`. */
int soak(const std::vector<std::string>& arguments);

}
