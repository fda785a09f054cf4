#include "store_return_model.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <array>
#include <cstdlib>
#include <iostream>

using namespace store_return_model;

namespace {

/// Orders that the suite plays; TREFOIL_MODEL_ORDERS replaces it.
constexpr int default_orders = 500;
constexpr int longest_wait_ms = 2000;

int orders()
{
    const auto* const text = std::getenv("TREFOIL_MODEL_ORDERS");
    const int wanted = text == nullptr ? 0 : std::atoi(text);
    return wanted > 0 ? wanted : default_orders;
}

/// Kinds by weight: what the store loses matters more often than cuts.
constexpr std::array kinds{
    write_config_step,
    write_config_step,
    register_target,
    announce_leaving,
    announce_leaving,
    remove_target,
    start_target_again,
    expire_entry,
    take_copy,
    take_copy,
    store_return,
    store_return,
    store_return,
    store_outage,
    cut_from_store,
    cut_from_peers,
    cut_from_all,
    heal,
    heal,
    restart_node,
    change_callers,
};

rc::Gen<std::vector<step>> steps()
{
    const auto kind = rc::gen::map(rc::gen::inRange<std::size_t>(0, kinds.size()),
                                   [](std::size_t i) { return static_cast<int>(kinds.at(i)); });
    // Many steps follow on each other closely, so that answers and messages cross them.
    const auto wait = rc::gen::map(rc::gen::inRange(0, longest_wait_ms),
                                   [](int w) { return w * w / longest_wait_ms; });
    return rc::gen::container<std::vector<step>>(
        rc::gen::tuple(kind, wait, rc::gen::inRange(0, 60), rc::gen::inRange(0, 60)));
}

/// What the orders of a run met, so that a run that meets nothing is seen.
struct coverage {
    int orders = 0;
    int returns = 0;
    int learned_from_store = 0;
    int learned_from_peer = 0;
    int stale_answers = 0;
};

void play(const scenario& s, coverage& met)
{
    simulation sim(s);
    sim.run();
    ++met.orders;
    met.returns += sim.returns;
    met.learned_from_store += sim.learned_from_store;
    met.learned_from_peer += sim.learned_from_peer;
    met.stale_answers += sim.stale_answers;
    if (!sim.violations.empty()) {
        RC_LOG() << "seed " << s.seed << ", " << s.nodes << " nodes, answers without era "
                 << s.omits_era << '\n';
        for (const auto& line : sim.events) {
            RC_LOG() << line << '\n';
        }
    }
    RC_ASSERT(sim.violations.empty());
}

/// Plays drawn orders with the parameters of RC_PARAMS, but as many as `orders()` states.
bool holds(bool omits_era, coverage& met)
{
    auto parameters = rc::detail::configuration().testParams;
    parameters.maxSuccess = orders();
    const auto result = rc::detail::checkTestable(
        [&met, omits_era] {
            const auto seed = *rc::gen::arbitrary<std::uint64_t>();
            play({seed, *rc::gen::inRange(3, 5), omits_era, *steps()}, met);
        },
        rc::detail::TestMetadata{}, parameters);
    rc::detail::printResultMessage(result, std::cerr);
    std::cerr << '\n';
    return result.template is<rc::detail::SuccessResult>();
}

} // namespace

// Guards against a node that goes back to the configuration of the copy, uses a target that left,
// drops one that lives, or reads the store more often than once per return.
TEST_CASE("store_return_drawn_orders_keep_config_drain_and_route")
{
    coverage met;
    const bool is_kept = holds(false, met);
    std::cerr << met.orders << " orders, " << met.returns << " returns, learned "
              << met.learned_from_store << " times from the store and " << met.learned_from_peer
              << " from peers, " << met.stale_answers << " stale answers\n";
    REQUIRE(is_kept);
    // A model without returns, late answers or messages would show nothing.
    CHECK(met.returns > met.orders / 4);
    CHECK(met.learned_from_store > 0);
    CHECK(met.learned_from_peer > 0);
    CHECK(met.stale_answers > 0);
}

// Guards against the same where some answers of the store lack the era.
TEST_CASE("store_return_answers_without_era_keep_config_drain_and_route")
{
    coverage met;
    REQUIRE(holds(true, met));
    CHECK(met.returns > met.orders / 4);
}
