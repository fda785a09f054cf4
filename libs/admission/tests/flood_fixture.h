#pragma once

#include "admission_fixture.h"

#include <functional>
#include <queue>
#include <random>
#include <utility>

namespace trefoil::testing {

/// Simulates one target with a fixed limit and open-loop Poisson arrivals on a virtual clock.
/// Service times are exponentially distributed with the same mean for all kinds, so that the number
/// of completions is proportional to slot time.
struct flood_fixture : admission_fixture {
    static constexpr std::uint32_t slots = 20;
    static constexpr double capacity = 1000.0;
    using flow = std::pair<std::uint32_t, std::uint32_t>;

    struct served {
        double offered = 0.0;
        double completed = 0.0;
    };

    /// Simulates arrivals for `length` at the given rate in 1/s of each (kind, group), and returns
    /// what was offered and completed.
    std::map<flow, served> run(const std::map<flow, double>& demand, std::chrono::seconds length)
    {
        using event = std::pair<mono_time, std::uint64_t>;
        std::mt19937_64 random(7);
        const auto wait = [&](double rate) {
            return std::chrono::nanoseconds(
                static_cast<std::int64_t>(1e9 * std::exponential_distribution<>(rate)(random)));
        };
        admission_controller<static_limit> controller(make_policy(slots), 1);
        std::map<flow, served> result;
        std::map<std::uint64_t, std::pair<flow, mono_time>> open;
        std::priority_queue<event, std::vector<event>, std::greater<>> ends;
        std::vector<std::pair<mono_time, flow>> arrivals;
        for (const auto& [f, rate] : demand) {
            for (auto t = now + wait(rate); t < now + length; t += wait(rate)) {
                arrivals.emplace_back(t, f);
            }
        }
        std::sort(arrivals.begin(), arrivals.end());
        const auto apply = [&](const admission_changes& changes) {
            for (const auto t : changes.started) {
                open.at(t.value).second = now;
                ends.emplace(now + wait(capacity / slots), t.value);
            }
        };
        const auto finish_until = [&](mono_time end) {
            while (!ends.empty() && ends.top().first <= end) {
                const admission_ticket t{ends.top().second};
                now = ends.top().first;
                ends.pop();
                const auto [f, started] = open.at(t.value);
                result[f].completed += 1.0;
                apply(controller.finish(t, {now - started, completion_result::ok}, now));
            }
        };
        for (const auto& [t, f] : arrivals) {
            finish_until(t);
            now = t;
            result[f].offered += 1.0;
            const auto offer = controller.offer(
                make_work(f.first, f.second, 2s, 0, 1e-3 * static_cast<double>(next_id % 1000)),
                now);
            open[offer.ticket.value] = {f, now};
            apply(offer.changes);
        }
        finish_until(now + 1h);
        return result;
    }
};

} // namespace trefoil::testing
