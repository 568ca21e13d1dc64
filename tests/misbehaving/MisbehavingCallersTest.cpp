#include "MisbehavingCallersTest.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <stdexcept>
#include <thread>

namespace peridot {

namespace {

    constexpr int ordinaryAttempts = 5;
    constexpr std::chrono::seconds answerLimit { 10 }; // Ends a wait in vain.
    constexpr std::chrono::milliseconds retryPause { 200 };
    constexpr double longestRetryAfter = 3; // Seconds.

    /** The answer to one attempt, as far as it came. */
    std::string exchange(const std::string& address, const std::string& request)
    {
        const auto colon = address.find(':');
        sockaddr_in target {};
        target.sin_family = AF_INET;
        target.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
        ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const timeval limit { answerLimit.count(), 0 };
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
        std::string received;
        if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0) {
            std::size_t sent = 0;
            while (sent < request.size()) {
                const auto count = ::send(descriptor, request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
                if (count <= 0)
                    break;
                sent += static_cast<std::size_t>(count);
            }
            char buf[65536];
            for (auto count = ::recv(descriptor, buf, sizeof buf, 0); count > 0;
                 count = ::recv(descriptor, buf, sizeof buf, 0))
                received.append(buf, static_cast<std::size_t>(count));
        }
        ::close(descriptor);
        return received;
    }

    int statusOf(const std::string& answer)
    {
        constexpr std::string_view start = "HTTP/1.1 ";
        return answer.starts_with(start) ? std::atoi(answer.c_str() + start.size()) : 0;
    }

    std::chrono::milliseconds pauseBefore(const std::string& answer)
    {
        constexpr std::string_view name = "\r\nRetry-After: ";
        const auto position = answer.find(name);
        if (position == std::string::npos)
            return retryPause;
        const auto seconds = std::min(std::atof(answer.c_str() + position + name.size()), longestRetryAfter);
        return std::chrono::milliseconds { static_cast<std::int64_t>(seconds * 1e3) };
    }

}

int ordinaryStatus(const std::string& address, const std::string& request)
{
    int status = 0;
    for (int attempt = 1; attempt <= ordinaryAttempts; ++attempt) {
        const auto answer = exchange(address, request);
        status = statusOf(answer);
        if (status != 0 && status != 429 && status != 503)
            return status;
        std::this_thread::sleep_for(pauseBefore(answer));
    }
    return status;
}

TemporaryDirectory::TemporaryDirectory()
{
    auto pattern = (std::filesystem::temp_directory_path() / "misbehaving-XXXXXX").string();
    if (!::mkdtemp(pattern.data()))
        throw std::runtime_error("cannot create a temporary directory");
    m_path = pattern;
}

TemporaryDirectory::~TemporaryDirectory()
{
    std::error_code ec;
    std::filesystem::remove_all(m_path, ec); // What is left of it does no harm.
}

std::filesystem::path programDirectory() { return std::filesystem::read_symlink("/proc/self/exe").parent_path(); }

void playCrowd(DeploymentUnderTest& deployment, const std::string& listener, soak::Misbehavior misbehavior)
{
    const auto target = deployment.listener(listener);
    const auto callers = deployment.listener("caller");
    ProcessWatch watch(deployment.process(), deployment.ip(), LoweredLimits::memory);
    soak::CallerCrowd crowd({ target.address, target.crowdHead, misbehavior, crowdCallers, LoweredLimits::body });
    crowd.send();
    const auto found = [&] {
        return "memory " + std::to_string(watch.peaks().memory) + ", descriptors "
            + std::to_string(watch.peaks().descriptors) + ", sent " + std::to_string(crowd.sentBytes());
    };
    const auto checkProcess = [&] {
        CPPUNIT_ASSERT_MESSAGE("the process exceeded its memory or ended: " + found(), watch.isRunning());
        CPPUNIT_ASSERT_MESSAGE(found(), watch.peaks().memory <= LoweredLimits::memory);
        CPPUNIT_ASSERT_MESSAGE(found(), watch.peaks().descriptors <= LoweredLimits::descriptors);
    };
    checkProcess();
    const auto status = target.ordinaryRequest.empty() ? 200 : ordinaryStatus(target.address, target.ordinaryRequest);
    const auto callerStatus = ordinaryStatus(callers.address, callers.ordinaryRequest);
    checkProcess();
    std::cout << listener << ", " << enumName(misbehavior) << ": " << found() << '\n';
    CPPUNIT_ASSERT_EQUAL_MESSAGE("at the same listener; " + found(), 200, status);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("at the listener for callers; " + found(), 200, callerStatus);
}

void playLargestRequest(DeploymentUnderTest& deployment)
{
    ProcessWatch watch(deployment.process(), deployment.ip(), LoweredLimits::memory);
    CPPUNIT_ASSERT_EQUAL(200, ordinaryStatus(deployment.listener("caller").address, deployment.largestRequest()));
    CPPUNIT_ASSERT(watch.isRunning());
}

}
