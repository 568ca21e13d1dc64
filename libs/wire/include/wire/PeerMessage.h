// The union of all messages between instances.

#pragma once

#include "budget/Messages.h"
#include "config/Messages.h"
#include "membership/Messages.h"
#include "store/TableFeed.h"

#include <variant>

namespace peridot {

using PeerMessage = std::variant<Heartbeat, HeartbeatReply, DigestPull, Digest, BudgetDemand, BudgetGrant,
    ConfigurationPull, ConfigurationObject, TablePull, TableChanges, ValuePull, ValuePart>;

/** A message with its origin, as the transport delivers it. */
struct Envelope {
    DeploymentId deployment;
    InstanceId sender;
    std::uint64_t incarnation = 0; // The sender's.
    std::string senderAddress; // host:port on which the sender takes messages.
    PeerMessage message;
};

}
