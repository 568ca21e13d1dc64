// Estimated size of membership messages on the wire: fields as protobuf encodes them (varints, length-prefixed strings,
// default values left out), plus envelope and transport.

#pragma once

#include "membership/Membership.h"

#include <cstddef>

namespace peridot::testing {

/** Encoded body and envelope (deployment, sender, incarnation, sender address). */
std::size_t encodedBytes(const MembershipMessage&, const MemberInfo& sender);

/**
 * Per message: TCP/IP header with timestamps (52), the peer's acknowledgement (52, not always sent for its own), ZMTP
 * frame headers (4).
 */
inline constexpr std::size_t transportBytes = 108;

}
