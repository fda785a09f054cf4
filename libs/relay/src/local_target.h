#pragma once

#include "crash_exchange.h"
#include "deadline_queue.h"
#include "decision_log.h"
#include "node_message.h"
#include "upstream_client.h"

#include "relay/http_get_client.h"

#include "dispatch/admit_level.h"
#include "dispatch/content_scopes.h"
#include "dispatch/route_levels.h"
#include "dispatch/run_queue.h"
#include "dispatch/target_entry.h"
#include "dispatch/target_identity.h"
#include "dispatch/target_watch.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace trefoil {

/// The target beside this node: queues requests for it, hands them over and reports its load.
class local_target {
public:
    using answer_handler = std::function<void(answer_message)>;

    local_target(asio::io_context& context, deadline_queue& deadlines, tcp::endpoint upstream,
                 const header_dialect& names, answer_limits limits, const route_levels& levels,
                 decision_log& log, crash_exchange& crashes);

    /// Where the target answers status checks, and whether its id may be one of this service. Both
    /// are needed to learn its id when it refuses requests for an earlier one.
    struct identity_source {
        std::string status_path;
        service_name service;
        std::function<bool(const std::string& id)> may_be_of_service;
    };
    void set_identity_source(identity_source source) { identity_source_ = std::move(source); }

    /// Takes over what the target publishes about itself.
    void set_entry(const target_entry& entry);

    /// Offers a request. `done` runs once, possibly at once, unless the request is cancelled.
    std::uint64_t offer(call_message call, const std::string& caller_service, answer_handler done);

    /// The answer is no longer wanted. Work that may run once only is finished all the same.
    void cancel(std::uint64_t ticket);

    /// Looks at the target if it says nothing although it has requests. To be called regularly.
    void look_if_silent();

    /// Turns new requests away from now on.
    void start_draining() { draining_ = true; }

    /// What a call that the target makes has from the request that it belongs to.
    struct parent_run {
        std::uint32_t route = 0;
        std::uint32_t rank = 0;
        /// Deadline of the request at its first hop.
        mono_time request_deadline;
    };

    /// The running request to which a call with this id belongs; none if there is none, so that the
    /// call is a caller's own.
    std::optional<parent_run> parent_of(const std::string& id) const;

    /// Requests that wait or run.
    std::size_t in_flight() const noexcept { return calls_.size(); }

    target_load load() const { return queue_.load(); }
    double level() const noexcept { return level_.value(); }

    /// Admit level for requests of the route, services that they reach by calls included.
    double level_of(std::uint32_t route, mono_time now) const;

private:
    struct running_call {
        call_message call;
        content_scopes content;
        std::string caller_service;
        answer_handler done;
        std::shared_ptr<upstream_exchange> exchange;
        mono_time deadline;
        mono_time request_deadline;
        mono_time offered;
        /// The target refused it once as another one's.
        bool was_misdirected = false;
    };

    /// Whether the process has room for the body of one more request.
    bool has_room_for(const call_message& call) const;
    void advance();
    void start(std::uint64_t ticket);
    void refuse(std::uint64_t ticket);
    bool await_identity(std::uint64_t ticket);
    void ask_identity();
    void on_identity(const http_get_result& status);
    void on_result(std::uint64_t ticket, upstream_result result);
    void note_result(std::uint64_t ticket, const running_call& call, const upstream_result& result);
    void note_broken_off(const running_call& call);
    void report_crash(const char* sign, const target_watch::contents& running);
    /// Connects to the target, to see whether it crashed or only ended a connection.
    void check_alive();
    void on_checked(boost::system::error_code error);
    void finish(std::uint64_t ticket, bool completed, answer_message answer);
    void arm_wakeup();
    void observe(mono_time now);

    deadline_queue& deadlines_;
    upstream_client client_;
    decision_log& log_;
    crash_exchange& crashes_;
    const route_levels& levels_;
    run_queue queue_;
    admit_level level_;
    std::unordered_map<std::uint64_t, running_call> calls_;
    /// Requests at the target, by id.
    std::unordered_map<std::string, parent_run> runs_;
    const header_dialect& names_;
    asio::io_context& context_;
    tcp::endpoint upstream_;
    target_identity identity_;
    identity_source identity_source_;
    /// Asks the target for its id; none if no question is open.
    std::shared_ptr<http_get_client> identity_client_;
    /// Requests that wait for the id.
    std::vector<std::uint64_t> awaiting_identity_;
    /// Bytes of the bodies of all requests that wait or run, and their bound.
    std::size_t body_bytes_ = 0;
    std::size_t most_body_bytes_;
    std::uint64_t last_ticket_ = 0;
    target_watch watch_;
    bool is_check_due_ = false;
    mono_time armed_for_ = mono_time::max();
    double logged_level_ = 1.0;
    bool draining_ = false;
};

} // namespace trefoil
