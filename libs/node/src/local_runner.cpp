#include "local_runner.h"

#include "answers.h"

#include "wire/call_headers.h"

#include <algorithm>
#include <utility>

namespace trefoil {

namespace http = boost::beast::http;

namespace {

constexpr std::chrono::milliseconds short_retry_after{50};
constexpr std::chrono::milliseconds upstream_down_retry_after{500};

/// Connections to the upstream are local to the VM and cheap, so the rate limit is high.
constexpr pool_options upstream_pool{.max_idle = 512,
                                     .connect_timeout = std::chrono::milliseconds(1000),
                                     .connect_rate = 1000.0,
                                     .connect_burst = 1000.0};

std::chrono::milliseconds to_millis(std::chrono::nanoseconds d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d);
}

call_request upstream_request(const call& c, wall_time expires_at)
{
    call_request request(http::verb::post, c.context.path, 11);
    set_header(request, call_headers::request_id, c.id.to_string());
    set_header(request, call_headers::group, c.context.group.str());
    set_header(request, call_headers::kind, c.context.kind.str());
    set_header(request, call_headers::depth, std::to_string(c.context.depth));
    set_header(request, call_headers::deadline_ms,
               std::to_string(std::max<std::int64_t>(1, to_millis(c.time_left()).count())));
    set_header(request, call_headers::expires_at,
               std::to_string(expires_at.time_since_epoch().count()));
    request.body() = c.body;
    request.prepare_payload();
    return request;
}

} // namespace

local_runner::local_runner(const settings& s, const std::vector<asio::io_context*>& contexts,
                           admission_gate& gate, once_guard& once, crash_suspects& suspects,
                           change_log& log)
    : settings_(s), upstream_(asio::ip::make_address(s.upstream_address), s.upstream_port),
      gate_(gate), once_(once), suspects_(suspects), log_(log)
{
    for (auto* context : contexts) {
        pools_.push_back(std::make_unique<connection_pool>(*context, upstream_pool));
    }
}

content_fingerprint local_runner::fingerprint(const call& c) const
{
    return fingerprint_of(c.context.service, c.context.path, c.body);
}

asio::awaitable<call_response> local_runner::run(call& c)
{
    if (draining_) {
        co_return refuse(c, refusal_reason::draining, short_retry_after);
    }
    if (!settings_.control) {
        co_return co_await pass_through(c);
    }
    if (c.kind->definition.once_only) {
        const auto wall = wall_now();
        const auto decision = once_.admit(c.id, c.attempt, boot_clock::now(), wall);
        if (const auto* stored = std::get_if<replay>(&decision)) {
            co_return restore_answer(c.id, *stored->answer);
        }
        if (const auto* refused = std::get_if<refusal>(&decision)) {
            co_return refusal_answer(c.id, refused->reported, refused->reason, short_retry_after);
        }
    }
    const auto result = suspects_.decide(c.id, fingerprint(c), boot_clock::now());
    if (result.decision == crash_decision::refuse) {
        co_return refuse(c, result.reason, to_millis(result.retry_after));
    }
    work_item item;
    item.id = c.id;
    item.depth = c.context.depth;
    item.admit_point = c.admit_point;
    item.deadline = c.deadline;
    const auto admitted =
        co_await gate_.enter(item, c.context.kind, c.context.group, c.shard, c.cancel);
    if (!admitted.admitted) {
        co_return refuse(c, admitted.reason, admitted.retry_after);
    }
    co_return co_await run_admitted(c, admitted.ticket);
}

asio::awaitable<call_response> local_runner::run_admitted(call& c, admission_ticket ticket)
{
    if (c.cancel->cancelled()) {
        gate_.abandon(ticket);
        co_return refuse(c, refusal_reason::cancelled, {});
    }
    const auto result = suspects_.started(c.id, fingerprint(c), boot_clock::now());
    if (result.decision == crash_decision::refuse) {
        gate_.abandon(ticket);
        co_return refuse(c, result.reason, to_millis(result.retry_after));
    }
    const auto wall = wall_now();
    const auto now = boot_clock::now();
    auto expires_at = wall + to_millis(c.deadline - now);
    if (c.kind->definition.once_only) {
        const auto decision = once_.begin_hand_off(c.id, c.attempt, now, wall);
        if (const auto* permitted = std::get_if<trefoil::hand_off>(&decision)) {
            expires_at = std::min(expires_at, permitted->expires_at);
        }
        else {
            gate_.abandon(ticket);
            suspects_.abandoned(c.id, fingerprint(c));
            if (const auto* stored = std::get_if<replay>(&decision)) {
                co_return restore_answer(c.id, *stored->answer);
            }
            const auto& refused = std::get<refusal>(decision);
            co_return refusal_answer(c.id, refused.reported, refused.reason, short_retry_after);
        }
    }
    co_return co_await hand_off(c, ticket, expires_at);
}

