// A loopback address of this process.

#pragma once

#include <boost/asio/ip/address_v4.hpp>

#include <unistd.h>

#include <cstdint>
#include <string>

namespace peridot {

/** Tests send requests to ports that were closed, and another test process may listen there by then. On an address of
 *  their own they don't disturb each other. */
inline boost::asio::ip::address_v4 processLoopback()
{
    // 127.64.0.0/10 has room for the largest process id.
    return boost::asio::ip::address_v4(0x7f40'0000U + static_cast<std::uint32_t>(::getpid()));
}

/** The address with this port, or with any port. */
inline std::string onProcessLoopback(std::uint16_t port = 0)
{
    return processLoopback().to_string() + ':' + std::to_string(port);
}

}
