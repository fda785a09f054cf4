#include "stand_in_platform.h"

#include "base/log_event.h"
#include "base/time.h"
#include "call_io/call_listener.h"
#include "call_io/io_threads.h"
#include "call_rate.h"
#include "platform_mode.h"
#include "published_file.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <mutex>
#include <optional>
#include <set>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace trefoil {

namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;

constexpr std::uint64_t longest_wait_ms = 60'000;

/// Number of this name in the query; 0 if absent, empty if malformed.
std::optional<std::uint64_t> query_number(std::string_view query, std::string_view key)
{
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const auto field = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        const auto middle = field.find('=');
        if (middle == std::string_view::npos || field.substr(0, middle) != key) {
            continue;
        }
        const auto text = field.substr(middle + 1);
        std::uint64_t number = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
        if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
            return std::nullopt;
        }
        return number;
    }
    return 0;
}

call_response plain(http::status status)
{
    call_response answer(status, 11);
    answer.set(http::field::content_length, "0");
    return answer;
}

call_response value_answer(const published_file& file)
{
    call_response answer(http::status::ok, 11);
    answer.set("version", std::to_string(file.version()));
    answer.set(http::field::content_type, "application/octet-stream");
    answer.body() = file.text();
    answer.prepare_payload();
    return answer;
}

} // namespace

platform_port_unavailable::platform_port_unavailable(const std::string& detail)
    : error("cannot listen: " + detail)
{
}

class stand_in_platform::impl {
public:
    explicit impl(stand_in_platform_options options)
        : options_(std::move(options)), config_(options_.config_file, read_bundle_version),
          list_(options_.list_file, read_list_revision), rate_(options_.calls_per_second),
          reservation_(threads_.context(0)), tick_(threads_.context(0))
    {
        refresh_files();
        try {
            reserve();
            open();
        }
        catch (const boost::system::system_error& e) {
            throw platform_port_unavailable(e.what());
        }
        schedule_tick();
        threads_.start();
    }

    ~impl() { threads_.stop(); }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    std::uint16_t port() const { return reservation_.local_endpoint().port(); }

    platform_stats stats() const
    {
        const std::lock_guard lock(stats_mutex_);
        return stats_;
    }

private:
    /// Binds the port without listening. While the platform is closed, connections are refused and
    /// no other process gets the port.
    void reserve()
    {
        const tcp::endpoint local(asio::ip::make_address(options_.address), options_.port);
        reservation_.open(local.protocol());
        reservation_.set_option(tcp::acceptor::reuse_address(true));
        reservation_.bind(local);
    }

    void open()
    {
        listeners_.push_back(std::make_unique<call_listener>(
            threads_.contexts(), reservation_.local_endpoint(),
            [this](call_request request, std::size_t /*shard*/,
                   const std::shared_ptr<cancel_token>& /*cancel*/) {
                return serve(std::move(request));
            }));
        listeners_.back()->start();
        is_open_ = true;
    }

    void close()
    {
        // The closed listener stays until the end, since it must outlive the thread.
        listeners_.back()->close();
        is_open_ = false;
    }

    asio::awaitable<call_response> serve(call_request request)
    {
        const std::string_view target(request.target().data(), request.target().size());
        const auto path = target.substr(0, target.find('?'));
        const auto query = target.substr(std::min(path.size() + 1, target.size()));
        if (request.method() != http::verb::get) {
            co_return plain(http::status::method_not_allowed);
        }
        if (path == "/stats") {
            co_return stats_answer();
        }
        if (path == "/v1/values/config") {
            co_return co_await serve_value(query, config_, &platform_stats::config_calls);
        }
        if (path == "/v1/vms") {
            co_return co_await serve_value(query, list_, &platform_stats::list_calls);
        }
        co_return plain(http::status::not_found);
    }

    asio::awaitable<call_response> serve_value(std::string_view query, const published_file& file,
                                               std::uint64_t platform_stats::*counter)
    {
        const auto after = query_number(query, "after");
        const auto wait_ms = query_number(query, "wait_ms");
        const auto now = boot_clock::now();
        if (!count_call(counter, now)) {
            co_return plain(http::status::too_many_requests);
        }
        if (is_refusing()) {
            co_return refuse();
        }
        if (!after || !wait_ms || *wait_ms > longest_wait_ms) {
            co_return plain(http::status::bad_request);
        }
        if (file.version() <= *after && *wait_ms > 0) {
            co_await wait_for_change(file, *after, milliseconds(*wait_ms));
            if (is_refusing()) {
                co_return plain(http::status::service_unavailable);
            }
        }
        // What is answered is decided before the delay.
        auto answer =
            file.version() > *after ? value_answer(file) : plain(http::status::not_modified);
        if (mode_.delay > milliseconds::zero()) {
            co_await pause(mode_.delay);
        }
        co_return answer;
    }

