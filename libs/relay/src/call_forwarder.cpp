#include "call_forwarder.h"

#include "http_text.h"

#include <algorithm>
#include <utility>

namespace trefoil {

namespace {

/// Extra wait after the deadline for the answer of the target's node, since only that node knows
/// whether the request ran.
constexpr std::chrono::milliseconds deadline_slack{40};

/// Retry-After of answers while no routes or targets are known. The store is read again well
/// within this time.
constexpr std::chrono::milliseconds not_ready_retry_after{500};

/// Requests with larger bodies, in bytes, share a limit of their own, so that they leave room for
/// others.
constexpr std::size_t small_body = std::size_t{64} << 10U;

/// Divisor of the memory for what requests with small bodies may hold beyond the limit.
constexpr std::size_t small_reserve_divisor = 16;

refusal_reason reason_of(call_outcome o)
{
    switch (o) {
    case call_outcome::rejected:
        return refusal_reason::queue_full;
    case call_outcome::not_run:
        return refusal_reason::upstream_shed;
    case call_outcome::unreachable:
        return refusal_reason::no_target;
    case call_outcome::no_response:
        return refusal_reason::connection_lost;
    case call_outcome::answered:
        break;
    }
    return refusal_reason::none;
}

bool is_failure(const answer_message& answer, call_outcome outcome)
{
    return outcome == call_outcome::no_response || outcome == call_outcome::not_run ||
           (outcome == call_outcome::answered && answer.status >= 500 && answer.status != 504);
}

} // namespace

call_forwarder::call_forwarder(asio::io_context& context,
                               const std::shared_ptr<connection_resources>& resources,
                               deadline_queue& deadlines, const relay_settings& s,
                               target_directory& targets, local_target& local, route_levels& levels,
                               const crash_exchange& crashes, decision_log& log, metrics& counters,
                               peer_link::handlers link_handlers)
    : deadlines_(deadlines), settings_(s), memory_(resources->memory),
      accepted_(std::make_shared<memory_account>(s.memory_bytes)), targets_(targets), local_(local),
      report_(log, counters), crashes_(crashes), limits_(answer_limits::for_memory(s.memory_bytes)),
      links_(context, resources, deadlines, s, targets, limits_.max_total_answer_bytes,
             std::move(link_handlers)),
      placement_({s.zone, s.inbound.address().to_string()}), levels_(levels),
      random_(std::random_device{}())
{
}

void call_forwarder::set_routes(std::shared_ptr<const route_table> routes)
{
    routes_ = std::move(routes);
    rotation_.clear();
}

retry_limiter& call_forwarder::limiter_of(const service_name& service)
{
    const retry_limiter_options options{.ratio = settings_.retry_ratio,
                                        .window = settings_.retry_window};
    return retry_limiters_.try_emplace(service, options).first->second;
}

double call_forwarder::level_of(const pending_call& call) const
{
    if (call.matched_route == nullptr) {
        return 1.0;
    }
    return levels_.level_of({route_key(call.matched_route->name), call.service}, boot_clock::now());
}

void call_forwarder::handle(const std::shared_ptr<caller_session>& caller, relay_request request)
{
    auto call = std::make_shared<pending_call>();
    call->request = std::move(request);
    call->caller = caller;
    call->routes = routes_;
    calls_[caller.get()] = call;
    call->held = memory_lease(memory_, sizeof(pending_call) + call->request.headers.size() +
                                           call->request.target.size());
    if (!has_room_for(call->request)) {
        refuse(call, refusal_reason::queue_full, memory_retry_delay);
        return;
    }
    call->accepted = memory_lease(accepted_, call->request.body.size());
    if (!routes_) {
        refuse(call, refusal_reason::no_configuration, not_ready_retry_after);
        return;
    }
    call->matched_route = routes_->find(call->request.host, call->request.target);
    if (call->matched_route == nullptr) {
        fail(call, 404, refusal_reason::unknown_object);
        return;
    }
    if (call->request.id.empty()) {
        fail(call, 400, refusal_reason::malformed);
        return;
    }
    if (const auto left = quarantine_left(*call)) {
        refuse(call, refusal_reason::quarantined, *left);
        return;
    }
    call->deadline = deadline_of(call->request, *call->matched_route);
    call->service = rotation_.next(*call->matched_route);
    record_parent(*call);
    if (!admit(call)) {
        return;
    }
    auto& limiter = limiter_of(call->service);
    if (call->is_part_of_retry) {
        limiter.record_retry(call->request.arrived);
    }
    else {
        limiter.record_request(call->request.arrived);
    }
    call->expiry =
        deadlines_.at(call->deadline + deadline_slack, [this, weak = std::weak_ptr(call)] {
            const auto pending = weak.lock();
            if (pending && !pending->finished) {
                on_deadline(pending);
            }
        });
    send(call);
}

bool call_forwarder::has_room_for(const relay_request& request) const
{
    if (request.body.size() > small_body) {
        return accepted_->has_room_for(request.body.size());
    }
    return memory_->total() <= memory_->limit() + settings_.memory_bytes / small_reserve_divisor;
}

mono_time call_forwarder::deadline_of(const relay_request& request, const route& matched)
{
    auto timeout = matched.timeout;
    if (request.caller_timeout.count() > 0) {
        timeout = std::min(timeout, request.caller_timeout);
    }
    return request.arrived + timeout;
}

mono_time call_forwarder::deadline_of(const relay_request& request) const
{
    const auto* const matched = routes_ ? routes_->find(request.host, request.target) : nullptr;
    return matched == nullptr ? request.arrived : deadline_of(request, *matched);
}

content_fingerprints call_forwarder::content_of(const relay_request& request) const
{
    return fingerprints_of({request.method, request.host, request.target, request.body.view(),
                            settings_.service.str()});
}

std::optional<std::chrono::milliseconds> call_forwarder::quarantine_left(pending_call& call) const
{
    if (!crashes_.has_suspects()) {
        return std::nullopt; // Avoids comparing large bodies.
    }
    const auto content = content_of(call.request);
    const auto left = crashes_.quarantine_left(content);
    if (left) {
        call.content = content.request;
    }
    return left;
}

bool call_forwarder::may_retry(pending_call& call, call_outcome ended)
{
    if (boot_clock::now() + deadline_slack >= call.deadline) {
        return false;
    }
    if (ended == call_outcome::no_response) {
        const auto content = content_of(call.request);
        if (crashes_.is_suspect(content)) {
            // The content may have crashed this target, so it is not sent to another one. The
            // caller decides whether to retry.
            call.content = content.request;
            return false;
        }
    }
    return trefoil::may_retry(*call.matched_route, ended, call.history, limiter_of(call.service),
                              reserved_share(call.chance), boot_clock::now());
}

void call_forwarder::record_parent(pending_call& call)
{
    call.rank = call.matched_route->rank;
    call.request_deadline = call.deadline;
    if (const auto parent = local_.runs().record_call(call.request.id)) {
        call.nested = true;
        call.rank = parent->rank;
        call.is_part_of_retry = parent->repeated;
        const auto call_share = call_shares_.succeeding(route_key(call.matched_route->name));
        call.chance =
            chance_after_call(parent->chance, call_share, local_.runs().other_calls(*parent));
        call.request_deadline = std::max(call.deadline, parent->request_deadline);
        levels_.record_call(parent->route, {route_key(call.matched_route->name), call.service},
                            call.request.arrived);
    }
}

bool call_forwarder::admit(const call_ptr& call)
{
    if (call->nested) {
        return true; // Rejecting it would waste the work done for its parent request.
    }
    const auto decision =
        entry_admission_.decide(entering_request_of(*call), level_of(*call), random_());
    if (!decision.admitted) {
        refuse(call, refusal_reason::admit_fraction, decision.retry_after);
    }
    return decision.admitted;
}

void call_forwarder::send(const call_ptr& call)
{
    const auto caller = call->caller.lock();
    if (caller && caller->has_left()) {
        caller->end_departed(); // Calls caller_disconnected.
        return;
    }
    const auto now = boot_clock::now();
    const auto target =
        placement_.choose(targets_.targets(call->service), call->tried, random_(), now,
                          {route_key(call->matched_route->name), objective_left(*call, now)});
    if (!target) {
        finish_unanswered(call, call_outcome::unreachable);
        return;
    }
    send_to(call, target);
}

void call_forwarder::send_to(const call_ptr& call, const std::shared_ptr<target_state>& target)
{
    call->target = target;
    call->tried.push_back(target->entry.id.id);
    placement_.record_sent(*target);
    auto message = call_message_of(*call, *target, limits_.max_answer_bytes);
    auto done = [this, call](answer_message answer) { on_answer(call, std::move(answer)); };
    if (target->entry.address == settings_.inbound.address().to_string()) {
        const auto ticket =
            local_.offer(std::move(message), settings_.service.str(), std::move(done));
        if (call->target == target) {
            call->local_ticket = ticket; // `done` has not run inside `offer`.
        }
        return;
    }
    const auto link = links_.link_to(target->entry.address);
    call->link = link;
    call->stream = link->send(std::move(message), std::move(done));
}

void call_forwarder::record_answer(pending_call& call, const answer_message& answer,
                                   call_outcome outcome)
{
    const auto now = boot_clock::now();
    const auto target = std::exchange(call.target, nullptr);
    call.link = nullptr;
    call.stream = 0;
    call.local_ticket = 0;
    placement_.record_ended(*target, is_failure(answer, outcome), now);
    if (answer.limit > 0) {
        const target_load load{answer.running, answer.waiting, answer.limit,
                               std::chrono::milliseconds(answer.hold_ms)};
        placement_.record_load(*target, load, now);
        levels_.record({route_key(call.matched_route->name), call.service},
                       from_wire_level(answer.level), now);
        limiter_of(call.service).record_caller(answer.makes_calls);
        if (answer.route_time_ms > 0) {
            const run_time time{std::chrono::milliseconds(answer.route_time_ms),
                                std::chrono::milliseconds(answer.route_deviation_ms)};
            placement_.record_run_time(*target, route_key(call.matched_route->name), time, now);
        }
    }
    if (outcome == call_outcome::unreachable) {
        placement_.record_unreachable(*target, now);
    }
    else if (outcome == call_outcome::answered) {
        placement_.record_reached(*target);
    }
}

void call_forwarder::on_answer(const call_ptr& call, answer_message answer)
{
    const auto ended = static_cast<call_outcome>(answer.outcome);
    record_answer(*call, answer, ended);
    if (call->finished) {
        return;
    }
    if (ended == call_outcome::answered) {
        report_.count(*call, outcome::complete, refusal_reason::none);
        finish(call, {answer.status, std::move(answer.headers), std::move(answer.body),
                      std::move(answer.omitted_length)});
        return;
    }
    const bool received = ended == call_outcome::no_response || ended == call_outcome::not_run;
    ++(received ? call->history.received_attempts : call->history.unexecuted_attempts);
    if (may_retry(*call, ended)) {
        report_.log_decision(*call, "call_sent_again", reason_of(ended), level_of(*call));
        send(call);
        return;
    }
    finish_unanswered(call, ended);
}

void call_forwarder::finish_unanswered(const call_ptr& call, call_outcome last)
{
    const bool may_have_run = last == call_outcome::no_response;
    if (may_have_run) {
        fail(call, boot_clock::now() < call->deadline ? 502 : 504, refusal_reason::connection_lost);
        return;
    }
    refuse(call, refusal_reason::no_target,
           entry_admission_.retry_after(entering_request_of(*call), level_of(*call), random_()));
}

request_stage call_forwarder::cancel_attempt(pending_call& call)
{
    if (!call.target) {
        return request_stage::unsent;
    }
    const auto target = std::exchange(call.target, nullptr);
    placement_.record_ended(*target, false, boot_clock::now());
    if (call.link) {
        return std::exchange(call.link, nullptr)->cancel(call.stream);
    }
    return local_.cancel(call.local_ticket);
}

void call_forwarder::on_deadline(const call_ptr& call)
{
    cancel_attempt(*call);
    fail(call, 504, refusal_reason::deadline_passed);
}

void call_forwarder::caller_disconnected(const std::shared_ptr<caller_session>& caller)
{
    const auto it = calls_.find(caller.get());
    if (it == calls_.end()) {
        return;
    }
    const auto call = it->second;
    calls_.erase(it);
    call->finished = true;
    deadlines_.cancel(call->expiry);
    report_.record_departure(*call, cancel_attempt(*call), level_of(*call));
}

void call_forwarder::refuse(const call_ptr& call, refusal_reason reason,
                            std::chrono::milliseconds retry_after)
{
    report_.log_decision(*call, "call_refused", reason, level_of(*call));
    report_.count(*call, outcome::not_run, reason);
    finish(call, not_run_answer(retry_after));
}

void call_forwarder::fail(const call_ptr& call, unsigned status, refusal_reason reason)
{
    report_.log_decision(*call, "call_failed", reason, level_of(*call));
    report_.count(*call, outcome::unknown, reason);
    finish(call, {status, {}, {}, {}});
}

void call_forwarder::record_call_result(const pending_call& call, bool succeeded)
{
    call_shares_.record(route_key(call.matched_route->name), succeeded);
    if (succeeded) {
        local_.runs().record_call_succeeded(call.request.id);
    }
}

void call_forwarder::finish(const call_ptr& call, relay_answer answer)
{
    call->finished = true;
    deadlines_.cancel(call->expiry);
    const auto caller = call->caller.lock();
    if (!caller) {
        return;
    }
    const bool succeeded = answer.status < first_failure_status;
    if (call->nested) {
        record_call_result(*call, succeeded);
    }
    else if (succeeded) {
        entry_admission_.record_answered(route_key(call->matched_route->name),
                                         boot_clock::now() - call->request.arrived);
    }
    calls_.erase(caller.get());
    answer.headers += header_line(settings_.headers.request_id, call->request.id);
    caller->answer(answer, !draining_);
}

} // namespace trefoil
