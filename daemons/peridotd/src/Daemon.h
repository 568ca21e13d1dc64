// Wires the node to its endpoints, the peers, the store and the backend servers.

#pragma once

#include "Settings.h"

#include "base/Error.h"
#include "base/EventLog.h"

#include <memory>

namespace peridot {

class Daemon {
public:
    Daemon(const DaemonSettings&, EventLog&);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /** Opens the ports. */
    Result<void> open();
    /** Starts the node's decisions. */
    void start();
    void leave();
    bool hasDrained() const;
    std::size_t openRequests() const;
    void close();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
