#include "dispatch/running_requests.h"

namespace trefoil {

std::string running_requests::parent_id(const std::string& id) const
{
    const auto end = separator_ == 0 ? std::string::npos : id.rfind(separator_);
    return end == std::string::npos ? std::string() : id.substr(0, end);
}

void running_requests::end(const std::string& id, bool succeeded)
{
    const auto ended = running_.extract(id);
    if (ended && succeeded) {
        calls_per_run_.record(ended.mapped().route, ended.mapped().calls);
    }
}

std::optional<running_request> running_requests::record_call(const std::string& id)
{
    const auto parent = running_.find(parent_id(id));
    if (parent == running_.end()) {
        return std::nullopt;
    }
    ++parent->second.calls;
    return parent->second;
}

void running_requests::record_call_succeeded(const std::string& id)
{
    const auto parent = running_.find(parent_id(id));
    if (parent != running_.end()) {
        ++parent->second.succeeded_calls;
    }
}

double running_requests::other_calls(const running_request& request) const
{
    return calls_per_run_.usual(request.route) - request.succeeded_calls - 1.0;
}

} // namespace trefoil
