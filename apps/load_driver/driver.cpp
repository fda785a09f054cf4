#include "driver.h"

#include "base/request_id.h"
#include "call_io/endpoint.h"
#include "wire/call_headers.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <map>

using namespace trefoil;
namespace http = boost::beast::http;

namespace {

constexpr std::chrono::milliseconds impatient_pause{20};
/// Only ends a check that would never pass: a service that starts as a whole waits 30 s for a
/// lease.
constexpr std::chrono::seconds readiness_timeout{120};

std::string expected_answer(const flow& f, const std::string& id)
{
    auto text = f.expect;
    if (const auto at = text.find('%'); at != std::string::npos) {
        text.replace(at, 1, id);
    }
    return text;
}

} // namespace

driver::driver(asio::io_context& context, workload load)
    : context_(context), load_(std::move(load)),
      pool_(context, pool_options{.max_idle = 512, .connect_rate = 5000, .connect_burst = 2000}),
      random_(load_.seed)
{
}

void driver::start()
{
    start_ = steady_clock::now();
    asio::co_spawn(context_, run_hooks(), asio::detached);
    for (const auto& f : load_.flows) {
        asio::co_spawn(context_, generate(f), asio::detached);
    }
}

void driver::start_readiness_check()
{
    for (const auto& entry : load_.entries) {
        for (const auto& f : load_.flows) {
            asio::co_spawn(context_, wait_until_served(f, entry), asio::detached);
        }
    }
}

