#include "deep_service_load.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace trefoil;

namespace {

/// Goodput and recovery time that docs/design.md, section 1.2, specifies.
constexpr double promised_goodput = 0.95;
constexpr auto promised_recovery = 2s;

struct deep_service_fixture {
    static constexpr std::uint64_t seed = 20261204;
    deep_service_load load{seed};

    /// 16 entry nodes and one remaining target; each request makes two parallel chains of five
    /// calls and has a deadline of 1.2 s.
    static deep_service_load many_entry_nodes()
    {
        return {seed,
                {.entry_nodes = 16,
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

// Guards against admitting so little under overload that slots of the deep service stay idle, or so
// much that admitted requests fail and their work is wasted.
TEST_CASE_METHOD(deep_service_fixture, "admission_sustained_overload_keeps_goodput")
{
    const double factor = GENERATE(2.0, 5.0);
    load.replay({5s, factor});
    const auto r = load.replay({20s, factor});
    INFO("factor " << factor << " offered " << r.offered << " refused " << r.refused << " served "
                   << r.served << " failed " << r.failed);
    CHECK(goodput(r, 20s) >= promised_goodput);
}

// Guards against a level that stays low after the overload has ended.
TEST_CASE_METHOD(deep_service_fixture, "admission_after_overload_recovers_in_time")
{
    load.replay({5s, 5.0});
    load.replay({promised_recovery, 0.8});
    const auto r = load.replay({5s, 0.8});
    INFO("offered " << r.offered << " refused " << r.refused << " served " << r.served);
    CHECK(served_part(r) >= promised_goodput);
}

// Guards against rejecting requests because of bursts that the queue absorbs.
TEST_CASE_METHOD(deep_service_fixture, "admission_moderate_load_refuses_nothing")
{
    load.replay({2s, 0.8});
    const auto r = load.replay({20s, 0.8});
    INFO("offered " << r.offered << " refused " << r.refused << " failed " << r.failed);
    CHECK(served_part(r) >= promised_goodput);
}

// Guards against random admission at the entry nodes and against levels that overshoot, both of
// which make the slots alternate between idle and overloaded.
TEST_CASE_METHOD(deep_service_fixture,
                 "admission_many_entry_nodes_sustained_overload_keeps_goodput")
{
    const double factor = GENERATE(2.0, 8.0);
    load = many_entry_nodes();
    load.replay({5s, factor});
    const auto r = load.replay({60s, factor});
    INFO("factor " << factor << " offered " << r.offered << " refused " << r.refused << " served "
                   << r.served << " failed " << r.failed);
    CHECK(goodput(r, 60s) >= promised_goodput);
}

// Guards against a level that stays at its minimum for seconds after a severe overload.
TEST_CASE_METHOD(deep_service_fixture,
                 "admission_many_entry_nodes_after_deep_overload_recovers_in_time")
{
    load = many_entry_nodes();
    load.replay({5s, 8.0, 2.0});
    load.replay({promised_recovery, 0.8});
    const auto r = load.replay({5s, 0.8});
    INFO("offered " << r.offered << " refused " << r.refused << " served " << r.served);
    CHECK(served_part(r) >= promised_goodput);
}

// Guards against entry nodes that act on outdated levels. An entry node receives a level only with
// a response, and responses are rare when the only remaining target is slow and requests use most
// of their time limit.
TEST_CASE_METHOD(deep_service_fixture, "admission_many_first_hops_slow_target_keeps_goodput")
{
    constexpr double slowness = 2.0;
    const double factor = GENERATE(2.0, 5.0);
    load = many_entry_nodes();
    load.replay({5s, factor / slowness, slowness});
    const auto r = load.replay({60s, factor / slowness, slowness});
    INFO("factor " << factor << " offered " << r.offered << " refused " << r.refused << " served "
                   << r.served << " failed " << r.failed);
    CHECK(goodput(r, 60s) * slowness >= promised_goodput);
}

// Guards against admit level tuning that only suits one number of slots and one chain length.
TEST_CASE_METHOD(deep_service_fixture, "admission_long_chains_and_large_targets_keep_goodput")
{
    using options = deep_service_load::options;
    const auto shape = GENERATE(options{20, 1, 12, 40, 10ms, 1000ms, 400ms},
                                options{60, 4, 2, 100, 100ms, 2000ms, 1500ms});
    const double factor = GENERATE(2.0, 5.0);
    CHECK(sustained_goodput(shape, factor) >= promised_goodput);
}

// The same for targets with few slots and long run times, where the mean occupancy of an interval
// is computed from few samples.
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
