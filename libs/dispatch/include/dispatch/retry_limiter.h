#pragma once

#include "base/time.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace trefoil {

/// Tuning of a retry_limiter.
struct retry_limiter_options {
    /// Retries that all nodes together may send to a service within a window, as a fraction of the
    /// requests for it.
    double ratio = 0.2;
    /// Length of the window.
    std::chrono::milliseconds window{10'000};
    /// Fraction of `ratio` that a node uses at a service that makes no calls of its own. The rest
    /// covers windows that begin within an interval, and nodes whose windows with most requests
    /// differ.
    double leaf_share = 0.9;
    /// The same at a service that makes calls: the calls of a retried request are retries at the
    /// services below.
    double caller_share = 0.4;
    /// Largest part of the limit that is used within a tenth of the window, so that it lasts for
    /// most of the window and the most promising retries of each moment are chosen.
    double burst_share = 0.125;
    /// Retries that a node may send in a window regardless of its requests, so that a node with few
    /// requests can retry.
    double min_retries = 1.0;
};

/// Limit on the retries that one node sends to one service.
///
/// Load pattern: a service that failed nothing for a while suddenly fails a large part of its
/// requests, and most of the work is lost if only a fraction of the present requests may be
/// retried. In any window the retries may reach a fraction of the requests in the same window, the
/// one before it or the one that begins half a window before it. What was not used before the
/// failures is therefore available when they begin. All windows that include the present are
/// checked, also those that end in the future, in which no request is certain to come.
class retry_limiter {
public:
    explicit retry_limiter(retry_limiter_options options = {}) : options_(options) {}

    /// Records the first attempt of a request.
    void record_request(mono_time now);

    /// Records a retry that was not asked for with `take`: a call of a request that was itself
    /// retried.
    void record_retry(mono_time now);

    /// Records whether requests of the service make calls to other services, as the node of a
    /// target reported.
    void record_caller(bool makes_calls) { makes_calls_ = makes_calls; }

    /// Deducts one retry and returns true, unless less than `reserved_share` of the limit would be
    /// left in one of the windows. `reserved_share` is in [0, 1).
    bool take(double reserved_share, mono_time now);

private:
    static constexpr std::size_t intervals_per_window = 20;
    static constexpr std::size_t intervals_per_burst = intervals_per_window / 10;
    /// A window that ends just after the present, and the window before it.
    static constexpr std::size_t kept_intervals = 2 * intervals_per_window;

    struct interval {
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };
    /// Sums of the last n intervals, for n from 0 on.
    using sums = std::array<double, kept_intervals + 1>;

    void advance_to(mono_time now);
    bool fits(double reserved_share) const;
    static double most_requests(const sums& requests, std::size_t future);

    retry_limiter_options options_;
    /// Ring of intervals; `current_` counts intervals since the start of the clock.
    std::array<interval, kept_intervals> intervals_{};
    std::int64_t current_ = 0;
    bool makes_calls_ = true;
};

} // namespace trefoil
