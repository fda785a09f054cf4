#include "relay_fixture.h"

#include "base/time.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace std::chrono_literals;
using namespace trefoil;

namespace {

using reply = stand_in_target::reply;
using end = stand_in_target::reply::end;

/// Number of seeds; more by hand with the environment variable.
unsigned seed_count()
{
    const auto* const text = std::getenv("TREFOIL_SOAK_SEEDS");
    return text == nullptr ? 12 : static_cast<unsigned>(std::strtoul(text, nullptr, 10));
}

/// A base class, so that the contexts outlive the nodes.
struct node_contexts {
    std::array<asio::io_context, 2> contexts;
};

/// Two nodes beside targets, each with callers of its own. Nodes are paused, callers come, leave in
/// several ways or stay on their kept connections, all overlapping, by a seed.
class departure_soak : private node_contexts, public relay_fixture {
public:
    explicit departure_soak(unsigned seed) : random_(seed)
    {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            nodes_[i].owner = &add_vm(
                "back-" + std::to_string(i), "orders", [this](const auto& r) { return respond(r); },
                contexts[i]);
        }
        auto config = config_for("orders", false, config_version{1}, 2500ms);
        config.routes.push_back(config.routes.front());
        config.routes.back().name = "idempotent";
        config.routes.back().prefix = "/read/";
        config.routes.back().idempotent = true;
        publish(config, {{nodes_[0].owner, "back-0"}, {nodes_[1].owner, "back-1"}});
    }

    /// Runs everything for a while, then lets all callers finish and stops the nodes.
    void run()
    {
        for (const auto until = boot_clock::now() + 2s; boot_clock::now() < until;) {
            step();
            act();
        }
        // All are answered by their deadlines; the limits only end a run that failed.
        for (const auto until = boot_clock::now() + 20s;
             boot_clock::now() < until && !all_answered();) {
            step();
        }
        int stopped = 0;
        for (auto& n : nodes_) {
            n.owner->node->drain([&stopped] { ++stopped; });
        }
        for (const auto until = boot_clock::now() + 20s;
             boot_clock::now() < until && stopped < 2;) {
            step();
        }
        CHECK(stopped == 2);
        CHECK(all_answered());
        CHECK(count_late() == 0);
        CHECK(count_run_unread() == 0);
        CHECK(count_wrong() == 0);
    }

private:
    struct pause {
        mono_time from;
        mono_time until;
    };

    /// A longer step means that the test itself was given no processor time.
    static constexpr std::chrono::milliseconds max_step{50};

    struct node_state {
        vm* owner = nullptr;
        /// The last one is the current one, or has ended.
        std::vector<pause> pauses = {{}};
    };

    struct caller {
        explicit caller(asio::io_context& context) : socket(context) {}

        tcp::socket socket;
        std::string id;
        std::string answer;
        std::size_t node = 0;
        mono_time sent;
        mono_time leaves = mono_time::max();
        /// Both the request and the close came while the node was paused.
        bool is_within_pause = false;
        bool has_left = false;
    };

    reply respond(const stand_in_target::request& r)
    {
        const std::string id(r["trefoil-request-id"]);
        read_at_.emplace(id, boot_clock::now());
        ++runs_[id];
        const bool is_slow = random_() % 4 == 0;
        return is_slow ? reply{"", end::silent} : reply{stand_in_target::answer(r, id), end::keep};
    }

