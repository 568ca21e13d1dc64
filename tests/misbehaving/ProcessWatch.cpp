#include "ProcessWatch.h"

#include <arpa/inet.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>

namespace peridot {

namespace {

    constexpr std::chrono::milliseconds sampleInterval { 5 };

    std::uint64_t countDescriptors(const std::string& directory)
    {
        std::error_code ec;
        std::uint64_t count = 0;
        for (std::filesystem::directory_iterator it(directory + "/fd", ec), end; !ec && it != end; it.increment(ec))
            ++count;
        return count;
    }

    /** Bytes in the receive queues of connections to the address. */
    std::uint64_t unreadBytes(const std::string& ip)
    {
        in_addr address {};
        ::inet_pton(AF_INET, ip.c_str(), &address);
        std::ostringstream wanted;
        wanted << std::uppercase << std::hex;
        wanted.width(8);
        wanted.fill('0');
        wanted << address.s_addr;
        const auto local = wanted.str() + ":";
        const std::string listening = "0A";
        std::ifstream file("/proc/net/tcp");
        std::uint64_t total = 0;
        std::string line;
        std::getline(file, line);
        while (std::getline(file, line)) {
            std::istringstream fields(line);
            std::string slot;
            std::string localAddress;
            std::string remoteAddress;
            std::string state;
            std::string queues;
            fields >> slot >> localAddress >> remoteAddress >> state >> queues;
            // A listener's queue counts connections.
            if (localAddress.starts_with(local) && state != listening && queues.find(':') != std::string::npos)
                total += std::stoull(queues.substr(queues.find(':') + 1), nullptr, 16);
        }
        return total;
    }

    void raise(std::atomic<std::uint64_t>& highest, std::uint64_t value)
    {
        if (value > highest)
            highest = value;
    }

}

ProcessWatch::ProcessWatch(soak::ChildProcess& process, std::string ip, std::uint64_t memoryLimit)
    : m_process(process)
    , m_ip(std::move(ip))
    , m_memoryLimit(memoryLimit)
    , m_thread([this] { watch(); })
{
}

ProcessWatch::~ProcessWatch()
{
    m_isEnding = true;
    m_thread.join();
}

void ProcessWatch::watch()
{
    while (!m_isEnding && m_process.isRunning()) {
        const auto directory = "/proc/" + std::to_string(m_process.id());
        raise(m_memory, m_process.residentBytes() + unreadBytes(m_ip));
        raise(m_memory, m_process.mostResidentBytes());
        raise(m_descriptors, countDescriptors(directory));
        if (m_memory > m_memoryLimit)
            m_process.signal(SIGKILL);
        std::this_thread::sleep_for(sampleInterval);
    }
    m_isRunning = m_process.isRunning();
}

}
