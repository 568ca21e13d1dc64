// Asks backend servers for their health and load.

#pragma once

#include "BackendClients.h"
#include "NodeDriver.h"

#include <atomic>
#include <cstdint>

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
    std::atomic<std::uint64_t> m_probes { 0 };
};

}