asio::awaitable<call_response> local_runner::hand_off(call& c, admission_ticket ticket,
                                                      wall_time expires_at)
{
    const auto started = boot_clock::now();
    auto result = co_await exchange(c, expires_at);
    const bool answered = result.status == exchange_status::answered;
    const auto reported = answered ? outcome_of(result.response) : outcome::unknown;
    completion done{boot_clock::now() - started, completion_result::failed};
    if (answered) {
        done.result =
            reported == outcome::not_run ? completion_result::shed : completion_result::ok;
    }
    gate_.leave(ticket, done);
    const bool crash =
        result.status == exchange_status::lost && result.peer_closed && !c.cancel->cancelled();
    if (crash) {
        const auto changes = suspects_.crashed(boot_clock::now());
        log_.record(changes);
        record_upstream_state(false);
        if (!changes.empty() && notify_crash_) {
            notify_crash_();
        }
    }
    else if (answered && reported == outcome::complete) {
        log_.record(suspects_.answered(c.id, fingerprint(c), result.response.result_int(),
                                       boot_clock::now()));
    }
    else {
        suspects_.abandoned(c.id, fingerprint(c));
    }
    co_return answer_result(c, std::move(result));
}

asio::awaitable<exchange_result> local_runner::exchange(call& c, wall_time expires_at)
{
    auto request = upstream_request(c, expires_at);
    const exchange_options options{.deadline = std::chrono::steady_clock::now() + c.time_left()};
    auto result = co_await pools_[c.shard]->exchange(upstream_, request, options, *c.cancel);
    if (result.status == exchange_status::refused) {
        record_upstream_state(false);
    }
    else if (result.status == exchange_status::answered) {
        record_upstream_state(true);
    }
    co_return result;
}

asio::awaitable<call_response> local_runner::pass_through(call& c)
{
    auto result = co_await exchange(c, wall_now() + to_millis(c.time_left()));
    if (result.status == exchange_status::answered) {
        if (outcome_of(result.response) == outcome::complete) {
            co_return complete_answer(c.id, std::move(result.response));
        }
        co_return refusal_answer(c.id, outcome_of(result.response), reason_of(result.response), {});
    }
    const bool lost = result.status == exchange_status::lost;
    co_return refusal_answer(c.id, lost ? outcome::unknown : outcome::not_run,
                             lost ? refusal_reason::connection_lost : refusal_reason::upstream_down,
                             {});
}

call_response local_runner::answer_result(call& c, exchange_result result)
{
    switch (result.status) {
    case exchange_status::answered:
        break;
    case exchange_status::refused:
    case exchange_status::not_sent:
        return answer_not_started(c, refusal_reason::upstream_down, upstream_down_retry_after);
    case exchange_status::lost:
        if (c.cancel->cancelled()) {
            return answer_unknown(c, refusal_reason::cancelled);
        }
        if (result.timed_out) {
            return answer_unknown(c, refusal_reason::deadline_passed);
        }
        return answer_unknown(c, result.peer_closed ? refusal_reason::upstream_crashed
                                                    : refusal_reason::connection_lost);
    }
    const auto reported = outcome_of(result.response);
    if (reported == outcome::complete) {
        return answer_complete(c, std::move(result.response));
    }
    const auto stated = reason_of(result.response);
    if (reported == outcome::not_run) {
        const auto retry_after = number_header(result.response, call_headers::retry_after_ms);
        const auto reason = stated == refusal_reason::none ? refusal_reason::upstream_shed : stated;
        return answer_not_started(c, reason, std::chrono::milliseconds(retry_after.value_or(100)));
    }
    return answer_unknown(c, stated == refusal_reason::none ? refusal_reason::connection_lost
                                                            : stated);
}

call_response local_runner::refuse(const call& c, refusal_reason reason,
                                   std::chrono::milliseconds retry_after)
{
    auto reported = outcome::not_run;
    if (c.kind->definition.once_only && settings_.control) {
        const auto wall = wall_now();
        reported = once_.refuse(c.id, c.attempt, reason, boot_clock::now(), wall).reported;
    }
    return refusal_answer(c.id, reported, reason, retry_after);
}

call_response local_runner::answer_not_started(call& c, refusal_reason reason,
                                               std::chrono::milliseconds retry_after)
{
    auto reported = outcome::not_run;
    if (c.kind->definition.once_only) {
        reported = once_.record_not_started(c.id, c.attempt, reason).reported;
    }
    return refusal_answer(c.id, reported, reason, retry_after);
}

call_response local_runner::answer_unknown(call& c, refusal_reason reason)
{
    auto reported = outcome::unknown;
    if (c.kind->definition.once_only) {
        reported = once_.record_unknown_outcome(c.id, reason).reported;
    }
    return refusal_answer(c.id, reported, reason, {});
}

call_response local_runner::answer_complete(call& c, call_response response)
{
    if (c.kind->definition.once_only) {
        once_.finish(c.id, store_answer(response));
    }
    return complete_answer(c.id, std::move(response));
}

void local_runner::record_upstream_state(bool up)
{
    if (upstream_up_.exchange(up) == up) {
        return;
    }
    log_.record(up ? "upstream_up" : "upstream_down", settings_.vm.str(), up ? "down" : "up",
                up ? "up" : "down", "own calls");
    if (up) {
        gate_.set_cold();
    }
}

} // namespace trefoil
