#include "local_target.h"

#include "http_text.h"
#include "upstream_exchange.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace trefoil {

namespace {

/// Number of concurrent requests assumed until the target's entry is known.
constexpr std::uint32_t initial_slots = 16;

/// Timeout of the status check that asks for the target's id. The target queues the check for a
/// slot like a request.
constexpr std::chrono::milliseconds identity_timeout{500};

/// Smallest change of the admit level that is logged.
constexpr double logged_step = 0.1;

std::uint32_t to_wire_time(std::chrono::duration<double> time)
{
    return static_cast<std::uint32_t>(time / std::chrono::milliseconds(1));
}

} // namespace

local_target::local_target(asio::io_context& context,
                           const std::shared_ptr<connection_resources>& resources,
                           deadline_queue& deadlines, tcp::endpoint upstream,
                           const header_dialect& names, answer_limits limits,
                           const route_levels& levels, decision_log& log, crash_exchange& crashes)
    : deadlines_(deadlines), memory_(resources->memory),
      client_(context, resources, deadlines, upstream, names, limits), log_(log), crashes_(crashes),
      levels_(levels), queue_(initial_slots), slot_limiter_(initial_slots),
      runs_(names.id_separator), names_(names), context_(context), upstream_(upstream),
      max_body_bytes_(limits.max_total_body_bytes),
      crash_watch_(context, deadlines, std::move(upstream), crashes),
      advance_(context, [this] { advance(); })
{
}

void local_target::set_entry(const target_entry& entry)
{
    slot_limiter_.set_slots(std::max(1U, entry.slots));
    crash_watch_.record_present(entry.id, entry.leaving, "published entry shows a restart");
    advance_.request();
}

std::uint64_t local_target::offer(call_message call, const std::string& caller_service,
                                  answer_handler done)
{
    const auto now = boot_clock::now();
    const auto ticket = ++last_ticket_;
    const auto deadline = now + std::chrono::milliseconds(call.time_left_ms);
    const auto request_deadline = deadline + std::chrono::milliseconds(call.request_extra_ms);
    const waiting_call waiting{ticket,      call.route, call.rank,
                               call.nested, deadline,   request_deadline};
    const bool fits = has_room_for(call);
    body_bytes_ += call.body.size();
    const auto content =
        fingerprints_of({call.method, call.host, call.target, call.body.view(), caller_service});
    const auto head_bytes = call.headers.size() + call.target.size();
    calls_.emplace(ticket, running_call{std::move(call), content, caller_service, std::move(done),
                                        nullptr, deadline, request_deadline, now, false,
                                        memory_lease(memory_, sizeof(running_call) + head_bytes)});
    const bool may_be_cut = drain_ && !drain_->can_finish(deadline);
    if (draining_ || may_be_cut || !fits || crashes_.quarantine_left(content)) {
        refuse(ticket);
        return ticket;
    }
    queue_.offer(waiting, now);
    advance_.request();
    return ticket;
}

bool local_target::has_room_for(const call_message& call) const
{
    // One request of any permitted size is accepted beside others with small bodies.
    constexpr std::size_t small_divisor = 8;
    return body_bytes_ <= max_body_bytes_ / small_divisor ||
           body_bytes_ + call.body.size() <= max_body_bytes_;
}

void local_target::advance()
{
    const auto now = boot_clock::now();
    queue_.set_slots(slot_limiter_.limit());
    const auto changes = queue_.advance(now);
    observe(now);
    for (const auto ticket : changes.refused) {
        refuse(ticket);
    }
    auto running = queue_.load().running - static_cast<std::uint32_t>(changes.started.size());
    for (const auto ticket : changes.started) {
        slot_limiter_.record_started(ticket, ++running, now);
        start(ticket);
    }
    arm_wakeup();
}

void local_target::observe(mono_time now)
{
    const auto load = queue_.load();
    level_.observe(load, now);
    if (std::abs(level_.value() - logged_level_) >= logged_step && log_.begin(now)) {
        log_.write(log_event("admit_level")
                       .add("level", level_.value())
                       .add("was", logged_level_)
                       .add("wait_ms", queue_.longest_wait(now) / std::chrono::milliseconds(1))
                       .add("hold_ms", load.hold.count())
                       .add("running", load.running)
                       .add("waiting", load.waiting)
                       .add("slots", load.limit));
        logged_level_ = level_.value();
    }
}

void local_target::arm_wakeup()
{
    const auto next = queue_.next_wakeup();
    if (!next || *next >= armed_for_) {
        return;
    }
    armed_for_ = *next;
    deadlines_.at(*next, [this] {
        armed_for_ = mono_time::max();
        advance_.request();
    });
}

