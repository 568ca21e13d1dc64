// All backend servers of one process, their threads and the control endpoint.

#pragma once

#include "BackendSettings.h"
#include "ServedServer.h"
#include "program/HttpEndpoint.h"

#include <boost/asio/executor_work_guard.hpp>

#include <thread>

namespace peridot {

class BackendProcess {
public:
    /** @p keySeen runs when a request carries a caller's key; the program ends itself there. */
    BackendProcess(const BackendSettings&, EventLog&, std::function<void()> keySeen);
    ~BackendProcess();
    BackendProcess(const BackendProcess&) = delete;
    BackendProcess& operator=(const BackendProcess&) = delete;

    Result<void> open();
    void close();

private:
    using WorkGuard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

    /** An event loop with one thread. Each server belongs to one loop and needs no locks. */
    struct Loop {
        boost::asio::io_context io { 1 };
        WorkGuard work { io.get_executor() };
        std::thread thread;
    };

    HttpReply handle(const HttpRequest&);
    HttpReply describe();
    HttpReply setControl(const std::string& body);
    HttpReply handleRuns(const HttpRequest&);
    Loop& loopOf(std::size_t server) { return *m_loops[server % m_loops.size()]; }
    /** Runs @p action on the server's own thread and waits for it. */
    void runOn(std::size_t server, const std::function<void(ServedServer&)>& action);

    EventLog& m_log;
    RunRegistry m_runs;
    const KeyDetector m_keys;
    std::vector<std::unique_ptr<ServedServer>> m_servers; // Outlive the loops, whose handlers refer to them.
    std::vector<std::unique_ptr<Loop>> m_loops;
    bool m_isOpen = false;
    HttpEndpoint m_control;
};

}
