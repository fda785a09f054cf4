#include "once_model.h"

#include <algorithm>

namespace once_model {

using namespace trefoil;

namespace {

send_attempt attempt_of(bool stated, int attempt)
{
    return stated ? send_attempt(static_cast<std::uint32_t>(attempt)) : std::nullopt;
}

} // namespace

void simulation::send(int r, int attempt, int entry, bool after_recovery)
{
    if (!nodes_[entry].alive) {
        return;
    }
    on_node(
        entry, now_ + (after_recovery || scenario_.no_random_faults ? 1 : draw(1, 100)),
        [this, r, attempt, entry] {
            const auto answered = std::make_shared<bool>(false);
            sends_.emplace_back(entry, nodes_[entry].incarnation, answered);
            const reply answer = [this, r, attempt, answered](outcome reported) {
                if (*answered) {
                    return;
                }
                *answered = true;
                auto& req = requests_[r];
                req.complete = req.complete || reported == outcome::complete;
                completed += reported == outcome::complete ? 1 : 0;
                if (reported == outcome::not_run) {
                    req.highest_not_run = std::max(req.highest_not_run, attempt);
                }
            };
            const auto& members = nodes_[entry].members;
            const auto* owner = owner_of(requests_[r].id, members);
            if (owner == nullptr) {
                answer(outcome_without_ownership(attempt_of(requests_[r].states_attempt, attempt)));
                return;
            }
            const int target = index_of(*owner);
            on_node(entry, now_ + 3'000, [answer] { answer(outcome::unknown); });
            const bool retries = !scenario_.no_random_faults && chance(40);
            message(entry, target, [=, this] {
                serve(target, r, attempt, [=, this](outcome reported) {
                    message(target, entry, [=, this] {
                        if (reported != outcome::not_run || !retries || *answered) {
                            answer(reported);
                            return;
                        }
                        // The node's own retry after `not-run` keeps the attempt.
                        message(entry, target, [=, this] {
                            serve(target, r, attempt, [=, this](outcome second) {
                                message(target, entry, [=] { answer(second); });
                            });
                        });
                    });
                });
            });
        });
}

void simulation::serve(int n, int r, int attempt, const reply& to_entry)
{
    const reply answer = [=, this](outcome reported) {
        if (reported == outcome::not_run) {
            requests_[r].not_run.push_back({attempt, nodes_[n].members});
        }
        to_entry(reported);
    };
    step(n, true, [=, this](mono_time m, wall_time w) {
        const auto& req = requests_[r];
        const auto sent = attempt_of(req.states_attempt, attempt);
        const auto decision = nodes_[n].guard->admit(req.id, sent, m, w);
        if (const auto* refused = std::get_if<refusal>(&decision)) {
            answer(refused->reported);
        }
        else if (const auto* stored = std::get_if<replay>(&decision)) {
            if (*stored->answer != req.id.to_string()) {
                violations.push_back("answer of another request");
            }
            answer(outcome::complete);
        }
        else if (!scenario_.no_random_faults && chance(15)) {
            step(n, true, [=, this](mono_time rm, wall_time rw) {
                const auto reason = refusal_reason::queue_full;
                answer(nodes_[n].guard->refuse(requests_[r].id, sent, reason, rm, rw).reported);
            });
        }
        else {
            const ms wait = scenario_.no_random_faults ? 0
                            : chance(90)               ? draw(0, 200)
                                                       : draw(0, 3'000);
            on_node(n, now_ + wait, [=, this] { hand_off(n, r, attempt, answer); });
        }
    });
}

void simulation::hand_off(int n, int r, int attempt, const reply& answer)
{
    step(n, true, [=, this](mono_time m, wall_time w) {
        const auto& req = requests_[r];
        const auto sent = attempt_of(req.states_attempt, attempt);
        const auto decision = nodes_[n].guard->begin_hand_off(req.id, sent, m, w);
        if (const auto* refused = std::get_if<refusal>(&decision)) {
            answer(refused->reported);
            return;
        }
        if (std::holds_alternative<replay>(decision)) {
            answer(outcome::complete);
            return;
        }
        const auto expires = std::get<trefoil::hand_off>(decision).expires_at;
        const auto members = nodes_[n].members;
        on_node(n, now_ + random_delay(), [=, this] {
            // The upstream keeps running when the process of its node terminates, and may start the
            // work late.
            at(now_ + 1 + random_delay(),
               [=, this] { start_work(n, r, attempt, expires, members, answer); });
        });
    });
}

void simulation::start_work(int n, int r, int attempt, wall_time expires,
                            const member_list& members, const reply& answer)
{
    if (!nodes_[n].alive) {
        return;
    }
    auto& req = requests_[r];
    const bool shed = wall(n) > expires || (!scenario_.no_random_faults && chance(10));
    const bool lost = !scenario_.no_random_faults && chance(10);
    if (!shed && !(lost && chance(50))) {
        check_lease(n, members, "work started while another node holds a lease for other members");
        ++ran;
        req.runs.push_back({attempt, members});
    }
    on_node(n, now_ + 20, [=, this] {
        auto& guard = *nodes_[n].guard;
        const auto& id = requests_[r].id;
        if (lost) {
            answer(guard.record_unknown_outcome(id, refusal_reason::connection_lost).reported);
        }
        else if (shed) {
            const auto sent = attempt_of(requests_[r].states_attempt, attempt);
            answer(guard.record_not_started(id, sent, refusal_reason::upstream_shed).reported);
        }
        else {
            guard.finish(id, id.to_string());
            answer(outcome::complete);
        }
    });
}

bool simulation::in_residual_case(const member_list& a, const member_list& b) const
{
    // A majority of the older list was removed but keeps running (docs/at-most-once.md).
    const auto& older = a.revision() < b.revision() ? a : b;
    const auto& newer = a.revision() < b.revision() ? b : a;
    const auto removed = std::ranges::count_if(older.names(), [&](const vm_name& name) {
        return !newer.contains(name) && nodes_[index_of(name)].alive;
    });
    return scenario_.removed_vms_survive && static_cast<std::size_t>(removed) >= older.majority();
}

void simulation::check_lease(int n, const member_list& members, const std::string& what)
{
    for (int other = 0; other < static_cast<int>(nodes_.size()); ++other) {
        const auto& o = nodes_[other];
        if (other == n || !o.alive || !o.guard->holds_lease(mono(other))) {
            continue;
        }
        const auto& theirs = nodes_[other].members;
        if (theirs.digest() == members.digest()) {
            continue;
        }
        if (in_residual_case(members, theirs)) {
            ++residual_cases;
        }
        else {
            violations.push_back(what);
        }
    }
}

void simulation::check(const request& r)
{
    const auto text = r.id.to_string();
    if (r.runs.size() > 1) {
        if (r.runs.size() == 2 && in_residual_case(r.runs[0].members, r.runs[1].members)) {
            ++residual_cases;
        }
        else {
            violations.push_back("executed twice: " + text);
        }
    }
    else if (!r.runs.empty() && r.runs[0].attempt <= r.highest_not_run) {
        const bool excused = std::ranges::any_of(r.not_run, [&](const decision_record& reported) {
            return reported.attempt >= r.runs[0].attempt &&
                   in_residual_case(reported.members, r.runs[0].members);
        });
        residual_cases += excused ? 1 : 0;
        if (!excused) {
            violations.push_back("ran although reported as not-run: " + text);
        }
    }
    if (r.must_complete && !r.complete) {
        violations.push_back("not completed without faults: " + text);
    }
}

} // namespace once_model
