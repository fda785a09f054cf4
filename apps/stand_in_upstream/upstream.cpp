#include "upstream.h"

#include "base/request_id.h"
#include "call_io/endpoint.h"
#include "wire/call_headers.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cstdlib>

using namespace trefoil;
namespace http = boost::beast::http;

namespace {

constexpr std::chrono::milliseconds default_time_left{2000};
constexpr double cold_start_factor = 5.0;

call_response answer(const call_request& request, http::status status, std::string body)
{
    call_response response(status, 11);
    if (const auto id = header(request, call_headers::request_id)) {
        set_header(response, call_headers::request_id, *id);
    }
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

call_response not_run(const call_request& request, std::string_view reason)
{
    auto response = answer(request, http::status::service_unavailable, "");
    set_header(response, call_headers::outcome, "not-run");
    set_header(response, call_headers::reason, reason);
    return response;
}

std::optional<std::uint64_t> number(const call_request& request, std::string_view name)
{
    const auto text = header(request, name);
    return text ? std::optional(std::strtoull(std::string(*text).c_str(), nullptr, 10))
                : std::nullopt;
}

bool is_expired(const call_request& request)
{
    const auto expiry = number(request, call_headers::expires_at);
    return expiry && wall_now() > wall_time(std::chrono::milliseconds(*expiry));
}

/// Value of one parameter in the query of a path, or nothing.
std::optional<double> query(std::string_view path, const std::string& name)
{
    const auto at = path.find(name + "=");
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    return std::strtod(std::string(path.substr(at + name.size() + 1)).c_str(), nullptr);
}

std::string query_text(std::string_view path, const std::string& name)
{
    const auto at = path.find(name + "=");
    return at == std::string_view::npos ? "" : std::string(path.substr(at + name.size() + 1));
}

} // namespace

upstream::upstream(asio::io_context& context, upstream_options options)
    : context_(context), options_(std::move(options)), slots_(context, options_.slots),
      pool_(context, pool_options{.max_idle = 256, .connect_rate = 1000, .connect_burst = 1000}),
      random_(options_.seed)
{
}

asio::awaitable<call_response> upstream::handle(call_request request,
                                                std::shared_ptr<cancel_token> cancel)
{
    const std::string_view path(request.target().data(), request.target().size());
    if (path.starts_with("/stand-in/")) {
        co_return handle_control(request);
    }
    if (silent_requests_ > 0) {
        --silent_requests_;
        co_await hang(*cancel);
        co_return not_run(request, "cancelled");
    }
    if (draining_) {
        co_return not_run(request, "draining");
    }
    ++active_;
    auto response = co_await work(request, cancel);
    --active_;
    co_return response;
}

call_response upstream::handle_control(const call_request& request)
{
    const std::string_view path(request.target().data(), request.target().size());
    if (path.starts_with("/stand-in/record")) {
        return answer(request, http::status::ok, record_.to_json(query_text(path, "kind")));
    }
    if (path.starts_with("/stand-in/health")) {
        const double load = static_cast<double>(slots_.in_use()) / options_.slots;
        return answer(request, http::status::ok,
                      "{\"state\":\"" + std::string(draining_ ? "draining" : "serving") +
                          "\",\"load\":" + std::to_string(reported_load_.value_or(load)) + "}");
    }
    slowdown_ = query(path, "slowdown").value_or(slowdown_);
    if (const auto load = query(path, "report-load")) {
        reported_load_ = load;
    }
    silent_requests_ += static_cast<std::uint32_t>(query(path, "silent").value_or(0));
    draining_ = draining_ || query(path, "drain").has_value();
    return answer(request, http::status::ok, "");
}

asio::awaitable<void> upstream::hang(cancel_token& cancel)
{
    asio::steady_timer forever(context_, std::chrono::hours(1));
    cancel.on_cancel([&forever] { forever.cancel(); });
    boost::system::error_code error;
    co_await forever.async_wait(asio::redirect_error(asio::use_awaitable, error));
}

std::chrono::microseconds upstream::draw_service_time()
{
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    double factor = slowdown_ * spread(random_);
    const auto age = steady_clock::now() - started_;
    if (age < options_.cold_start) {
        const double progress =
            std::chrono::duration<double>(age) / std::chrono::duration<double>(options_.cold_start);
        factor *= cold_start_factor - (cold_start_factor - 1.0) * progress;
    }
    return std::chrono::duration_cast<std::chrono::microseconds>(options_.service_time * factor);
}

asio::awaitable<call_response> upstream::work(const call_request& request,
                                              std::shared_ptr<cancel_token> cancel)
{
    const auto time_left = number(request, call_headers::deadline_ms);
    const auto deadline = steady_clock::now() +
                          (time_left ? std::chrono::milliseconds(*time_left) : default_time_left);
    if (options_.shed_queue > 0 && slots_.waiting() >= options_.shed_queue) {
        co_return not_run(request, "upstream-shed");
    }
    co_await slots_.acquire();
    const slot_guard slot(slots_);
    if (cancel->cancelled() || is_expired(request) || steady_clock::now() >= deadline) {
        co_return not_run(request, "deadline-passed");
    }
    std::string inner = request.body();
    const auto kind = std::string(header(request, call_headers::kind).value_or(""));
    if (const auto it = options_.calls.find(kind); it != options_.calls.end()) {
        auto child = co_await call_onward(request, it->second, deadline, *cancel);
        if (child.result() != http::status::ok) {
            co_return child;
        }
        inner = child.body();
    }
    if (request.body().find("crash") != std::string::npos) {
        std::_Exit(3);
    }
    record_.add(kind, request.body());
    asio::steady_timer timer(context_, draw_service_time());
    cancel->on_cancel([&timer] { timer.cancel(); });
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    cancel->on_cancel(nullptr);
    if (cancel->cancelled()) {
        record_.add_cancelled();
    }
    co_return answer(request, http::status::ok, options_.service + "[" + inner + "]");
}

asio::awaitable<call_response> upstream::call_onward(const call_request& request,
                                                     const std::string& service,
                                                     steady_clock::time_point deadline,
                                                     cancel_token& cancel)
{
    call_request child(http::verb::post, "/call/" + service + "/", 11);
    const auto id = request_id::mint(wall_now(), random_);
    set_header(child, call_headers::request_id, id.to_string());
    set_header(child, call_headers::parent, header(request, call_headers::request_id).value_or(""));
    set_header(child, call_headers::group, header(request, call_headers::group).value_or(""));
    set_header(child, call_headers::kind, header(request, call_headers::kind).value_or(""));
    child.body() = request.body();
    child.prepare_payload();
    exchange_result result;
    for (std::uint32_t attempt = 0; attempt <= options_.own_retries; ++attempt) {
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(deadline - steady_clock::now());
        set_header(child, call_headers::attempt, std::to_string(attempt));
        set_header(child, call_headers::deadline_ms,
                   std::to_string(std::max<std::int64_t>(left.count(), 1)));
        result = co_await pool_.exchange(parse_endpoint(options_.node), child,
                                         {.deadline = deadline}, cancel);
        const bool answered = result.status == exchange_status::answered;
        if (cancel.cancelled() || (answered && result.response.result() == http::status::ok)) {
            break;
        }
    }
    if (result.status == exchange_status::answered) {
        auto response = answer(request, result.response.result(), result.response.body());
        for (const auto name :
             {call_headers::outcome, call_headers::reason, call_headers::retry_after_ms}) {
            if (const auto value = header(result.response, name)) {
                set_header(response, name, *value);
            }
        }
        co_return response;
    }
    if (result.status != exchange_status::lost) {
        co_return not_run(request, "no-target");
    }
    auto response = answer(request, http::status::gateway_timeout, "");
    set_header(response, call_headers::outcome, "unknown");
    set_header(response, call_headers::reason, "connection-lost");
    co_return response;
}