void local_target::start(std::uint64_t ticket)
{
    const auto it = calls_.find(ticket);
    if (it == calls_.end()) {
        return;
    }
    if (identity_client_) {
        // The target would reject the old id; the new one is known within a few milliseconds.
        awaiting_identity_.push_back(ticket);
        return;
    }
    auto& c = it->second;
    if (crashes_.quarantine_left(c.content)) {
        refuse(ticket); // The content was quarantined while the request waited.
        advance_.request();
        return;
    }
    const auto& expected = c.call.service == identity_source_.service.str()
                               ? identity_.expected(c.call.target_id)
                               : c.call.target_id;
    const upstream_request request{c.call.id,   c.call.method,     c.call.target,
                                   c.call.host, c.call.headers,    c.call.body,
                                   expected,    c.caller_service,  c.call.idempotent,
                                   c.deadline,  c.was_misdirected, c.call.answer_limit};
    runs_.start(c.call.id, {c.call.route, c.call.rank, c.request_deadline, c.call.repeated,
                            from_wire_level(c.call.chance)});
    crash_watch_.detector().record_started(ticket, c.content, boot_clock::now());
    c.exchange = client_.start(
        request, [this, ticket](upstream_result result) { on_result(ticket, std::move(result)); });
}

void local_target::refuse(std::uint64_t ticket)
{
    const auto it = calls_.find(ticket);
    if (it == calls_.end()) {
        return;
    }
    const auto now = boot_clock::now();
    if (log_.begin(now)) {
        const auto load = queue_.load();
        log_.write(log_event("call_turned_away")
                       .add("id", it->second.call.id)
                       .add("content", it->second.content.request.to_string())
                       .add("held_back", crashes_.quarantine_left(it->second.content).has_value())
                       .add("draining", drain_.has_value())
                       .add("body_bytes", body_bytes_)
                       .add("waited_ms", (now - it->second.offered) / std::chrono::milliseconds(1))
                       .add("left_ms", (it->second.deadline - now) / std::chrono::milliseconds(1))
                       .add("running", load.running)
                       .add("waiting", load.waiting)
                       .add("slots", load.limit));
    }
    answer_message answer;
    answer.outcome = static_cast<std::uint8_t>(call_outcome::rejected);
    finish(ticket, false, std::move(answer));
}

bool local_target::requeue_for_identity(std::uint64_t ticket)
{
    const auto it = calls_.find(ticket);
    if (it == calls_.end()) {
        return false;
    }
    auto& c = it->second;
    identity_.record_rejected(identity_.expected(c.call.target_id));
    const bool can_help = !c.was_misdirected && !identity_source_.status_path.empty() &&
                          c.call.service == identity_source_.service.str() && c.done &&
                          boot_clock::now() < c.deadline;
    if (!can_help) {
        return false;
    }
    c.was_misdirected = true;
    c.exchange = nullptr;
    runs_.end(c.call.id, false);
    awaiting_identity_.push_back(ticket);
    request_identity();
    return true;
}

void local_target::request_identity()
{
    if (identity_client_) {
        return;
    }
    identity_client_ = std::make_shared<http_get_client>(context_, upstream_);
    identity_client_->get(identity_source_.status_path, identity_timeout,
                          [this](const http_get_result& status) { on_identity(status); });
}

void local_target::on_identity(const http_get_result& status)
{
    // This handler runs inside the client, so the client must outlive the call.
    const auto client = std::exchange(identity_client_, nullptr);
    const auto id = find_header(status.headers, names_.target_id);
    const bool is_known =
        status.status == 200 && id && identity_source_.may_be_of_service(std::string(*id));
    log_event("target_identity")
        .add("status", status.status)
        .add("target", std::string(id.value_or("")))
        .add("used", is_known)
        .add("waiting", awaiting_identity_.size())
        .info();
    if (is_known) {
        identity_.record_id(std::string(*id));
        crash_watch_.record_present({std::string(*id), 0}, false, "status check returned a new id");
    }
    for (const auto ticket : std::exchange(awaiting_identity_, {})) {
        const auto it = calls_.find(ticket);
        if (it == calls_.end()) {
            continue;
        }
        if (is_known || !it->second.was_misdirected) {
            start(ticket);
            continue;
        }
        upstream_result not_run;
        not_run.outcome = call_outcome::not_run;
        on_result(ticket, std::move(not_run));
    }
}

void local_target::on_result(std::uint64_t ticket, upstream_result result)
{
    if (result.is_misdirected) {
        crash_watch_.detector().record_not_run(
            ticket); // It did not run, and is sent again with the current id.
        if (requeue_for_identity(ticket)) {
            return;
        }
    }
    if (const auto it = calls_.find(ticket); it != calls_.end()) {
        record_result(ticket, it->second, result);
    }
    answer_message answer;
    answer.outcome = static_cast<std::uint8_t>(result.outcome);
    answer.status = result.answer.status;
    answer.headers = std::move(result.answer.headers);
    answer.body = std::move(result.answer.body);
    answer.omitted_length = std::move(result.answer.omitted_length);
    finish(ticket, result.outcome == call_outcome::answered, std::move(answer));
    advance_.request();
}

