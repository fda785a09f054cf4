#include "forwarder.h"

#include "answers.h"

#include "once/owner_of.h"
#include "wire/call_headers.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <gsl/util>

#include <algorithm>
#include <charconv>

namespace trefoil {

namespace http = boost::beast::http;

namespace {

/// Time by which each hop shortens the deadline, so that a target's answer at its deadline arrives
/// before the sender's deadline.
constexpr std::chrono::milliseconds hop_margin{5};
constexpr std::chrono::milliseconds no_target_retry_after{500};

std::uint64_t parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

call_evidence evidence_of(const call& c, const exchange_result& result)
{
    if (c.cancel->cancelled()) {
        return call_evidence::none;
    }
    if (result.status != exchange_status::answered) {
        return call_evidence::failed;
    }
    if (outcome_of(result.response) == outcome::complete) {
        return call_evidence::answered;
    }
    const auto reason = reason_of(result.response);
    const bool broken =
        reason == refusal_reason::upstream_down || reason == refusal_reason::upstream_crashed;
    return broken ? call_evidence::failed : call_evidence::refused;
}

} // namespace

forwarder::forwarder(const settings& s, const std::vector<asio::io_context*>& contexts,
                     node_views& views, membership_monitor& members, inbound_server& inbound,
                     flow_fractions& fractions)
    : settings_(s), views_(views), members_(members), inbound_(inbound), fractions_(fractions)
{
    std::random_device seed;
    for (auto* context : contexts) {
        shards_.push_back(
            {std::make_unique<connection_pool>(*context, pool_options{}), std::mt19937_64(seed())});
    }
}

asio::awaitable<call_response> forwarder::run(call& c, call_allowance& allowance)
{
    std::vector<vm_name> tried;
    {
        const std::lock_guard lock(budget_mutex_);
        budget_.first_attempt();
    }
    for (std::uint32_t retries = 0;; ++retries) {
        auto a = co_await try_once(c, allowance, tried);
        if (a.result.result == outcome::complete || c.cancel->cancelled()) {
            co_return std::move(a.response);
        }
        const auto plan = plan_retry(c, a.result, retries, allowance);
        if (!plan) {
            co_return std::move(a.response);
        }
        const bool in_time = co_await wait(c, plan->delay);
        if (!in_time) {
            co_return std::move(a.response);
        }
    }
}

std::optional<retry_plan> forwarder::plan_retry(const call& c, const attempt_result& result,
                                                std::uint32_t retries_made,
                                                call_allowance& allowance)
{
    if (!settings_.control) {
        const bool left = retries_made < c.kind->definition.retries;
        return left ? std::optional(
                          retry_plan{std::chrono::milliseconds(5), retry_target::other_target})
                    : std::nullopt;
    }
    auto plan = policy_.plan(c.kind->definition, result, retries_made, c.time_left(),
                             shards_[c.shard].random());
    if (!plan || allowance.left() == 0) {
        return std::nullopt;
    }
    {
        const std::lock_guard lock(budget_mutex_);
        if (!budget_.consume_retry()) {
            return std::nullopt;
        }
    }
    return allowance.consume_retry() ? plan : std::nullopt;
}

asio::awaitable<bool> forwarder::wait(call& c, std::chrono::nanoseconds delay)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, delay);
    c.cancel->on_cancel([&timer] { timer.cancel(); });
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    c.cancel->on_cancel(nullptr);
    co_return !c.cancel->cancelled() && c.time_left() > hop_margin;
}

std::optional<vm_name> forwarder::choose(const call& c, const std::vector<vm_name>& tried)
{
    if (c.kind->definition.once_only && settings_.control) {
        const auto list = views_.list.get();
        const auto* owner = list ? owner_of(c.id, list->members_of(c.context.service)) : nullptr;
        return owner != nullptr ? std::optional(*owner) : std::nullopt;
    }
    const auto trials =
        c.kind->definition.repeatable ? trial_policy::allowed : trial_policy::forbidden;
    auto& random = shards_[c.shard].random;
    auto target = members_.pick(c.context.service, tried, random(), trials);
    if (!target && !tried.empty()) {
        // All targets were tried; the least loaded one may have recovered.
        target = members_.pick(c.context.service, {}, random(), trials);
    }
    return target;
}

