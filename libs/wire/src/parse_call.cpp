#include "wire/parse_call.h"

#include "wire/call_headers.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace trefoil {

namespace {

constexpr std::string_view call_prefix = "/call/";

bool is_name_char(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_' ||
           c == '-' || c == '.';
}

bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= call_headers::max_name_length &&
           std::ranges::all_of(text, is_name_char);
}

std::string required_name(const header_lookup& headers, std::string_view header)
{
    const auto value = headers(header);
    if (!value) {
        throw malformed_call(header, "missing");
    }
    if (!is_name(*value)) {
        throw malformed_call(header, "not a name");
    }
    return std::string(*value);
}

/// Value of a header that may be absent. Throws malformed_call if it is not a number up to `max`.
std::optional<std::uint64_t> optional_uint64(const header_lookup& headers, std::string_view header,
                                             std::uint64_t max)
{
    const auto text = headers(header);
    if (!text) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (error != std::errc() || end != text->data() + text->size()) {
        throw malformed_call(header, "not a number");
    }
    if (value > max) {
        throw malformed_call(header, "too large");
    }
    return value;
}

std::optional<std::uint32_t> optional_uint32(const header_lookup& headers, std::string_view header,
                                             std::uint32_t max)
{
    const auto value = optional_uint64(headers, header, max);
    return value ? std::optional(static_cast<std::uint32_t>(*value)) : std::nullopt;
}

std::optional<request_id> optional_request_id(const header_lookup& headers, std::string_view header)
{
    const auto text = headers(header);
    if (!text) {
        return std::nullopt;
    }
    try {
        return request_id::parse(*text);
    }
    catch (const invalid_request_id& e) {
        throw malformed_call(header, e.what());
    }
}

void read_request_target(std::string_view request_target, call_context& call)
{
    if (!request_target.starts_with(call_prefix)) {
        throw malformed_call("path", "does not start with /call/");
    }
    request_target.remove_prefix(call_prefix.size());
    const auto slash = request_target.find('/');
    const auto service = request_target.substr(0, slash);
    if (!is_name(service)) {
        throw malformed_call("path", "names no service");
    }
    call.service = service_name(std::string(service));
    call.path = slash == std::string_view::npos ? "/" : std::string(request_target.substr(slash));
}

void read_deadline(const header_lookup& headers, call_context& call)
{
    const auto max = static_cast<std::uint64_t>(call_headers::max_deadline.count());
    if (const auto deadline = optional_uint64(headers, call_headers::deadline_ms, max)) {
        call.time_left = std::chrono::milliseconds(*deadline);
    }
}

void read_target(const header_lookup& headers, call_context& call)
{
    if (headers(call_headers::target)) {
        call.target = vm_name(required_name(headers, call_headers::target));
    }
    if (call.target && call.parent) {
        throw malformed_call(call_headers::target,
                             "contradicts " + std::string(call_headers::parent));
    }
    if (call.target && !call.id) {
        throw malformed_call(call_headers::request_id, "missing on a forwarded call");
    }
}

} // namespace

call_context parse_call(std::string_view request_target, const header_lookup& headers)
{
    constexpr std::uint32_t max_count = 1000;
    constexpr auto max_version = std::numeric_limits<std::uint64_t>::max();
    call_context call;
    read_request_target(request_target, call);
    call.id = optional_request_id(headers, call_headers::request_id);
    call.group = group_name(required_name(headers, call_headers::group));
    call.kind = kind_name(required_name(headers, call_headers::kind));
    read_deadline(headers, call);
    call.retries_left = optional_uint32(headers, call_headers::retries_left, max_count);
    call.attempt = optional_uint32(headers, call_headers::attempt, max_count);
    call.depth = optional_uint32(headers, call_headers::depth, call_headers::max_depth).value_or(0);
    call.parent = optional_request_id(headers, call_headers::parent);
    read_target(headers, call);
    call.sender_list.value =
        optional_uint64(headers, call_headers::list_revision, max_version).value_or(0);
    call.sender_config.value =
        optional_uint64(headers, call_headers::config_version, max_version).value_or(0);
    return call;
}

} // namespace trefoil
