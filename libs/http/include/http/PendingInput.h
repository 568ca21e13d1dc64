// Looks at what a socket has received and the program has not read yet.

#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <poll.h>
#include <sys/socket.h>

namespace peridot {

enum class PendingInput {
    None,
    Bytes,
    End, // The peer has closed its side, and all before was read.
};

/** Doesn't block and reads nothing. A broken connection counts as ended; the next read no longer reports its error. */
inline PendingInput pendingInput(boost::asio::ip::tcp::socket& socket)
{
    char byte = 0;
    const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (received > 0)
        return PendingInput::Bytes;
    if (received == 0)
        return PendingInput::End;
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR ? PendingInput::None : PendingInput::End;
}

/** Whether a read would return at once, with bytes, the end or an error. Unlike pendingInput(), it leaves an error to
 * the next read. */
inline bool isReadable(boost::asio::ip::tcp::socket& socket)
{
    pollfd descriptor { socket.native_handle(), POLLIN, 0 };
    return ::poll(&descriptor, 1, 0) > 0;
}

/** Whether an attempt to connect has ended, successfully or not. */
inline bool isWritable(boost::asio::ip::tcp::socket& socket)
{
    pollfd descriptor { socket.native_handle(), POLLOUT, 0 };
    return ::poll(&descriptor, 1, 0) > 0;
}

}
