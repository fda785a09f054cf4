#pragma once

#include "event_loop.h"
#include "flow_fractions.h"
#include "target_node.h"

#include <memory>
#include <random>
#include <vector>

namespace trefoil::experiment {

/// Outcome of one request over all its attempts.
struct request_record {
    std::size_t kind = 0;
    std::size_t group = 0;
    mono_time arrived;
    mono_time ended;
    bool ok = false;
};

/// Simulated callers, which send requests and retry them until the deadline. With control they also
/// model the entry node, which rejects requests by the admit fractions of the services on the path.
class callers {
public:
    callers(event_loop& loop, std::mt19937_64& random, const topology& model,
            const model_constants& constants, std::vector<std::unique_ptr<target_node>>& targets,
            bool control)
        : loop_(loop), random_(random), model_(model), constants_(constants), targets_(targets),
          control_(control)
    {
    }

    /// Generates Poisson arrivals of a kind from now until `end`, with `rate` requests per second,
    /// distributed over the groups by their shares.
    void start_open_loop(std::size_t kind, double rate, mono_time end);

    /// Starts a caller that, until `end`, sends a request as soon as its previous one has ended.
    void start_closed_loop(mono_time end);

    /// All requests so far, in order of arrival.
    const std::vector<request_record>& records() const noexcept { return records_; }
    /// Work done in successful attempts of requests.
    std::chrono::nanoseconds useful_work() const noexcept { return useful_work_; }

private:
    struct request {
        std::size_t record = 0;
        std::uint32_t attempt = 0;
        mono_time deadline;
        bool done = false;
        call_ptr current;
        bool closed_loop = false;
        mono_time closed_loop_end;
    };
    using request_ptr = std::shared_ptr<request>;

    void start(std::size_t kind, const request_ptr& r);
    void send(const request_ptr& r);
    void handle_answer(const request_ptr& r, const call_ptr& c, const answer& a);
    void handle_failure(const request_ptr& r, std::chrono::milliseconds retry_after);
    void finish(const request_ptr& r, bool ok);
    double min_fraction(const request_record& r) const;
    std::size_t draw_kind();
    double random_fraction() { return std::uniform_real_distribution<>(0.0, 1.0)(random_); }

    event_loop& loop_;
    std::mt19937_64& random_;
    const topology& model_;
    const model_constants& constants_;
    std::vector<std::unique_ptr<target_node>>& targets_;
    bool control_;
    flow_fractions fractions_;
    std::vector<request_record> records_;
    std::chrono::nanoseconds useful_work_{0};
};

} // namespace trefoil::experiment