asio::awaitable<void> driver::wait_until_served(flow f, tcp::endpoint entry)
{
    ++waiting_;
    const auto end = steady_clock::now() + readiness_timeout;
    while (steady_clock::now() < end) {
        const auto id = request_id::mint(wall_now(), random_).to_string();
        const auto result = co_await send_once(f, id, 0, steady_clock::now() + f.deadline, entry);
        std::string reason;
        if (judge(f, id, result, reason) == verdict::complete) {
            --waiting_;
            co_return;
        }
        asio::steady_timer timer(context_, std::chrono::milliseconds(200));
        boost::system::error_code error;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

void driver::check_records()
{
    asio::co_spawn(context_, compare_records(), asio::detached);
}

asio::awaitable<void> driver::run_hooks()
{
    auto at = start_;
    for (const auto& p : load_.phases) {
        asio::steady_timer timer(context_, at);
        boost::system::error_code error;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        for (const auto& request : p.at_start) {
            const auto slash = request.find('/');
            co_await get(parse_endpoint(request.substr(0, slash)), request.substr(slash));
        }
        at += p.length;
    }
}

asio::awaitable<std::string> driver::get(tcp::endpoint peer, std::string path)
{
    call_request request(http::verb::get, path, 11);
    set_header(request, call_headers::request_id,
               request_id::mint(wall_now(), random_).to_string());
    request.prepare_payload();
    cancel_token cancel;
    const exchange_options options{.deadline = steady_clock::now() + std::chrono::seconds(5)};
    const auto result = co_await pool_.exchange(peer, request, options, cancel);
    co_return result.status == exchange_status::answered ? result.response.body() : std::string();
}

asio::awaitable<void> driver::compare_records()
{
    std::map<std::string, bool> kinds;
    for (const auto& f : load_.flows) {
        kinds[f.kind] = f.once_only;
    }
    for (const auto& [kind, once_only] : kinds) {
        for (const auto& u : load_.upstreams) {
            const auto record = co_await get(u.address, "/stand-in/record?kind=" + kind);
            tally_.add_record(u.service, kind, once_only, record);
        }
    }
}

const phase* driver::phase_at(steady_clock::time_point when) const
{
    auto end = start_;
    for (const auto& p : load_.phases) {
        end += p.length;
        if (when < end) {
            return &p;
        }
    }
    return nullptr;
}

asio::awaitable<void> driver::generate(flow f)
{
    std::mt19937_64 arrivals(load_.seed ^ std::hash<std::string>{}(f.kind + f.group));
    asio::steady_timer timer(context_);
    auto next = start_;
    while (const phase* current = phase_at(next)) {
        const auto factor = current->multiply.find(f.kind);
        const double rate = f.rate * (factor == current->multiply.end() ? 1.0 : factor->second);
        std::exponential_distribution<double> gap(rate);
        next += std::chrono::duration_cast<steady_clock::duration>(
            std::chrono::duration<double>(gap(arrivals)));
        timer.expires_at(next);
        boost::system::error_code error;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        asio::co_spawn(context_, send_request(f, current->name), asio::detached);
    }
}

asio::awaitable<void> driver::send_request(flow f, std::string phase_name)
{
    const auto arrived = steady_clock::now();
    const auto deadline = arrived + f.deadline;
    const auto id = request_id::mint(wall_now(), random_).to_string();
    tally_.add_offered(phase_name, f.kind, f.group);
    auto outcome = verdict::failed;
    bool always_refused = true;
    for (std::uint32_t attempt = 0; attempt <= f.caller_retries; ++attempt) {
        tally_.add_send(phase_name, f.kind, f.group);
        const auto entry = load_.entries[random_() % load_.entries.size()];
        const auto give_up = std::min(deadline, steady_clock::now() + f.attempt_timeout);
        const auto result = co_await send_once(f, id, attempt, give_up, entry);
        std::string reason;
        outcome = judge(f, id, result, reason);
        always_refused = always_refused && outcome == verdict::not_run;
        if (outcome == verdict::complete || outcome == verdict::wrong_answer) {
            break;
        }
        tally_.add_reason(phase_name, f.kind, f.group, reason);
        auto pause = impatient_pause;
        if (!load_.impatient) {
            const auto told = number_header(result.response, call_headers::retry_after_ms);
            pause = std::max(pause, std::chrono::milliseconds(told.value_or(0)));
        }
        if (steady_clock::now() + pause >= deadline) {
            break;
        }
        asio::steady_timer timer(context_, pause);
        boost::system::error_code error;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
    // For once-only work the last answer speaks of the id; for other work, of one send.
    if (outcome == verdict::not_run && (f.once_only || always_refused)) {
        tally_.add_told_not_run(f.kind, id);
    }
    const auto bucket = static_cast<std::size_t>((arrived - start_) / tally::bucket);
    tally_.add_verdict(
        phase_name, f.kind, f.group, outcome,
        std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now() - arrived),
        bucket);
}

asio::awaitable<exchange_result> driver::send_once(const flow& f, const std::string& id,
                                                   std::uint32_t attempt,
                                                   steady_clock::time_point deadline,
                                                   tcp::endpoint entry)
{
    call_request request(http::verb::post, "/call/" + f.service + "/", 11);
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - steady_clock::now());
    set_header(request, call_headers::request_id, id);
    set_header(request, call_headers::group, f.group);
    set_header(request, call_headers::kind, f.kind);
    set_header(request, call_headers::attempt, std::to_string(attempt));
    set_header(request, call_headers::deadline_ms,
               std::to_string(std::max<std::int64_t>(left.count(), 1)));
    request.body() = load_.fixed_body.empty() ? id : load_.fixed_body;
    request.prepare_payload();
    cancel_token cancel;
    auto result = co_await pool_.exchange(entry, request, {.deadline = deadline}, cancel);
    co_return result;
}

verdict driver::judge(const flow& f, const std::string& id, const exchange_result& result,
                      std::string& reason) const
{
    if (result.status != exchange_status::answered) {
        reason = result.timed_out ? "driver-timeout" : "driver-connection";
        return result.status == exchange_status::lost ? verdict::unknown : verdict::failed;
    }
    reason = std::string(header(result.response, call_headers::reason).value_or("none"));
    const auto outcome = header(result.response, call_headers::outcome).value_or("complete");
    if (outcome == "not-run") {
        return verdict::not_run;
    }
    if (outcome == "unknown" || result.response.result() != http::status::ok) {
        return verdict::unknown;
    }
    return result.response.body() == expected_answer(f, id) ? verdict::complete
                                                            : verdict::wrong_answer;
}
