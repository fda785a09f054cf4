#include "control/platform_client.h"

#include "http_call.h"
#include "wire/vm_list.h"

#include <charconv>
#include <utility>

namespace trefoil {

namespace {

constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_not_modified = 304;

std::uint64_t parse_version(const std::string& text)
{
    std::uint64_t version = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, version);
    if (parsed.ec != std::errc() || parsed.ptr != end || version == 0) {
        throw invalid_platform_answer("header 'version' is missing or is not a positive integer");
    }
    return version;
}

/// Returns nullopt if nothing newer than `after` was published within `wait`.
std::optional<http_response> watch(const platform_client_options& options, const std::string& path,
                                   std::uint64_t after, std::chrono::milliseconds wait)
{
    const auto query =
        "?after=" + std::to_string(after) + "&wait_ms=" + std::to_string(wait.count());
    try {
        auto response = make_http_call({options.address, options.port, path + query, "",
                                        wait + options.timeout, options.max_value_bytes});
        if (response.status == status_not_modified) {
            return std::nullopt;
        }
        if (response.status != status_ok) {
            throw platform_refused(response.status);
        }
        return response;
    }
    catch (const http_response_too_large& e) {
        throw invalid_platform_answer(e.what());
    }
    catch (const http_call_failed& e) {
        throw platform_unreachable(e.what());
    }
}

} // namespace

platform_unreachable::platform_unreachable(const std::string& detail)
    : platform_call_failed("platform unreachable: " + detail)
{
}

platform_refused::platform_refused(std::uint16_t status)
    : platform_call_failed("platform responded with status " + std::to_string(status)),
      status_(status)
{
}

invalid_platform_answer::invalid_platform_answer(const std::string& detail)
    : platform_call_failed("invalid response from the platform: " + detail)
{
}

platform_client::platform_client(platform_client_options options) : options_(std::move(options)) {}

std::optional<platform_config> platform_client::watch_config(config_version after,
                                                             std::chrono::milliseconds wait)
{
    auto response = watch(options_, "/v1/values/config", after.value, wait);
    if (!response) {
        return std::nullopt;
    }
    return platform_config{{parse_version(response->version)}, std::move(response->body)};
}

std::optional<platform_list> platform_client::watch_list(list_revision after,
                                                         std::chrono::milliseconds wait)
{
    auto response = watch(options_, "/v1/vms", after.value, wait);
    if (!response) {
        return std::nullopt;
    }
    try {
        const auto revision = parse_vm_list(response->body).revision;
        return platform_list{revision, std::move(response->body)};
    }
    catch (const invalid_vm_list& e) {
        throw invalid_platform_answer(e.what());
    }
}

} // namespace trefoil
