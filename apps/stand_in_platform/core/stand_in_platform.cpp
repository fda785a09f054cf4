#include "stand_in_platform.h"

#include "base/log_event.h"
#include "base/time.h"
#include "call_rate.h"
#include "control/control_threads.h"
#include "control/free_port.h"
#include "platform_mode.h"
#include "published_file.h"

#include <cpprest/http_listener.h>

#include <algorithm>
#include <charconv>
#include <condition_variable>
#include <fstream>
#include <iterator>
#include <mutex>
#include <optional>
#include <stop_token>
#include <thread>
#include <utility>
#include <vector>

namespace trefoil {

namespace {

using std::chrono::milliseconds;
using web::http::http_request;
using web::http::http_response;
using web::http::status_codes;
using web::http::experimental::listener::http_listener;

constexpr int port_attempts = 20;
constexpr std::uint64_t longest_wait_ms = 60'000;

/// Number in the query; 0 if absent, empty if malformed.
std::optional<std::uint64_t> query_number(const web::uri& uri, const char* key)
{
    const auto query = web::uri::split_query(uri.query());
    const auto it = query.find(key);
    if (it == query.end()) {
        return 0;
    }
    std::uint64_t number = 0;
    const auto* const end = it->second.data() + it->second.size();
    const auto parsed = std::from_chars(it->second.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return number;
}

struct watch {
    http_request request;
    const published_file* file = nullptr;
    std::uint64_t after = 0;
    mono_time until;
};

struct delayed_answer {
    http_request request;
    http_response answer;
    mono_time at;
};

http_response plain(web::http::status_code status)
{
    return http_response(status);
}

http_response value_answer(const published_file& file)
{
    http_response answer(status_codes::OK);
    answer.headers().add("version", std::to_string(file.version()));
    answer.set_body(file.text(), "application/octet-stream");
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
          list_(options_.list_file, read_list_revision), rate_(options_.calls_per_second)
    {
        start_control_threads();
        refresh_files();
        open_first();
        ticker_ = std::jthread([this](const std::stop_token& stop) { run(stop); });
    }

    ~impl()
    {
        ticker_.request_stop();
        ticker_.join();
        close();
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    std::uint16_t port() const noexcept { return port_; }

    platform_stats stats() const
    {
        const std::lock_guard lock(mutex_);
        auto stats = stats_;
        stats.peak_per_second = rate_.peak();
        stats.waiting = watches_.size();
        return stats;
    }

private:
    void open_first()
    {
        for (int i = 1;; ++i) {
            port_ = options_.port != 0 ? options_.port : find_free_port(options_.address);
            try {
                open();
                return;
            }
            catch (const std::exception& e) {
                if (options_.port != 0 || i == port_attempts) {
                    throw platform_port_unavailable(e.what());
                }
            }
        }
    }

    void open()
    {
        listener_ = http_listener(
            web::uri("http://" + options_.address + ":" + std::to_string(port_) + "/"));
        listener_.support([this](const http_request& request) { serve(request); });
        listener_.open().wait();
        is_open_ = true;
    }

    /// Answers what is waiting first, since closing waits for open requests.
    void close()
    {
        if (!is_open_) {
            return;
        }
        is_open_ = false;
        std::vector<watch> waiting;
        std::vector<delayed_answer> delayed;
        {
            const std::lock_guard lock(mutex_);
            mode_.availability = platform_availability::closed;
            waiting.swap(watches_);
            delayed.swap(delayed_);
        }
        for (const auto& each : waiting) {
            send(each.request, plain(status_codes::ServiceUnavailable));
        }
        for (const auto& each : delayed) {
            send(each.request, plain(status_codes::ServiceUnavailable));
        }
        try {
            listener_.close().wait();
        }
        catch (const std::exception& e) {
            log_event("platform_port_close_failed").add("why", e.what()).warning();
        }
    }

    void serve(const http_request& request)
    {
        const auto path = request.relative_uri().path();
        if (request.method() != web::http::methods::GET) {
            send(request, plain(status_codes::MethodNotAllowed));
        }
        else if (path == "/stats") {
            send_stats(request);
        }
        else if (path == "/v1/values/config") {
            serve_value(request, config_, &platform_stats::config_calls);
        }
        else if (path == "/v1/vms") {
            serve_value(request, list_, &platform_stats::list_calls);
        }
        else {
            send(request, plain(status_codes::NotFound));
        }
    }

    void serve_value(const http_request& request, const published_file& file,
                     std::uint64_t platform_stats::*counter)
    {
        const auto after = query_number(request.relative_uri(), "after");
        const auto wait_ms = query_number(request.relative_uri(), "wait_ms");
        const auto now = boot_clock::now();
        const std::lock_guard lock(mutex_);
        ++stats_.calls;
        ++(stats_.*counter);
        if (!rate_.admit(now)) {
            ++stats_.over_rate;
            send(request, plain(status_codes::TooManyRequests));
        }
        else if (mode_.availability != platform_availability::up) {
            ++stats_.refused;
            send(request, plain(status_codes::ServiceUnavailable));
        }
        else if (!after || !wait_ms || *wait_ms > longest_wait_ms) {
            send(request, plain(status_codes::BadRequest));
        }
        else if (file.version() > *after) {
            send_after_delay(request, value_answer(file), now);
        }
        else if (*wait_ms == 0) {
            send_after_delay(request, plain(status_codes::NotModified), now);
        }
        else {
            watches_.push_back({request, &file, *after, now + milliseconds(*wait_ms)});
        }
    }

    void send_stats(const http_request& request) const
    {
        const auto now = stats();
        auto json = web::json::value::object();
        json["calls"] = now.calls;
        json["config_calls"] = now.config_calls;
        json["list_calls"] = now.list_calls;
        json["over_rate"] = now.over_rate;
        json["refused"] = now.refused;
        json["peak_per_second"] = now.peak_per_second;
        json["waiting"] = now.waiting;
        http_response answer(status_codes::OK);
        answer.set_body(json);
        send(request, answer);
    }

    /// Called with the lock held.
    void send_after_delay(const http_request& request, const http_response& answer, mono_time now)
    {
        if (mode_.delay > milliseconds::zero()) {
            delayed_.push_back({request, answer, now + mode_.delay});
            return;
        }
        send(request, answer);
    }

    static void send(const http_request& request, const http_response& answer)
    {
        request.reply(answer).then([](const pplx::task<void>& sent) {
            try {
                sent.get();
            }
            catch (const std::exception&) {
                // The reader is gone.
                return;
            }
        });
    }

    void run(const std::stop_token& stop)
    {
        std::unique_lock lock(tick_mutex_);
        while (!stop.stop_requested()) {
            // Interrupted only by the request to stop.
            tick_.wait_for(lock, stop, options_.poll, [] { return false; });
            const auto mode = read_mode();
            {
                const std::lock_guard state(mutex_);
                mode_ = mode;
                refresh_files();
                answer_due(boot_clock::now());
            }
            apply_availability(mode);
        }
    }

    void apply_availability(const platform_mode& mode)
    {
        const bool should_be_open = mode.availability != platform_availability::closed;
        try {
            if (is_open_ && !should_be_open) {
                close();
            }
            else if (!is_open_ && should_be_open) {
                open();
            }
        }
        catch (const std::exception& e) {
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

    void refresh_files()
    {
        if (!mode_.stale) {
            config_.refresh();
            list_.refresh();
        }
    }

    /// Called with the lock held.
    void answer_due(mono_time now)
    {
        const bool is_up = mode_.availability == platform_availability::up;
        std::erase_if(watches_, [&](const watch& each) {
            if (!is_up) {
                send(each.request, plain(status_codes::ServiceUnavailable));
                return true;
            }
            if (each.file->version() > each.after) {
                send_after_delay(each.request, value_answer(*each.file), now);
                return true;
            }
            if (now >= each.until) {
                send_after_delay(each.request, plain(status_codes::NotModified), now);
                return true;
            }
            return false;
        });
        std::erase_if(delayed_, [&](const delayed_answer& each) {
            if (now < each.at) {
                return false;
            }
            send(each.request, each.answer);
            return true;
        });
    }

    const stand_in_platform_options options_;
    std::uint16_t port_ = 0;
    http_listener listener_;
    /// Used by the constructor, the ticker and, once that has ended, the destructor.
    bool is_open_ = false;

    mutable std::mutex mutex_;
    published_file config_;
    published_file list_;
    platform_mode mode_;
    call_rate rate_;
    platform_stats stats_;
    std::vector<watch> watches_;
    std::vector<delayed_answer> delayed_;

    platform_mode last_mode_;
    std::string last_bad_mode_;
    std::mutex tick_mutex_;
    std::condition_variable_any tick_;
    std::jthread ticker_;
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
