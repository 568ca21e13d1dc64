// The changes that lead from one configuration document to another, for `apply` and `diff`.

#pragma once

#include "base/Error.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace peridot {

/**
 * Returns the changes, in the JSON form of POST /changes, that make @p current equal to @p wanted. Sections that
 * @p wanted does not have stay as they are. Workspaces and classes are never removed; a key is withdrawn only if it is
 * listed under `withdrawn_keys`. Fails with InvalidArgument if no change leads there.
 */
Result<std::vector<nlohmann::json>> changesBetween(const nlohmann::json& current, const nlohmann::json& wanted);

/** One line for people, such as "set_target class=table-booking target_latency_ms=500". */
std::string describeChange(const nlohmann::json& change);

}