    void step()
    {
        const auto now = boot_clock::now();
        if (now - last_step_ > max_step) {
            stalls_.push_back({last_step_, now});
        }
        last_step_ = now;
        context.poll();
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (now >= nodes_[i].pauses.back().until) {
                contexts[i].poll();
            }
        }
        for (auto& c : callers_) {
            advance(*c, now);
        }
        std::this_thread::sleep_for(1ms);
    }

    void act()
    {
        const auto now = boot_clock::now();
        if (random_() % 3 == 0) {
            start_caller(now);
        }
        if (random_() % 100 == 0) {
            auto& pauses = nodes_[random_() % nodes_.size()].pauses;
            if (now >= pauses.back().until) {
                pauses.push_back({now, now + std::chrono::milliseconds(100 + random_() % 1000)});
            }
        }
    }

    void start_caller(mono_time now)
    {
        auto c = std::make_unique<caller>(context);
        c->id = "id-" + std::to_string(callers_.size());
        c->node = random_() % nodes_.size();
        c->sent = now;
        c->socket.connect(nodes_[c->node].owner->settings.outbound);
        const bool idempotent = random_() % 2 == 0;
        if (idempotent) {
            idempotent_.insert(c->id);
        }
        const std::string line = idempotent ? "GET /read/1 HTTP/1.1" : "GET /work/1 HTTP/1.1";
        asio::write(c->socket, asio::buffer(request_text(c->id, {}, line)));
        if (random_() % 2 == 0) {
            c->leaves = now + std::chrono::milliseconds(random_() % 300);
        }
        c->socket.non_blocking(true);
        callers_.push_back(std::move(c));
    }

    void advance(caller& c, mono_time now)
    {
        if (c.has_left) {
            return;
        }
        std::array<char, 1024> bytes{};
        boost::system::error_code error;
        const auto count = c.socket.read_some(asio::buffer(bytes), error);
        c.answer.append(bytes.data(), error ? 0 : count);
        if (now < c.leaves) {
            return;
        }
        c.has_left = true;
        c.leaves = now;
        const auto& last = nodes_[c.node].pauses.back();
        c.is_within_pause = c.sent > last.from && now < last.until;
        if (random_() % 2 == 0) {
            c.socket.set_option(asio::socket_base::linger(true, 0), error);
        }
        c.socket.close(error);
    }

    bool all_answered() const
    {
        return std::ranges::all_of(callers_, [](const auto& c) {
            return c->has_left || c->answer.find("\r\n\r\n") != std::string::npos;
        });
    }

    /// Requests that reached a target although the entry node was paused all the time between their
    /// arrival and the close.
    std::size_t count_run_unread() const
    {
        return std::ranges::count_if(callers_, [this](const auto& c) {
            return c->is_within_pause && read_at_.contains(c->id);
        });
    }

    /// Requests that reached a target over half a second after their callers had left, or after the
    /// end of the last pause in between.
    std::size_t count_late() const
    {
        return std::ranges::count_if(callers_, [this](const auto& c) {
            const auto read = read_at_.find(c->id);
            if (!c->has_left || read == read_at_.end()) {
                return false;
            }
            auto known = c->leaves;
            const auto postpone = [&](const std::vector<pause>& pauses) {
                for (const auto& p : pauses) {
                    known = p.from < read->second ? std::max(known, p.until) : known;
                }
            };
            postpone(stalls_);
            for (const auto& n : nodes_) {
                postpone(n.pauses);
            }
            return read->second > known + 500ms;
        });
    }

    /// Answers of other requests, work that ran twice, or that ran although its caller was told
    /// not.
    std::size_t count_wrong() const
    {
        return std::ranges::count_if(callers_, [this](const auto& c) {
            const auto runs = runs_.contains(c->id) ? runs_.at(c->id) : 0;
            const bool is_idempotent = idempotent_.contains(c->id);
            const bool is_success = c->answer.starts_with("HTTP/1.1 200");
            const bool is_refusal = c->answer.starts_with("HTTP/1.1 503");
            return (is_success && !c->answer.ends_with("\r\n\r\n" + c->id)) ||
                   (!is_idempotent && (runs > 1 || (is_refusal && runs > 0)));
        });
    }

    std::array<node_state, 2> nodes_;
    std::vector<pause> stalls_;
    mono_time last_step_ = boot_clock::now();
    std::mt19937 random_;
    std::vector<std::unique_ptr<caller>> callers_;
    std::map<std::string, mono_time> read_at_;
    std::map<std::string, int> runs_;
    std::set<std::string> idempotent_;
};

} // namespace

// Guards against work for callers that have left, and against answers that are lost or wrong, while
// pauses and departures overlap.
TEST_CASE("departed_callers_soak_overlapping_pauses_keep_all_rules")
{
    for (unsigned seed = 1; seed <= seed_count(); ++seed) {
        INFO("seed " << seed);
        departure_soak(seed).run();
    }
}
