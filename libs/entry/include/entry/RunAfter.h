// Timers that call a callback.

#pragma once

#include "base/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace peridot {

/** Calls @p callback once, on the thread of the io_context. The callback has to know whether what it uses still exists.
 */
inline void runAfter(boost::asio::io_context& context, Duration delay, std::function<void()> callback)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(context, delay);
    timer->async_wait([timer, callback = std::move(callback)](const boost::system::error_code& ec) {
        if (!ec)
            callback();
    });
}

/** Calls @p callback again and again, the first time after @p interval, until it returns false. */
inline void runEvery(boost::asio::io_context& context, Duration interval, std::function<bool()> callback)
{
    runAfter(context, interval, [&context, interval, callback = std::move(callback)] {
        if (callback())
            runEvery(context, interval, callback);
    });
}

}
