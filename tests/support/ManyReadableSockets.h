// More sockets with input than an io_context takes from one wait for events.

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/connect_pair.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <thread>
#include <vector>

namespace peridot {

/** Unread bytes in 400 sockets, each with a handler that waits for them, behind a timer that is due. If the context is
 * not run for a while, all timers that are due then run before what happens later at other descriptors. */
class ManyReadableSockets {
public:
    explicit ManyReadableSockets(boost::asio::io_context& context)
        : m_timer(context, std::chrono::milliseconds { 1 })
    {
        m_timer.async_wait([](const boost::system::error_code&) {});
        std::this_thread::sleep_for(std::chrono::milliseconds { 10 });
        for (int i = 0; i < 400; ++i) {
            auto& socket = m_sockets.emplace_back(context);
            auto& peer = m_peers.emplace_back(context);
            boost::asio::local::connect_pair(socket, peer);
            socket.async_wait(boost::asio::socket_base::wait_read, [](const boost::system::error_code&) {});
            boost::asio::write(peer, boost::asio::buffer("-", 1));
        }
    }

private:
    boost::asio::steady_timer m_timer;
    std::vector<boost::asio::local::stream_protocol::socket> m_sockets;
    std::vector<boost::asio::local::stream_protocol::socket> m_peers;
};

}
