#pragma once

#include "base/names.h"
#include "spread/message_header.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace trefoil {

/// Why a message between nodes was refused.
enum class message_refusal : std::uint8_t {
    oversized,
    malformed,
    other_protocol,
    other_cluster,
    unknown_sender,
    replayed,
};

inline constexpr std::size_t message_refusal_count = 6;

/// For example `unknown-sender`.
std::string_view to_string(message_refusal reason) noexcept;
/// Inverse of to_string; empty for any other text.
std::optional<message_refusal> parse_message_refusal(std::string_view text) noexcept;

struct message_guard_options {
    std::string cluster;
    std::uint32_t protocol = protocol_version;
    /// Largest request in bytes; results may be larger.
    std::size_t largest_request = std::size_t{256} * 1024;
};

/// Refuses messages that must not be acted on and counts them by reason. Not thread-safe.
class message_guard {
public:
    /// A sequence this far behind the highest of its incarnation is still accepted, once.
    static constexpr std::uint64_t window = 64;

    explicit message_guard(message_guard_options options) : options_(std::move(options)) {}

    /// Names that may send; those of the accepted VM list. Records about others are dropped.
    void set_members(const std::vector<vm_name>& members);

    /// Empty if the message may be acted on. The first message of a sender opens its window; a
    /// lower incarnation than the highest seen counts as replayed.
    std::optional<message_refusal> check(const message_header& header, std::size_t bytes);

    /// Counts a message that could not be parsed.
    void count_malformed() noexcept
    {
        ++refused_[static_cast<std::size_t>(message_refusal::malformed)];
    }

    std::uint64_t refused(message_refusal reason) const noexcept
    {
        return refused_[static_cast<std::size_t>(reason)];
    }

private:
    struct sender_window {
        std::uint64_t incarnation = 0;
        std::uint64_t highest = 0;
        /// Bit i: sequence highest - 1 - i was seen.
        std::uint64_t seen = 0;
    };

    std::optional<message_refusal> judge(const message_header& header, std::size_t bytes);
    static bool accept(sender_window& sender, const message_header& header);

    message_guard_options options_;
    std::unordered_set<vm_name> members_;
    std::unordered_map<vm_name, sender_window> senders_;
    std::array<std::uint64_t, message_refusal_count> refused_{};
};

} // namespace trefoil
