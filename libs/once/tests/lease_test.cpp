#include "once/once_guard.h"

#include <catch2/catch.hpp>

using namespace trefoil;
using namespace std::chrono_literals;

/// The node of VM `a`; the test supplies the answers of its peers.
struct lease_fixture {
    mono_time start{1h};
    wall_time wall{std::chrono::milliseconds(1'700'000'000'000)};
    once_options options{.lease = std::chrono::milliseconds(2000)};
    list_history history{options};
    lease_grants grants{options, history, start};
    ownership_lease lease{options, vm_name("a"), history, grants, start};

    static member_list members(std::uint64_t revision, const std::string& letters)
    {
        std::vector<vm_name> names;
        for (const char c : letters) {
            names.emplace_back(std::string(1, c));
        }
        return {{revision}, names};
    }

    void answer(const std::string& letters, mono_time sent, mono_time now, bool granted = true)
    {
        const auto* list = history.current();
        for (const char c : letters) {
            const grant_request request{list->revision(), list->digest(), options.lease};
            lease.receive({vm_name(std::string(1, c)), request, sent},
                          {granted, true, list->revision(), {}}, now, wall);
        }
    }

    /// Makes the node ready and adopts a second list, for which it holds no lease yet.
    mono_time change_list(const std::string& before, const std::string& after)
    {
        lease.update_list(members(1, before), start);
        lease.poll(start, wall, 1);
        answer(before.substr(1), start, start, false);
        lease.update_list(members(2, after), start + 3s);
        lease.poll(start + 3s, wall, 2);
        return start + 3s;
    }

    grant_result ask(std::uint64_t revision, const std::string& letters, mono_time now)
    {
        return grants.grant({{revision}, members(revision, letters).digest(), options.lease}, now);
    }
};

// Guards against majorities of the old and the new list that run work at the same time.
TEST_CASE_METHOD(lease_fixture, "lease_after_list_change_needs_majority_of_both_lists")
{
    const auto now = change_list("abcde", "abc");
    answer("b", now, now);
    REQUIRE_FALSE(lease.holds(now));
    answer("d", now, now);
    REQUIRE(lease.holds(now));
}

// Guards against an isolated listed member that still grants leases for the old list to removed
// members.
TEST_CASE_METHOD(lease_fixture, "lease_after_old_list_timeout_needs_every_listed_old_member")
{
    change_list("abcde", "abc");
    const auto late = start + 34s;
    lease.poll(late, wall, 3);
    answer("b", late, late);
    REQUIRE_FALSE(lease.holds(late));
    answer("c", late, late);
    REQUIRE(lease.holds(late));
}

// Guards against a lease that outlasts its grants because an answer arrived late.
TEST_CASE_METHOD(lease_fixture, "lease_with_late_answer_counts_from_sending")
{
    const auto now = change_list("abc", "abcd");
    answer("bcd", now, now + 1500ms);
    REQUIRE(lease.holds(now + 1999ms));
    REQUIRE_FALSE(lease.holds(now + 2000ms));
}

// Guards against counting a grant from an earlier period with the same members, which does not show
// that the peer no longer uses the list in between.
TEST_CASE_METHOD(lease_fixture, "lease_ignores_grants_from_before_the_members_returned")
{
    const auto now = change_list("abc", "abd");
    const grant_request old{{1}, members(1, "abc").digest(), options.lease};
    lease.update_list(members(3, "abc"), now);
    lease.poll(now, wall, 3);
    for (const char* peer : {"b", "c", "d"}) {
        lease.receive({vm_name(peer), old, now}, {true, true, {1}, {}}, now, wall);
    }
    REQUIRE_FALSE(lease.holds(now));
}

// Guards against conflicting grants by a process that lost its earlier grants in a restart.
TEST_CASE_METHOD(lease_fixture, "grants_after_start_wait_for_lease_time_and_peers")
{
    lease.update_list(members(1, "abc"), start);
    lease.poll(start, wall, 1);
    REQUIRE_FALSE(ask(1, "abc", start + 3s).granted);
    answer("bc", start, start, false);
    REQUIRE_FALSE(ask(1, "abc", start + 2019ms).granted);
    REQUIRE(ask(1, "abc", start + 2020ms).granted);
}

// Guards against grants for two member lists at the same time or in decreasing order of revision.
TEST_CASE_METHOD(lease_fixture, "grants_for_new_members_wait_for_old_grants_and_never_decrease")
{
    lease.update_list(members(1, "abc"), start);
    lease.poll(start, wall, 1);
    answer("bc", start, start, false);
    const auto now = start + 10s;
    REQUIRE(ask(5, "abc", now).granted);
    REQUIRE(ask(1, "abc", now).revision == list_revision{5});
    history.adopt(members(4, "abd"), now);
    REQUIRE_FALSE(ask(4, "abd", now + 3s).granted);
    history.adopt(members(6, "abe"), now);
    REQUIRE_FALSE(ask(6, "abe", now + 2019ms).granted);
    REQUIRE(ask(6, "abe", now + 2020ms).granted);
    history.adopt(members(7, "abc"), now);
    REQUIRE_FALSE(ask(5, "abc", now + 9s).granted);
}

/// A service of one VM, which alone forms the majority.
struct guard_fixture : lease_fixture {
    once_guard guard{options, vm_name("a"), service_name("s"), start};
    mono_time now = start + 30s;

    guard_fixture()
    {
        vm_list list{{1}, {{vm_name("a"), {}, service_name("s"), "", 1, 1, vm_state::live}}};
        guard.update_list(list, start);
        guard.poll(now, wall, 1);
    }

    request_id created(std::chrono::milliseconds after) const
    {
        return request_id::from_parts(wall + after, 1, 2);
    }
};

// Guards against an upstream that starts the work after another node has acquired the lease.
TEST_CASE_METHOD(guard_fixture, "hand_off_expires_with_the_lease_less_the_clock_skew")
{
    const auto begun = guard.begin_hand_off(created(1200ms), 0, now + 1200ms, wall + 1200ms);
    REQUIRE(std::get<hand_off>(begun).expires_at == wall + 1500ms);
    const auto late = guard.begin_hand_off(created(1201ms), 0, now + 1500ms, wall + 1500ms);
    REQUIRE(std::get<refusal>(late).reason == refusal_reason::no_lease);
}

// Guards against an id that may have run under an earlier owner whose clock was ahead.
TEST_CASE_METHOD(guard_fixture, "admit_id_created_before_lease_and_skew_is_refused")
{
    const auto at = [&](std::chrono::milliseconds age, send_attempt attempt) {
        return guard.admit(created(age), attempt, now + 1100ms, wall + 1100ms);
    };
    REQUIRE(std::get<refusal>(at(1000ms, 1)).reason == refusal_reason::ownership_uncertain);
    REQUIRE(std::get<refusal>(at(1000ms, 1)).reported == outcome::unknown);
    REQUIRE(std::get<refusal>(at(1000ms, 0)).reported == outcome::not_run);
    REQUIRE(std::holds_alternative<proceed>(at(1001ms, 1)));
    REQUIRE(std::get<refusal>(at(1601ms, 1)).reason == refusal_reason::malformed);
}