void local_target::record_result(std::uint64_t ticket, const running_call& call,
                                 const upstream_result& result)
{
    const auto now = boot_clock::now();
    if (result.outcome == call_outcome::answered) {
        crashes_.answered(call.content, result.answer.status);
    }
    if (result.is_closed_early || result.is_timed_out) {
        crash_watch_.detector().record_unanswered(ticket, now);
    }
    else if (result.outcome == call_outcome::unreachable) {
        crash_watch_.detector().record_not_run(ticket);
    }
    else {
        crash_watch_.detector().record_answered(ticket, now);
    }
    if (result.is_closed_early) {
        on_closed_early(call);
    }
}

void local_target::on_closed_early(const running_call& call)
{
    const auto now = boot_clock::now();
    if (log_.begin(now)) {
        log_.write(log_event("call_broken_off")
                       .add("id", call.call.id)
                       .add("content", call.content.request.to_string())
                       .add("running", load().running));
    }
    crash_watch_.probe_after_close();
}

void local_target::finish(std::uint64_t ticket, bool completed, answer_message answer)
{
    const auto it = calls_.find(ticket);
    if (it == calls_.end()) {
        return;
    }
    const auto c = std::move(it->second);
    calls_.erase(it);
    body_bytes_ -= c.call.body.size();
    if (c.exchange) {
        runs_.end(c.call.id, completed && answer.status < first_failure_status);
    }
    const auto now = boot_clock::now();
    queue_.finish(ticket, completed, now);
    record_run(ticket, c.call.route, completed && answer.status < first_failure_status);
    const auto load = queue_.load();
    answer.stream = c.call.stream;
    answer.running = load.running;
    answer.waiting = load.waiting;
    answer.limit = load.limit;
    answer.hold_ms = static_cast<std::uint32_t>(load.hold.count());
    answer.level = to_wire_level(level_of(c.call.route, now));
    const auto time = queue_.time_of(c.call.route);
    answer.route_time_ms = to_wire_time(time.mean);
    answer.route_deviation_ms = to_wire_time(time.deviation);
    answer.makes_calls = levels_.makes_calls(c.call.route, now);
    if (c.done) {
        c.done(std::move(answer));
    }
}

void local_target::record_run(std::uint64_t ticket, std::uint32_t route, bool succeeded)
{
    const auto now = boot_clock::now();
    if (!succeeded || levels_.makes_calls(route, now)) {
        // The time depends on other services, or the target did not do all of the work.
        slot_limiter_.record_ended(ticket);
        return;
    }
    const auto before = slot_limiter_.best_limit();
    slot_limiter_.record_answered(ticket, route, now);
    if (slot_limiter_.best_limit() != before && log_.begin(now)) {
        log_.write(log_event("slot_limit")
                       .add("limit", slot_limiter_.best_limit())
                       .add("was", before)
                       .add("gain", slot_limiter_.last_gain()));
    }
}

double local_target::level_of(std::uint32_t route, mono_time now) const
{
    return std::min(level_.value(), levels_.min_child_level(route, now));
}

request_stage local_target::cancel(std::uint64_t ticket)
{
    const auto it = calls_.find(ticket);
    if (it == calls_.end()) {
        return request_stage::unsent;
    }
    auto& c = it->second;
    if (queue_.remove_waiting(ticket)) {
        log_cancelled(c, request_stage::queued, true);
        body_bytes_ -= c.call.body.size();
        calls_.erase(it);
        return request_stage::queued;
    }
    c.done = nullptr;
    const auto stage = c.exchange ? c.exchange->stage() : request_stage::awaiting_identity;
    const bool stopped = stage != request_stage::running || c.call.idempotent;
    log_cancelled(c, stage, stopped);
    if (!stopped) {
        return stage; // Interrupting it would lose work that must not be repeated.
    }
    if (c.exchange) {
        upstream_client::cancel(c.exchange);
        if (stage == request_stage::running) {
            crash_watch_.detector().record_unanswered(ticket, boot_clock::now());
        }
        else {
            crash_watch_.detector().record_not_run(ticket);
        }
    }
    finish(ticket, false, {});
    advance_.request();
    return stage;
}

void local_target::log_cancelled(const running_call& call, request_stage stage, bool stopped)
{
    const auto now = boot_clock::now();
    if (!log_.begin(now)) {
        return;
    }
    log_.write(log_event("call_cancelled")
                   .add("id", call.call.id)
                   .add("stage", to_string(stage))
                   .add("stopped", stopped)
                   .add("idempotent", call.call.idempotent)
                   .add("after_ms", (now - call.offered) / std::chrono::milliseconds(1)));
}

} // namespace trefoil
