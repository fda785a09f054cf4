#pragma once

#include "base/names.h"
#include "base/versions.h"
#include "quarantine/crash_report.h"
#include "spread/content_digest.h"
#include "spread/invalid_message.h"
#include "spread/message_header.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

/// A VM that announced that it is leaving. The announcement holds for this incarnation only, so
/// that a VM of the same name can return.
struct leaving_vm {
    vm_name vm;
    std::uint64_t incarnation = 0;

    friend bool operator==(const leaving_vm&, const leaving_vm&) = default;
};

/// State that a node sends to a peer: its versions, and the leaving VMs, suspected VMs and crashes
/// known to it. Both request and result of `exchange`.
struct exchange_message {
    /// Maximum entries of each list in one message. A sender with more puts the newest first;
    /// to_json omits the rest.
    static constexpr std::size_t max_list_entries = 128;
    /// Maximum crash reports in one message, and maximum crashes and ids in one report.
    static constexpr std::size_t max_crash_reports = 32;
    static constexpr std::size_t max_crash_report_entries = 8;
    /// Longer ages are clamped to this one, which keeps conversions to nanoseconds in range.
    static constexpr std::chrono::milliseconds max_age = std::chrono::hours(24 * 30);

    message_header header = {};
    config_version config = {};
    content_digest config_digest = {};
    list_revision list = {};
    content_digest list_digest = {};
    /// Time since the last confirmed platform contact known to the sender; empty if none is known.
    std::optional<std::chrono::milliseconds> contact_age = {};
    std::vector<leaving_vm> leaving = {};
    std::vector<vm_name> suspected = {};
    std::vector<crash_report> crashes = {};

    friend bool operator==(const exchange_message&, const exchange_message&) = default;
};

/// Serializes to a JSON object on one line; below 128 KB if names are within max_name_bytes.
std::string to_json(const exchange_message& message);

/// Parses the output of to_json. Unknown fields are ignored. Throws invalid_message.
exchange_message parse_exchange(std::string_view json);

} // namespace trefoil
