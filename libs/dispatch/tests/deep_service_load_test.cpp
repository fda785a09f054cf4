#include "deep_service_load.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace trefoil;

namespace {

/// Goodput and recovery that the design promises, docs/design.md section 1.2.
constexpr double promised_goodput = 0.95;
constexpr auto promised_recovery = 2s;

struct deep_service_fixture {
    static constexpr std::uint64_t seed = 20261204;
    deep_service_load load{seed};

    /// Two chains of five calls each within 1.2 s, from 16 nodes to the one target that is left.
    static deep_service_load many_first_hops()
    {
        return {seed,
                {.first_hops = 16,
                 .chains = 2,
                 .calls_per_chain = 5,
                 .slots = 23,
                 .mean_run = 55ms,
                 .deadline = 1200ms,
                 .call_timeout = 700ms}};
    }

    static double served_part(const deep_service_load::result& r)
    {
        return static_cast<double>(r.served) / static_cast<double>(r.offered - r.unfinished);
    }

    double sustained_goodput(const deep_service_load::options& shape, double factor)
    {
        load = deep_service_load(seed, shape);
        load.replay({5s, factor});
        return goodput(load.replay({60s, factor}), 60s);
    }

    double goodput(const deep_service_load::result& r, std::chrono::duration<double> length) const
    {
        return static_cast<double>(r.served) / (load.capacity() * length.count());
    }
};

} // namespace

// Guards against admitting so little under overload that slots of the deep service stay idle, and
// so much that begun work is wasted.
TEST_CASE_METHOD(deep_service_fixture, "admission_sustained_overload_keeps_goodput")
{
    const double factor = GENERATE(2.0, 5.0);
    load.replay({5s, factor});
    const auto r = load.replay({20s, factor});
    INFO("factor " << factor << " offered " << r.offered << " refused " << r.refused << " served "
                   << r.served << " failed " << r.failed);
    CHECK(goodput(r, 20s) >= promised_goodput);
}

// Guards against a level that stays low after its cause is gone.
TEST_CASE_METHOD(deep_service_fixture, "admission_after_overload_recovers_in_time")
{
    load.replay({5s, 5.0});
    load.replay({promised_recovery, 0.8});
    const auto r = load.replay({5s, 0.8});
    INFO("offered " << r.offered << " refused " << r.refused << " served " << r.served);
    CHECK(served_part(r) >= promised_goodput);
}

// Guards against refusing for bursts that the queue absorbs.
TEST_CASE_METHOD(deep_service_fixture, "admission_moderate_load_refuses_nothing")
{
    load.replay({2s, 0.8});
    const auto r = load.replay({20s, 0.8});
    INFO("offered " << r.offered << " refused " << r.refused << " failed " << r.failed);
    CHECK(served_part(r) >= promised_goodput);
}

// Guards against first hops that admit at random and on levels that overshoot, so that slots idle
// and fill in turns.
TEST_CASE_METHOD(deep_service_fixture, "admission_many_first_hops_sustained_overload_keeps_goodput")
{
    const double factor = GENERATE(2.0, 8.0);
    load = many_first_hops();
    load.replay({5s, factor});
    const auto r = load.replay({60s, factor});
    INFO("factor " << factor << " offered " << r.offered << " refused " << r.refused << " served "
                   << r.served << " failed " << r.failed);
    CHECK(goodput(r, 60s) >= promised_goodput);
}

// Guards against a level that stays at its floor for seconds after a deep overload.
TEST_CASE_METHOD(deep_service_fixture,
                 "admission_many_first_hops_after_deep_overload_recovers_in_time")
{
    load = many_first_hops();
    load.replay({5s, 8.0, 2.0});
    load.replay({promised_recovery, 0.8});
    const auto r = load.replay({5s, 0.8});
    INFO("offered " << r.offered << " refused " << r.refused << " served " << r.served);
    CHECK(served_part(r) >= promised_goodput);
}

// Guards against first hops that act on levels as old as their rare answers, when the one target
// that is left is slow and its requests take most of their time.
TEST_CASE_METHOD(deep_service_fixture, "admission_many_first_hops_slow_target_keeps_goodput")
{
    constexpr double slowness = 2.0;
    const double factor = GENERATE(2.0, 5.0);
    load = many_first_hops();
    load.replay({5s, factor / slowness, slowness});
    const auto r = load.replay({60s, factor / slowness, slowness});
    INFO("factor " << factor << " offered " << r.offered << " refused " << r.refused << " served "
                   << r.served << " failed " << r.failed);
    CHECK(goodput(r, 60s) * slowness >= promised_goodput);
}

// Guards against an admit level that fits one size of target and length of chain only.
TEST_CASE_METHOD(deep_service_fixture, "admission_long_chains_and_large_targets_keep_goodput")
{
    using options = deep_service_load::options;
    const auto shape = GENERATE(options{20, 1, 12, 40, 10ms, 1000ms, 400ms},
                                options{60, 4, 2, 100, 100ms, 2000ms, 1500ms});
    const double factor = GENERATE(2.0, 5.0);
    CHECK(sustained_goodput(shape, factor) >= promised_goodput);
}

// The same for targets whose few slots and long runs leave little to average over.
TEST_CASE_METHOD(deep_service_fixture, "admission_few_slots_and_slow_runs_keep_goodput")
{
    const double factor = GENERATE(2.0, 5.0);
    CHECK(sustained_goodput({16, 1, 2, 16, 300ms, 3000ms, 2000ms}, factor) >= promised_goodput);
}

// The same for requests that make a single call.
TEST_CASE_METHOD(deep_service_fixture, "admission_single_calls_keep_goodput")
{
    const double factor = GENERATE(2.0, 5.0);
    CHECK(sustained_goodput({30, 1, 1, 50, 40ms, 600ms, 600ms}, factor) >= promised_goodput);
}
