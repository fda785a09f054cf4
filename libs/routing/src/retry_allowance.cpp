#include "routing/retry_allowance.h"

#include <algorithm>
#include <utility>

namespace trefoil {

call_allowance::call_allowance(std::shared_ptr<retry_allowance> inbound) noexcept
    : inbound_(std::move(inbound)), left_(inbound_ ? inbound_->take_all() : 0)
{
}

call_allowance::~call_allowance()
{
    release();
}

call_allowance::call_allowance(call_allowance&& other) noexcept
    : inbound_(std::move(other.inbound_)), left_(std::exchange(other.left_, 0)),
      awaiting_answer_(std::exchange(other.awaiting_answer_, false))
{
}

call_allowance& call_allowance::operator=(call_allowance&& other) noexcept
{
    if (this != &other) {
        release();
        inbound_ = std::move(other.inbound_);
        left_ = std::exchange(other.left_, 0);
        awaiting_answer_ = std::exchange(other.awaiting_answer_, false);
    }
    return *this;
}

std::uint32_t call_allowance::record_send() noexcept
{
    awaiting_answer_ = true;
    return left_;
}

void call_allowance::record_not_sent() noexcept
{
    awaiting_answer_ = false;
}

void call_allowance::record_response(std::uint32_t returned) noexcept
{
    left_ = std::min(left_, returned);
    awaiting_answer_ = false;
}

void call_allowance::record_no_response() noexcept
{
    left_ = 0;
    awaiting_answer_ = false;
}

bool call_allowance::consume_retry() noexcept
{
    if (left_ == 0) {
        return false;
    }
    --left_;
    return true;
}

void call_allowance::release() noexcept
{
    if (inbound_ && !awaiting_answer_ && left_ > 0) {
        inbound_->return_unused(left_);
    }
    inbound_.reset();
    left_ = 0;
    awaiting_answer_ = false;
}

} // namespace trefoil
