#include "dispatch/run_queue.h"
#include "dispatch/slot_limiter.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <cmath>
#include <map>
#include <random>

using namespace std::chrono_literals;
using namespace trefoil;

namespace {

/// Share of its capacity that a service keeps under overload; docs/design.md, section 1.2.
constexpr double promised_goodput = 0.95;

/// A target whose slots are always in demand, replayed on a virtual clock. It takes `slowdown`
/// times as long for a request that starts while `full_share` of its slots or more are occupied.
struct nearly_full_target {
    std::uint32_t slots = 35;
    std::chrono::duration<double> mean_run = 28ms;
    double full_share = 0.95;
    double slowdown = 1.3;
    /// Share of the requests that are of a second route, whose runs are `long_factor` times as
    /// long.
    double long_share = 0.0;
    static constexpr double long_factor = 5.0;

    /// Requests per second with the best number of slots in use.
    double capacity() const
    {
        const auto fast_slots = std::min(slots - 1.0, std::ceil(full_share * slots) - 1.0);
        const auto mean_time = mean_run.count() * (1.0 + long_share * (long_factor - 1.0));
        return std::max(slots / slowdown, fast_slots) / mean_time;
    }
};

class slot_limiter_fixture {
protected:
    static constexpr std::uint64_t seed = 20261204;

    /// Requests served per second in `length`, after `warm_up`, as a share of the capacity. The
    /// target becomes `slowness` times slower halfway through.
    double goodput(const nearly_full_target& target, std::chrono::seconds warm_up,
                   std::chrono::seconds length, double slowness = 1.0)
    {
        slot_limiter limiter(target.slots);
        run_queue queue(target.slots);
        std::multimap<mono_time, std::uint64_t> ends;
        mono_time now(1h);
        const auto start = now;
        const auto end = start + warm_up + length;
        std::uint64_t last_ticket = 0;
        double served = 0.0;
        while (now < end) {
            while (queue.load().waiting < target.slots) {
                queue.offer({++last_ticket, 1, 1, true, now + 1min, now + 1min}, now);
            }
            queue.set_slots(limiter.limit());
            const double factor = now - start > warm_up + length / 2 ? slowness : 1.0;
            const auto changes = queue.advance(now);
            auto running =
                queue.load().running - static_cast<std::uint32_t>(changes.started.size());
            for (const auto ticket : changes.started) {
                ++running;
                limiter.record_started(ticket, running, now);
                const bool is_full = running >= target.full_share * target.slots;
                const double length = is_long(target, ticket) ? target.long_factor : 1.0;
                const double full_factor = is_full ? target.slowdown : 1.0;
                ends.emplace(now + run_time_of(target, factor * length * full_factor), ticket);
            }
            const auto [when, ticket] = *ends.begin();
            ends.erase(ends.begin());
            now = when;
            queue.finish(ticket, true, now);
            limiter.record_answered(ticket, is_long(target, ticket) ? 2 : 1, now);
            served += now - start > warm_up ? factor : 0.0;
        }
        return served / (target.capacity() * std::chrono::duration<double>(length).count());
    }

private:
    static bool is_long(const nearly_full_target& target, std::uint64_t ticket)
    {
        constexpr std::uint64_t cycle = 20;
        return static_cast<double>(ticket % cycle) < target.long_share * static_cast<double>(cycle);
    }

    mono_time::duration run_time_of(const nearly_full_target& target, double factor)
    {
        std::gamma_distribution<double> run(4.0, 0.25);
        return std::chrono::duration_cast<mono_time::duration>(target.mean_run * run(random_) *
                                                               factor);
    }

    std::mt19937_64 random_{seed};
};

} // namespace

// Guards against filling all slots of a target that serves fewer requests when it is nearly full.
TEST_CASE_METHOD(slot_limiter_fixture, "slot_limiter_target_slow_when_nearly_full_keeps_goodput")
{
    const auto target =
        GENERATE(nearly_full_target{}, nearly_full_target{23, 55ms}, nearly_full_target{255, 40ms},
                 nearly_full_target{100, 20ms, 0.9, 1.4}, nearly_full_target{50, 15ms, 0.85, 1.5},
                 nearly_full_target{35, 28ms, 0.95, 1.3, 0.1});
    INFO("slots " << target.slots << " full share " << target.full_share);
    CHECK(goodput(target, 5s, 20s) >= promised_goodput);
}

// Guards against learning so slowly that an overload of a few seconds ends before.
TEST_CASE_METHOD(slot_limiter_fixture, "slot_limiter_first_seconds_of_overload_gain")
{
    const nearly_full_target target;
    const double all_slots = target.slots / target.slowdown / target.mean_run.count();
    CHECK(goodput(target, 0s, 3s) * target.capacity() >= 1.1 * all_slots);
}

// Guards against unused slots at a target that does not slow down.
TEST_CASE_METHOD(slot_limiter_fixture, "slot_limiter_target_of_constant_speed_keeps_its_slots")
{
    const auto target =
        GENERATE(nearly_full_target{35, 28ms, 1.0, 1.0}, nearly_full_target{16, 300ms, 1.0, 1.0},
                 nearly_full_target{255, 40ms, 1.0, 1.0}, nearly_full_target{50, 15ms, 0.95, 1.03});
    INFO("slots " << target.slots << " slowdown " << target.slowdown);
    CHECK(goodput(target, 5s, 20s) >= promised_goodput);
}

// Guards against mistaking a target that becomes slower for one that is too full.
TEST_CASE_METHOD(slot_limiter_fixture, "slot_limiter_target_that_becomes_slower_keeps_goodput")
{
    const auto target = GENERATE(nearly_full_target{}, nearly_full_target{35, 28ms, 1.0, 1.0});
    const double slowness = GENERATE(0.25, 4.0);
    INFO("slowdown " << target.slowdown << " slowness " << slowness);
    CHECK(goodput(target, 5s, 20s, slowness) >= promised_goodput);
}

// Guards against a trial that goes on after the overload has ended, and whose averages would then
// come from different times.
TEST_CASE_METHOD(slot_limiter_fixture, "slot_limiter_trial_interrupted_by_calm_is_abandoned")
{
    constexpr std::uint32_t slots = 20;
    slot_limiter limiter(slots);
    mono_time now(1h);
    std::uint64_t ticket = 0;
    while (limiter.limit() == slots && ticket < 1000) {
        limiter.record_started(++ticket, limiter.limit(), now);
        now += 10ms;
        limiter.record_answered(ticket, 1, now);
    }
    CHECK(limiter.limit() < slots);
    now += 6s;
    limiter.record_started(++ticket, 1, now);
    CHECK(limiter.limit() == slots);
}

// Guards against a limit that outlives the number of slots from which it was learned.
TEST_CASE_METHOD(slot_limiter_fixture, "slot_limiter_new_number_of_slots_is_used")
{
    slot_limiter limiter(35);
    limiter.set_slots(50);
    CHECK(limiter.limit() == 50);
}
