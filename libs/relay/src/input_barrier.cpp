#include "input_barrier.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace trefoil {

namespace {

/// Limit on how often the action is postponed, so that it also runs while requests come in without
/// end. A connection reads up to 256 KB per turn.
constexpr unsigned max_turns = 8;

} // namespace

input_barrier::input_barrier(asio::io_context& context, std::function<void()> action)
    : context_(context), action_(std::move(action))
{
}

void input_barrier::request()
{
    ++requests_;
    if (!std::exchange(is_pending_, true)) {
        run_after(requests_, 0);
    }
}

void input_barrier::run_after(std::uint64_t known_requests, unsigned turns)
{
    // The event loop appends this behind the events that are ready, and then looks for new ones.
    asio::post(context_, [this, known_requests, turns] {
        // What follows on a connection that is still being read comes in the next turn.
        const bool is_first = turns == 0;
        if (is_first || (requests_ != known_requests && turns < max_turns)) {
            run_after(requests_, turns + 1);
            return;
        }
        is_pending_ = false;
        action_();
    });
}

} // namespace trefoil
