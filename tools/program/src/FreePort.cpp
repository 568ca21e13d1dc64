// The kernel picks the port; cpprestsdk's listener can't report the port that it was given for port 0.

#include "program/FreePort.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace peridot {

std::string freeLoopbackAddress()
{
    namespace asio = boost::asio;
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

}
