#include "call_router.h"

#include "answers.h"

#include "admission/admit_fractions.h"
#include "base/hash.h"
#include "base/log_event.h"
#include "wire/call_headers.h"
#include "wire/parse_call.h"

#include <algorithm>
#include <random>

namespace trefoil {

namespace {

constexpr std::chrono::milliseconds no_config_retry_after{1000};
constexpr std::chrono::milliseconds short_retry_after{50};
/// Mean retry-after at the entry node for a flow that is almost fully admitted. It grows as the
/// admit fraction falls.
constexpr std::chrono::milliseconds min_retry_after{100};
constexpr std::chrono::milliseconds max_retry_after{2000};

request_id generate_id()
{
    thread_local std::mt19937_64 random(std::random_device{}());
    return request_id::mint(wall_now(), random);
}

/// Admit point of one send. A repeated send gets a different one, so that it is not refused for the
/// same value.
double admit_point_of(const request_id& id, std::uint32_t attempt)
{
    if (attempt == 0) {
        return id.admit_point();
    }
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>(mix64(id.hash() + attempt) >> 11U) * scale;
}

call_response malformed_answer(const std::optional<request_id>& id, refusal_reason reason,
                               std::string_view detail)
{
    auto response = refusal_answer(id.value_or(request_id{}), outcome::not_run, reason, {});
    response.body() = std::string(detail) + "\n";
    response.prepare_payload();
    return response;
}

} // namespace

call_router::call_router(const settings& s, node_views& views, inbound_server& inbound,
                         forwarder& forward, flow_fractions& fractions, metrics& counters,
                         local_runner& runner)
    : settings_(s), views_(views), inbound_(inbound), forward_(forward), fractions_(fractions),
      metrics_(counters), runner_(runner)
{
}

asio::awaitable<call_response> call_router::handle(call_request request, std::size_t shard,
                                                   std::shared_ptr<cancel_token> cancel)
{
    call c;
    c.arrived = boot_clock::now();
    c.shard = shard;
    c.cancel = std::move(cancel);
    auto refused = resolve(request, c);
    if (refused) {
        metrics_.add("trefoil_calls_malformed_total");
        co_return std::move(*refused);
    }
    c.body = std::move(request.body());
    call_response response;
    try {
        response = co_await dispatch(c);
    }
    catch (const std::exception& e) {
        // The work may have run, since the failed step is not known here.
        log_event("call_failed").add("id", c.id).add("detail", e.what()).error();
        response = refusal_answer(c.id, outcome::unknown, refusal_reason::none, {});
    }
    add_versions(response);
    count(c, response);
    co_return response;
}

std::optional<call_response> call_router::resolve(call_request& request, call& c)
{
    std::optional<request_id> stated_id;
    try {
        const std::string_view target(request.target().data(), request.target().size());
        if (request.method() != boost::beast::http::verb::post) {
            throw malformed_call("method", "only POST is served");
        }
        c.context = parse_call(target, [&](std::string_view name) {
            if (request.count({name.data(), name.size()}) > 1) {
                throw malformed_call(name, "stated more than once");
            }
            return header(request, name);
        });
        stated_id = c.context.id;
        return resolve_objects(c);
    }
    catch (const malformed_call& e) {
        return malformed_answer(stated_id, refusal_reason::malformed, e.what());
    }
}

std::optional<call_response> call_router::resolve_objects(call& c)
{
    const auto& ctx = c.context;
    views_.record_versions(ctx.sender_config, ctx.sender_list);
    c.id = ctx.id ? *ctx.id : generate_id();
    c.attempt = ctx.id ? ctx.attempt : std::optional<std::uint32_t>(0);
    c.config = views_.config.get();
    if (!c.config) {
        return refusal_answer(c.id, outcome_without_ownership(c.attempt),
                              refusal_reason::no_configuration, no_config_retry_after);
    }
    c.kind = c.config->find(ctx.kind);
    const bool group_known = c.config->policy().find(ctx.group).has_value();
    if (c.kind == nullptr || !group_known || !c.config->has_service(ctx.service)) {
        return malformed_answer(c.id, refusal_reason::unknown_object,
                                "the group, kind or service is not configured");
    }
    c.admit_point = admit_point_of(c.id, c.attempt.value_or(0));
    const auto max_deadline = c.kind->definition.deadline;
    c.deadline = c.arrived + std::min(ctx.time_left.value_or(max_deadline), max_deadline);
    return std::nullopt;
}

asio::awaitable<call_response> call_router::dispatch(call& c)
{
    if (c.context.target) {
        co_return co_await serve_forwarded(c);
    }
    if (c.context.parent) {
        co_return co_await serve_onward(c);
    }
    co_return co_await serve_entry(c);
}

asio::awaitable<call_response> call_router::serve_forwarded(call& c)
{
    if (*c.context.target != settings_.vm || c.context.service != settings_.service) {
        // The address of the intended VM may have been reassigned to this one.
        co_return refusal_answer(c.id, outcome_without_ownership(c.attempt),
                                 refusal_reason::not_owner, short_retry_after);
    }
    const auto max_retries = c.kind->definition.retries;
    const auto allowance = std::min(c.context.retries_left.value_or(0), max_retries);
    co_return co_await inbound_.serve(c, allowance);
}

asio::awaitable<call_response> call_router::serve_onward(call& c)
{
    const auto parent = inbound_.active().find(*c.context.parent);
    if (!parent) {
        // The inbound call has ended, so no caller waits for this work.
        co_return refuse_at_entry(c, refusal_reason::cancelled, {});
    }
    c.context.depth = parent->depth + 1;
    c.deadline = std::min(c.deadline, parent->deadline);
    call_allowance allowance(inbound_.allowances().find(*c.context.parent));
    co_return co_await forward_.run(c, allowance);
}

asio::awaitable<call_response> call_router::serve_entry(call& c)
{
    if (runner_.draining()) {
        co_return refuse_at_entry(c, refusal_reason::draining, short_retry_after);
    }
    c.context.depth = 0;
    if (settings_.control) {
        const auto fraction = fractions_.min_on_path(c);
        if (!entry_admits(c.admit_point, fraction)) {
            co_return refuse_at_entry(c, refusal_reason::admit_fraction,
                                      entry_retry_after(c, fraction));
        }
    }
    const auto granted = entry_allowances_.begin(
        {c.id, c.attempt.value_or(0), c.context.retries_left, c.kind->definition.retries},
        wall_now());
    const auto inbound = std::make_shared<retry_allowance>(granted);
    call_response response;
    {
        call_allowance allowance(inbound);
        response = co_await forward_.run(c, allowance);
    }
    entry_allowances_.finish(c.id, inbound->left());
    co_return response;
}

call_response call_router::refuse_at_entry(const call& c, refusal_reason reason,
                                           std::chrono::milliseconds retry_after) const
{
    const auto reported =
        c.kind->definition.once_only ? outcome_without_ownership(c.attempt) : outcome::not_run;
    return refusal_answer(c.id, reported, reason, retry_after);
}

std::chrono::milliseconds call_router::entry_retry_after(const call& c, double fraction)
{
    const double mean = std::min(static_cast<double>(max_retry_after.count()),
                                 static_cast<double>(min_retry_after.count()) / fraction);
    // 0.5 to 1.5 times the mean, derived from the id, so that callers that were refused at the same
    // time do not retry at the same time.
    return std::chrono::milliseconds(static_cast<std::int64_t>(mean * (0.5 + c.id.admit_point())));
}

void call_router::add_versions(call_response& response) const
{
    if (const auto config = views_.config.get()) {
        set_header(response, call_headers::config_version,
                   std::to_string(config->source().version.value));
    }
    if (const auto list = views_.list.get()) {
        set_header(response, call_headers::list_revision,
                   std::to_string(list->list.revision.value));
    }
}

void call_router::count(const call& c, const call_response& response)
{
    metrics_.record_call(
        {c.kind->rank, c.context.group, c.context.kind, outcome_of(response), reason_of(response)},
        boot_clock::now() - c.arrived);
}

} // namespace trefoil
