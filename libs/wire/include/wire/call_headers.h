#pragma once

#include <chrono>
#include <cstddef>
#include <string_view>

/// Header names and limits of the call interface, see section 3 of docs/design.md.
namespace trefoil::call_headers {

inline constexpr std::string_view request_id = "trefoil-request-id";
inline constexpr std::string_view group = "trefoil-group";
inline constexpr std::string_view kind = "trefoil-kind";
inline constexpr std::string_view deadline_ms = "trefoil-deadline-ms";
inline constexpr std::string_view retries_left = "trefoil-retries-left";
inline constexpr std::string_view attempt = "trefoil-attempt";
inline constexpr std::string_view depth = "trefoil-depth";
inline constexpr std::string_view parent = "trefoil-parent";
inline constexpr std::string_view target = "trefoil-target";
inline constexpr std::string_view expires_at = "trefoil-expires-at";
inline constexpr std::string_view list_revision = "trefoil-list-revision";
inline constexpr std::string_view config_version = "trefoil-config-version";
inline constexpr std::string_view outcome = "trefoil-outcome";
inline constexpr std::string_view reason = "trefoil-reason";
inline constexpr std::string_view retry_after_ms = "trefoil-retry-after-ms";
inline constexpr std::string_view admit = "trefoil-admit";
inline constexpr std::string_view draining = "trefoil-draining";

/// Total size of the headers of one request or answer, in bytes.
inline constexpr std::size_t max_header_bytes = std::size_t{8} * 1024;
inline constexpr std::size_t max_body_bytes = std::size_t{1024} * 1024;
inline constexpr std::size_t max_name_length = 64;
/// Call graphs are up to 19 calls deep; a call beyond this depth is assumed to be in a loop.
inline constexpr unsigned max_depth = 32;
inline constexpr std::chrono::milliseconds max_deadline{30'000};

} // namespace trefoil::call_headers