    /// False: the call is beyond the rate.
    bool count_call(std::uint64_t platform_stats::*counter, mono_time now)
    {
        const std::lock_guard lock(stats_mutex_);
        ++stats_.calls;
        ++(stats_.*counter);
        const bool is_admitted = rate_.admit(now);
        stats_.over_rate += is_admitted ? 0U : 1U;
        stats_.peak_per_second = rate_.peak();
        return is_admitted;
    }

    bool is_refusing() const { return mode_.availability != platform_availability::up; }

    call_response refuse()
    {
        const std::lock_guard lock(stats_mutex_);
        ++stats_.refused;
        return plain(http::status::service_unavailable);
    }

    call_response stats_answer() const
    {
        const auto now = stats();
        std::string json;
        const auto add = [&](const char* name, std::uint64_t value) {
            json += json.empty() ? "{" : ",";
            json += '"' + std::string(name) + "\":" + std::to_string(value);
        };
        add("calls", now.calls);
        add("config_calls", now.config_calls);
        add("list_calls", now.list_calls);
        add("over_rate", now.over_rate);
        add("refused", now.refused);
        add("peak_per_second", now.peak_per_second);
        add("waiting", now.waiting);
        call_response answer(http::status::ok, 11);
        answer.set(http::field::content_type, "application/json");
        answer.body() = json + '}';
        answer.prepare_payload();
        return answer;
    }

    asio::awaitable<void> pause(milliseconds time)
    {
        asio::steady_timer timer(threads_.context(0), time);
        co_await timer.async_wait(asio::use_awaitable);
    }

    /// Returns when there is a newer value, calls are refused, or the time has passed.
    asio::awaitable<void> wait_for_change(const published_file& file, std::uint64_t after,
                                          milliseconds time)
    {
        asio::steady_timer timer(threads_.context(0), time);
        waiting_.insert(&timer);
        count_waiting();
        boost::system::error_code error;
        const auto end = timer.expiry();
        // A cancelled wait means that something has changed.
        while (file.version() <= after && !is_refusing() &&
               std::chrono::steady_clock::now() < end) {
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        }
        waiting_.erase(&timer);
        count_waiting();
    }

    void count_waiting()
    {
        const std::lock_guard lock(stats_mutex_);
        stats_.waiting = waiting_.size();
    }

    void schedule_tick()
    {
        tick_.expires_after(options_.poll);
        tick_.async_wait([this](auto error) {
            if (!error) {
                tick();
                schedule_tick();
            }
        });
    }

    void tick()
    {
        const auto mode = read_mode();
        const bool is_mode_new = mode != std::exchange(mode_, mode);
        if (refresh_files() || is_mode_new) {
            for (auto* const timer : waiting_) {
                timer->cancel();
            }
        }
        apply_availability();
    }

    void apply_availability()
    {
        const bool should_be_open = mode_.availability != platform_availability::closed;
        try {
            if (is_open_ && !should_be_open) {
                close();
            }
            else if (!is_open_ && should_be_open) {
                open();
            }
        }
        catch (const boost::system::system_error& e) {
            log_event("platform_port_open_failed").add("why", e.what()).warning();
        }
    }

    platform_mode read_mode()
    {
        std::ifstream file(options_.control_file);
        const std::string text{std::istreambuf_iterator<char>(file),
                               std::istreambuf_iterator<char>()};
        try {
            last_mode_ = parse_platform_mode(text);
        }
        catch (const invalid_platform_mode& e) {
            if (text != last_bad_mode_) {
                log_event("platform_mode_refused").add("why", e.what()).warning();
            }
            last_bad_mode_ = text;
        }
        return last_mode_;
    }

    /// True: there is a new value.
    bool refresh_files()
    {
        if (mode_.stale) {
            return false;
        }
        const bool is_config_new = config_.refresh();
        return list_.refresh() || is_config_new;
    }

    const stand_in_platform_options options_;
    bool is_open_ = false;

    // Used on the thread only, as all below but the counts.
    published_file config_;
    published_file list_;
    platform_mode mode_;
    platform_mode last_mode_;
    std::string last_bad_mode_;
    call_rate rate_;

    mutable std::mutex stats_mutex_;
    platform_stats stats_;

    io_threads threads_{1};
    tcp::acceptor reservation_;
    asio::steady_timer tick_;
    /// Timers of the watches that wait, on the frames of their coroutines.
    std::set<asio::steady_timer*> waiting_;
    std::vector<std::unique_ptr<call_listener>> listeners_;
};

stand_in_platform::stand_in_platform(stand_in_platform_options options)
    : impl_(std::make_unique<impl>(std::move(options)))
{
}

stand_in_platform::~stand_in_platform() = default;

std::uint16_t stand_in_platform::port() const noexcept
{
    return impl_->port();
}

platform_stats stand_in_platform::stats() const
{
    return impl_->stats();
}

} // namespace trefoil