asio::awaitable<forwarder::attempt> forwarder::try_once(call& c, call_allowance& allowance,
                                                        std::vector<vm_name>& tried)
{
    const auto target = choose(c, tried);
    const auto list = views_.list.get();
    const auto* entry = target && list ? list->find(*target) : nullptr;
    if (entry == nullptr) {
        const auto reported =
            c.kind->definition.once_only ? outcome_without_ownership(c.attempt) : outcome::not_run;
        co_return failed_attempt(c, reported, refusal_reason::no_target);
    }
    tried.push_back(*target);
    if (*target != settings_.vm) {
        co_return co_await try_remote(c, allowance, *entry);
    }
    attempt a;
    a.response = co_await inbound_.serve(c, allowance.record_send());
    allowance.record_response(static_cast<std::uint32_t>(
        number_header(a.response, call_headers::retries_left).value_or(0)));
    a.result.result = outcome_of(a.response);
    a.result.reason = reason_of(a.response);
    a.result.retry_after = std::chrono::milliseconds(
        number_header(a.response, call_headers::retry_after_ms).value_or(0));
    co_return a;
}

forwarder::attempt forwarder::failed_attempt(const call& c, outcome reported, refusal_reason reason)
{
    return {refusal_answer(c.id, reported, reason, no_target_retry_after),
            {reported, reason, no_target_retry_after}};
}

call_request forwarder::forwarded_request(const call& c, const vm_entry& target,
                                          std::uint32_t allowance)
{
    call_request request(http::verb::post, "/call/" + c.context.service.str() + c.context.path, 11);
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(c.time_left());
    set_header(request, call_headers::request_id, c.id.to_string());
    set_header(request, call_headers::group, c.context.group.str());
    set_header(request, call_headers::kind, c.context.kind.str());
    set_header(request, call_headers::target, target.name.str());
    set_header(request, call_headers::depth, std::to_string(c.context.depth));
    set_header(request, call_headers::deadline_ms,
               std::to_string(std::max<std::int64_t>(1, (left - hop_margin).count())));
    set_header(request, call_headers::retries_left, std::to_string(allowance));
    if (c.attempt) {
        set_header(request, call_headers::attempt, std::to_string(*c.attempt));
    }
    set_header(request, call_headers::config_version,
               std::to_string(c.config->source().version.value));
    if (const auto list = views_.list.get()) {
        set_header(request, call_headers::list_revision, std::to_string(list->list.revision.value));
    }
    request.body() = c.body;
    request.prepare_payload();
    return request;
}

asio::awaitable<forwarder::attempt> forwarder::try_remote(call& c, call_allowance& allowance,
                                                          const vm_entry& target)
{
    const auto peer = tcp::endpoint(asio::ip::make_address(target.address), target.call_port);
    auto request = forwarded_request(c, target, allowance.record_send());
    const auto started = boot_clock::now();
    members_.call_started(target.name, started);
    ++in_flight_;
    const auto end = gsl::finally([this] { --in_flight_; });
    const exchange_options options{.deadline = std::chrono::steady_clock::now() + c.time_left()};
    auto result = co_await shards_[c.shard].pool->exchange(peer, request, options, *c.cancel);
    co_return interpret(c, target, std::move(result), allowance, started);
}

forwarder::attempt forwarder::interpret(const call& c, const vm_entry& target,
                                        exchange_result result, call_allowance& allowance,
                                        mono_time started)
{
    members_.call_finished(target.name, started, evidence_of(c, result));
    if (result.status == exchange_status::refused || result.status == exchange_status::not_sent) {
        allowance.record_not_sent();
        const auto reported =
            c.kind->definition.once_only ? outcome_without_ownership(c.attempt) : outcome::not_run;
        return failed_attempt(c, reported, refusal_reason::no_target);
    }
    if (result.status == exchange_status::lost) {
        allowance.record_no_response();
        return failed_attempt(c, outcome::unknown,
                              result.timed_out ? refusal_reason::deadline_passed
                                               : refusal_reason::connection_lost);
    }
    allowance.record_response(static_cast<std::uint32_t>(
        number_header(result.response, call_headers::retries_left).value_or(0)));
    record_headers(c, target, result.response);
    attempt a{std::move(result.response), {}};
    a.result.result = outcome_of(a.response);
    a.result.reason = reason_of(a.response);
    a.result.retry_after = std::chrono::milliseconds(
        number_header(a.response, call_headers::retry_after_ms).value_or(0));
    return a;
}

void forwarder::record_headers(const call& c, const vm_entry& target, const call_response& response)
{
    if (const auto draining = header(response, call_headers::draining)) {
        members_.drain_announced(target.name, {parse_number(*draining)});
    }
    if (const auto admit = header(response, call_headers::admit)) {
        fractions_.record(c, target.service, *admit);
    }
    views_.record_versions({number_header(response, call_headers::config_version).value_or(0)},
                           {number_header(response, call_headers::list_revision).value_or(0)});
}

} // namespace trefoil
