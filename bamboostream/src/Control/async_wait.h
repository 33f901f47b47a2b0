#pragma once

#include "bamboostream/src/Core/clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bamboostream {

/// Suspends the calling coroutine for `time` without blocking its executor.
inline boost::asio::awaitable<void> pause_for(duration time) {
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    timer.expires_after(time);
    boost::system::error_code ec;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
}

/// Waits until `until` or until `timer` is cancelled, whichever comes first.
inline boost::asio::awaitable<void> wait_on(boost::asio::steady_timer& timer, time_point until) {
    timer.expires_at(until);
    boost::system::error_code ec;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
}

} // namespace bamboostream
