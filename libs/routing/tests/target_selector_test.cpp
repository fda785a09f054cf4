#include "routing/target_selector.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <random>
#include <set>

using namespace trefoil;

namespace {

using candidate_list = std::vector<target_candidate>;

candidate_list random_candidates(std::uint64_t seed, std::size_t count)
{
    std::mt19937_64 random(seed);
    candidate_list result;
    for (std::size_t i = 0; i < count; ++i) {
        target_candidate c;
        c.vm = vm_name("vm-" + std::to_string(i));
        c.availability_zone = availability_zone_name("zone-" + std::to_string(random() % 3));
        c.healthy = random() % 3 != 0;
        c.leaving = random() % 4 == 0;
        c.trial_due = !c.healthy && random() % 4 == 0;
        c.in_flight = random() % 20;
        c.latency = std::chrono::milliseconds(random() % 3 * 20);
        result.push_back(c);
    }
    return result;
}

struct target_selector_fixture {
    static constexpr std::uint64_t draws = 400;

    target_selector selector;
    availability_zone_name zone{"zone-0"};

    /// The VMs that `draws` selections return.
    std::set<vm_name> chosen(const candidate_list& candidates,
                             trial_policy trials = trial_policy::allowed) const
    {
        std::set<vm_name> result;
        std::mt19937_64 random(7);
        for (std::uint64_t i = 0; i < draws; ++i) {
            if (const auto choice = selector.pick(candidates, zone, {}, random(), trials)) {
                result.insert(choice->target->vm);
            }
        }
        return result;
    }
};

} // namespace

// Guards against calls to a leaving target (rule R6), retries at a target that has just failed, and
// calls other than trials to a suspected target outside panic routing.
TEST_CASE_METHOD(target_selector_fixture,
                 "target_selector_any_candidates_never_picks_leaving_excluded_or_suspected")
{
    REQUIRE(rc::check([this](std::uint64_t seed, std::uint64_t random) {
        const auto candidates = random_candidates(seed, *rc::gen::inRange<std::size_t>(0, 12));
        std::vector<vm_name> excluded;
        for (std::size_t i = 0; i < candidates.size(); i += 4) {
            excluded.push_back(candidates[i].vm);
        }
        const auto not_leaving = std::ranges::count(candidates, false, &target_candidate::leaving);
        const auto healthy = std::ranges::count_if(
            candidates, [](const auto& c) { return c.healthy && !c.leaving; });
        const auto choice = selector.pick(candidates, zone, excluded, random);
        if (!choice) {
            return;
        }
        const auto& target = *choice->target;
        RC_ASSERT(!target.leaving);
        RC_ASSERT(std::ranges::find(excluded, target.vm) == excluded.end());
        RC_ASSERT((choice->mode == selection_mode::panic) == (healthy * 2 < not_leaving));
        if (choice->mode != selection_mode::panic) {
            RC_ASSERT(target.healthy != (choice->mode == selection_mode::trial));
            RC_ASSERT(target.healthy || target.trial_due);
        }
    }));
}

// Guards against overload of the few targets that look healthy when an incorrect view marks most
// targets as unhealthy.
TEST_CASE_METHOD(target_selector_fixture, "target_selector_most_unhealthy_uses_all_that_stay")
{
    auto candidates = random_candidates(1, 7);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        candidates[i].healthy = i < 2;
        candidates[i].leaving = i == 6;
        candidates[i].in_flight = 0;
    }
    REQUIRE(chosen(candidates).size() == 6);
}

// Guards against missing load balancing: the most loaded target loses every comparison of two
// random targets, whether its load is due to calls in flight or to latency.
TEST_CASE_METHOD(target_selector_fixture, "target_selector_most_loaded_target_is_never_picked")
{
    REQUIRE(rc::check([this](std::uint64_t seed) {
        auto candidates = random_candidates(seed, *rc::gen::inRange<std::size_t>(2, 9));
        const bool by_latency = *rc::gen::arbitrary<bool>();
        for (auto& c : candidates) {
            c.healthy = true;
            c.leaving = false;
            c.availability_zone = zone;
            c.latency = std::chrono::milliseconds(10);
        }
        auto& loaded = candidates[seed % candidates.size()];
        loaded.in_flight = by_latency ? 0 : 21;
        loaded.latency = std::chrono::milliseconds(by_latency ? 1000 : 10);
        RC_ASSERT(!chosen(candidates).contains(loaded.vm));
    }));
}

// Guards against unnecessary calls to other zones, and against calls that stay in an overloaded
// zone.
TEST_CASE_METHOD(target_selector_fixture, "target_selector_own_zone_is_left_only_when_overloaded")
{
    candidate_list candidates = random_candidates(1, 4);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        candidates[i].healthy = true;
        candidates[i].leaving = false;
        candidates[i].trial_due = false;
        candidates[i].availability_zone = availability_zone_name(i < 2 ? "zone-0" : "zone-1");
        candidates[i].in_flight = i < 2 ? 3 : 0;
        candidates[i].latency = std::chrono::milliseconds(10);
    }
    const std::set own{candidates[0].vm, candidates[1].vm};
    const std::set other{candidates[2].vm, candidates[3].vm};
    REQUIRE(chosen(candidates) == own);
    candidates[0].in_flight = candidates[1].in_flight = 30;
    REQUIRE(chosen(candidates) == other);
    candidates[0].healthy = candidates[1].healthy = false;
    REQUIRE(chosen(candidates) == other);
}

// Guards against a suspected target that never gets a trial call, and against the use of work that
// cannot be repeated as a trial.
TEST_CASE_METHOD(target_selector_fixture, "target_selector_trial_due_is_tried_only_if_allowed")
{
    auto candidates = random_candidates(1, 4);
    for (auto& c : candidates) {
        c.healthy = true;
        c.leaving = false;
    }
    candidates[2].healthy = false;
    candidates[2].trial_due = true;
    REQUIRE(chosen(candidates) == std::set{candidates[2].vm});
    REQUIRE(!chosen(candidates, trial_policy::forbidden).contains(candidates[2].vm));
}
