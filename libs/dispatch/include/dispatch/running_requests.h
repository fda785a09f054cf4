#pragma once

#include "base/time.h"
#include "dispatch/calls_per_run.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace trefoil {

/// A request that the local target is running, with what its calls inherit from it.
struct running_request {
    std::uint32_t route = 0;
    std::uint32_t rank = 0;
    /// Deadline of the request at its entry node.
    mono_time request_deadline;
    /// The request was sent to another target before.
    bool repeated = false;
    /// Chance that the request at the entry node succeeds if this one does.
    double chance = 1.0;
    /// Number of calls that it has made, and of those that succeeded.
    std::uint32_t calls = 0;
    std::uint32_t succeeded_calls = 0;
};

/// The requests that the local target is running, by id, and the calls that they make. The id of a
/// call is that of the request that makes it, a separator and more.
class running_requests {
public:
    /// `separator` is 0 if the ids of calls do not name the request.
    explicit running_requests(char separator) : separator_(separator) {}

    void start(const std::string& id, const running_request& request) { running_[id] = request; }

    /// Removes a request. `succeeded` is set if the target answered it with success, so that its
    /// calls count for others of its route.
    void end(const std::string& id, bool succeeded);

    /// Whether a running request made the call with this id.
    bool is_call(const std::string& id) const { return running_.contains(parent_id(id)); }

    /// Counts a call for the request that made it, and returns that request; nothing if the call
    /// came from a caller outside the target.
    std::optional<running_request> record_call(const std::string& id);

    /// Records that the call with this id succeeded.
    void record_call_succeeded(const std::string& id);

    /// Number of calls, beyond one that is in progress, that a request of its route usually needs.
    double other_calls(const running_request& request) const;

private:
    std::string parent_id(const std::string& id) const;

    char separator_;
    std::unordered_map<std::string, running_request> running_;
    calls_per_run calls_per_run_;
};

} // namespace trefoil
