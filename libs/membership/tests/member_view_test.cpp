#include "member_view_fixture.h"
#include "routing/target_selector.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <random>

using namespace trefoil;
using namespace std::chrono_literals;

namespace {

/// Applies one random event to a view and returns the changes.
membership_changes random_step(const member_view_fixture& f, member_view& view, std::uint64_t draw)
{
    const auto vm = member_view_fixture::vm(draw / 16 % member_view_fixture::targets);
    switch (draw % 10) {
    case 0: {
        auto list = f.list(draw / 128 % 20);
        if (draw / 4096 % 2 == 0) {
            std::erase_if(list.vms, [&](const auto& entry) { return entry.name == vm; });
        }
        return view.apply_list(list, f.now);
    }
    case 1:
        return view.peer_reported(
            {vm_name("peer-" + std::to_string(draw / 128 % 4)), {1}, {}, {vm}}, f.now);
    case 2:
        return view.tick(f.now);
    case 3:
        return view.incarnation_seen(vm, {5}, f.now);
    case 4:
        return view.connection_failed(vm, f.now);
    case 5:
        return draw / 128 % 4 == 0 ? view.pause_detected(f.now) : view.refreshed(f.now);
    case 6:
        return f.call(view, vm, call_evidence::answered);
    default:
        return f.fail(view, vm);
    }
}

} // namespace

// Guards against a stale list, or any other event, that ends the leaving state of a VM, and against
// the selection of a leaving VM for calls (R6).
TEST_CASE_METHOD(member_view_fixture,
                 "member_view_leaving_vm_stays_leaving_until_newer_incarnation")
{
    REQUIRE(rc::check([this](std::uint64_t seed) {
        std::mt19937_64 draw(seed);
        auto view = make_view();
        const target_selector selector;
        const bool through_peer = draw() % 2 == 0;
        if (through_peer) {
            view.peer_reported({vm(3), {1}, {{vm(0), {5}}}, {}}, now);
        }
        else {
            view.drain_announced(vm(0), {5}, now);
        }
        for (int step = 0; step < 60; ++step) {
            now += std::chrono::milliseconds(draw() % 2000);
            random_step(*this, view, draw());
            RC_ASSERT(!view.status(vm(0)) || is_leaving(view, vm(0)));
            const auto choice = selector.pick(view.candidates(called, now),
                                              availability_zone_name("zone-0"), {}, draw());
            RC_ASSERT((!choice || choice->target->vm != vm(0)));
        }
        view.apply_list(list(100), now);
        RC_ASSERT(is_leaving(view, vm(0)));
        view.incarnation_seen(vm(0), {6}, now);
        RC_ASSERT(!is_leaving(view, vm(0)));
        view.drain_announced(vm(0), {5}, now);
        RC_ASSERT(!is_leaving(view, vm(0)));
    }));
}

// Guards against an older list that reverts the leaving state set by a newer one.
TEST_CASE_METHOD(member_view_fixture, "member_view_older_list_does_not_bring_back_listed_leaving")
{
    auto view = make_view();
    auto newer = list(5);
    newer.vms[0].state = vm_state::leaving;
    REQUIRE(view.apply_list(newer, now).front().reason == membership_reason::listed);
    REQUIRE(view.apply_list(list(4), now).empty());
    REQUIRE(is_leaving(view, vm(0)));
    view.apply_list(list(6), now);
    REQUIRE(!is_leaving(view, vm(0)));
}

// Guards against an audit trail that omits a change or contains one that did not occur.
TEST_CASE_METHOD(member_view_fixture, "member_view_changes_replayed_give_the_marked_vms")
{
    REQUIRE(rc::check([this](std::uint64_t seed) {
        std::mt19937_64 draw(seed);
        auto view = make_view();
        std::map<vm_name, std::pair<bool, bool>> replayed;
        bool self_suspected = false;
        for (int step = 0; step < 200; ++step) {
            now += std::chrono::milliseconds(draw() % 1000);
            auto changes = random_step(*this, view, draw());
            if (draw() % 8 == 0) {
                const auto more = view.drain_announced(vm(draw() % targets), {5 + draw() % 3}, now);
                changes.insert(changes.end(), more.begin(), more.end());
            }
            for (const auto& c : changes) {
                auto& [suspected, leaving] = replayed[c.vm];
                const bool sets = c.change == membership_change_kind::suspected ||
                                  c.change == membership_change_kind::leaving ||
                                  c.change == membership_change_kind::self_suspected;
                switch (c.change) {
                case membership_change_kind::suspected:
                case membership_change_kind::trusted:
                    RC_ASSERT(suspected != sets);
                    suspected = sets;
                    break;
                case membership_change_kind::leaving:
                case membership_change_kind::returned:
                    RC_ASSERT(leaving != sets);
                    leaving = sets;
                    break;
                case membership_change_kind::self_suspected:
                case membership_change_kind::self_trusted:
                    self_suspected = sets;
                    break;
                case membership_change_kind::removed:
                    suspected = leaving = false;
                    break;
                default:
                    break;
                }
            }
            RC_ASSERT(view.suspects_itself() == self_suspected);
            for (std::size_t i = 0; i < targets; ++i) {
                RC_ASSERT(suspects(view, vm(i)) == replayed[vm(i)].first);
                RC_ASSERT(is_leaving(view, vm(i)) == replayed[vm(i)].second);
            }
        }
    }));
}

// Guards against memory use for services that the node neither belongs to nor calls.
TEST_CASE_METHOD(member_view_fixture, "member_view_holds_only_own_and_called_services")
{
    auto view = make_view();
    auto more = list(2);
    more.vms.push_back({vm_name("far"), {}, service_name("refunds"), "127.0.0.1", 1, 2});
    view.apply_list(more, now);
    REQUIRE(!view.status(vm_name("far")));
    view.set_called_services({}, now);
    REQUIRE(!view.status(vm(0)));
    REQUIRE(view.candidates(called, now).empty());
    REQUIRE(view.status(vm_name("own")));
    view.start_leaving(now);
    REQUIRE(view.report().leaving == std::vector{drain_announcement{vm_name("own"), {1}}});
    REQUIRE(view.candidates(own_service, now).front().leaving);
}

// Guards against ids that change their owner because of a suspicion (5.3), and against suspicions
// of an earlier incarnation that are applied to a restarted VM.
TEST_CASE_METHOD(member_view_fixture, "member_view_suspicion_keeps_listing_and_ends_with_the_run")
{
    auto view = make_view();
    view.incarnation_seen(vm(0), {5}, now);
    fail(view, vm(0));
    REQUIRE(suspects(view, vm(0)));
    REQUIRE(view.listed(called).size() == targets);
    const auto changes = view.incarnation_seen(vm(0), {6}, now);
    REQUIRE(changes.front().reason == membership_reason::newer_incarnation);
    REQUIRE(!suspects(view, vm(0)));
}
