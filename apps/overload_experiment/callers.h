#pragma once

#include "event_loop.h"
#include "flow_fractions.h"
#include "target_node.h"

#include <memory>
#include <random>
#include <vector>

namespace trefoil::experiment {

/// One whole request and how it ended.
struct request_record {
    std::size_t kind = 0;
    std::size_t group = 0;
    mono_time arrived;
    mono_time ended;
    bool ok = false;
};

/// Callers that send requests, repeat them, and give up at the deadline; with control also the
/// first hop, which refuses by admit fractions.
class callers {
public:
    callers(event_loop& loop, std::mt19937_64& random, const topology& model,
            const model_constants& constants, std::vector<std::unique_ptr<target_node>>& targets,
            bool control)
        : loop_(loop), random_(random), model_(model), constants_(constants), targets_(targets),
          control_(control)
    {
    }

    /// Poisson arrivals of a kind from now until `end`, spread over the groups by their shares.
    void open_loop(std::size_t kind, double rate, mono_time end);

    /// A caller that sends its next request as soon as the last one ended.
    void closed_loop(mono_time end);

    const std::vector<request_record>& records() const noexcept { return records_; }
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
    void answered(const request_ptr& r, const call_ptr& c, const answer& a);
    void failed(const request_ptr& r, std::chrono::milliseconds retry_after);
    void end(const request_ptr& r, bool ok);
    double smallest_fraction(const request_record& r) const;
    std::size_t draw_kind();
    double draw() { return std::uniform_real_distribution<>(0.0, 1.0)(random_); }

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
