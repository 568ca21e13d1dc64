// Functions that run a callback once or periodically after a delay.

#pragma once

#include "base/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace peridot {

/** Calls @p callback once after @p delay, on the thread that runs the io_context. The timer cannot be cancelled,
 *  so the callback must check whether the objects that it uses still exist. */
inline void runAfter(boost::asio::io_context& context, Duration delay, std::function<void()> callback)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(context, delay);
    timer->async_wait([timer, callback = std::move(callback)](const boost::system::error_code& ec) {
        if (!ec)
            callback();
    });
}

/** Calls @p callback until it returns false, and waits @p interval before each call, also before the first one. */
inline void runEvery(boost::asio::io_context& context, Duration interval, std::function<bool()> callback)
{
    runAfter(context, interval, [&context, interval, callback = std::move(callback)] {
        if (callback())
            runEvery(context, interval, callback);
    });
}

}
