// Chooses the relays and readers of a failure domain by rendezvous hashing over the live view. Instances with the same
// view choose the same ones; a change of one member moves no other member's rank.

#pragma once

#include "membership/LiveView.h"

#include <map>
#include <vector>

namespace peridot {

/** Relays, and readers of the configuration, per failure domain. */
inline constexpr std::size_t relaysPerDomain = 2;

/** Relays that do not answer, with the time of their last answer. */
using SilentRelays = std::map<InstanceId, TimePoint>;

/** Members of a domain by rank, best first. Leaving members come last, so that a role moves before its holder stops. */
std::vector<InstanceId> rankMembers(const LiveView&, const FailureDomainId&);

/**
 * The relays of a domain: the best ranked members that are not in @p silent. They are the readers as well: evidence
 * then arises where it is handed out, which saves one heartbeat interval of age.
 */
std::vector<InstanceId> relaysOf(const LiveView&, const FailureDomainId&, const SilentRelays& silent = {});

}
