#include "pending_call.h"

#include <algorithm>

namespace trefoil {

std::chrono::milliseconds objective_left(const pending_call& call, mono_time now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        call.request.arrived + call.matched_route->objective - now);
}

entering_request entering_request_of(const pending_call& call)
{
    return {route_key(call.matched_route->name), call.rank,
            objective_left(call, boot_clock::now())};
}

call_message call_message_of(const pending_call& call, const target_state& target,
                             std::size_t max_answer_bytes)
{
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(call.deadline - boot_clock::now());
    call_message message;
    message.time_left_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(1, left.count()));
    const auto extra = std::chrono::duration_cast<std::chrono::milliseconds>(call.request_deadline -
                                                                             call.deadline);
    message.request_extra_ms = static_cast<std::uint32_t>(extra.count());
    message.route = route_key(call.matched_route->name);
    message.rank = call.rank;
    message.idempotent = call.matched_route->idempotent;
    message.nested = call.nested;
    message.target_id = target.entry.id.id;
    message.id = call.request.id;
    message.method = call.request.method;
    message.target = call.request.target;
    message.host = call.request.host;
    message.headers = call.request.headers;
    message.body = call.request.body;
    message.answer_limit = max_answer_bytes;
    message.service = call.service.str();
    message.repeated = call.is_part_of_retry || call.history.received_attempts > 0;
    message.chance = to_wire_level(call.chance);
    return message;
}

} // namespace trefoil
