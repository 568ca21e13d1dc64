// Watches what a process holds, and ends it when it exceeds its memory, as the platform does.

#pragma once

#include "ChildProcess.h"

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

namespace peridot {

/** Highest values that were seen. */
struct ProcessPeaks {
    std::uint64_t memory = 0; // Resident bytes, and those received that the process has not read yet.
    std::uint64_t descriptors = 0;
};

/** Samples the process until it is destroyed; no other thread may use the process meanwhile. */
class ProcessWatch {
public:
    /** Unread bytes are those of connections to @p ip, so that the process has to be the only one that is sent much
     *  there. */
    ProcessWatch(soak::ChildProcess&, std::string ip, std::uint64_t memoryLimit);
    ~ProcessWatch();
    ProcessWatch(const ProcessWatch&) = delete;
    ProcessWatch& operator=(const ProcessWatch&) = delete;

    ProcessPeaks peaks() const { return { m_memory, m_descriptors }; }
    bool isRunning() const noexcept { return m_isRunning; }

private:
    void watch();

    soak::ChildProcess& m_process;
    const std::string m_ip;
    const std::uint64_t m_memoryLimit;
    std::atomic<std::uint64_t> m_memory { 0 };
    std::atomic<std::uint64_t> m_descriptors { 0 };
    std::atomic<bool> m_isRunning { true };
    std::atomic<bool> m_isEnding { false };
    std::thread m_thread;
};

}
