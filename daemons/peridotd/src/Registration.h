// The instance's dealings with the platform outside of the node's decisions: the deployment it belongs to and its entry
// in the platform's list.

#pragma once

#include "Settings.h"

#include "base/Error.h"

namespace peridot {

/** Blocks; not for the threads of cpprestsdk. */
class Registration {
public:
    explicit Registration(const DaemonSettings&);

    /**
     * Compares the deployment with the one in the platform's table, which the first instance writes there. Fails with
     * InvalidSettings if they differ, and with another code if the platform does not answer.
     */
    Result<void> checkDeployment() const;
    /** Puts the instance into the platform's list. */
    Result<void> announce(PlatformInstanceState) const;

private:
    StoreResult call(const StoreRequest&) const;

    const std::string m_platformAddress;
    const NodeSettings m_node;
};

}
