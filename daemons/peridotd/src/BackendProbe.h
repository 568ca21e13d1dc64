// Asks backend servers for their health and load.

#pragma once

#include "BackendClients.h"
#include "NodeDriver.h"

namespace peridot {

class BackendProbe {
public:
    BackendProbe(NodeDriver& driver, BackendClients& clients)
        : m_driver(driver)
        , m_clients(clients)
    {
    }

    /** Reports the answer, or its absence after one second, to the driver. */
    void probe(const ProbeBackendServer&);

private:
    NodeDriver& m_driver;
    BackendClients& m_clients;
};

}
