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
    /// Maximum size of a request in bytes; results may be larger.
    std::size_t max_request_bytes = std::size_t{256} * 1024;
};

/// Checks sender, cluster, protocol version, size and sequence of messages between nodes, and
/// counts refusals by reason. Not thread-safe.
class message_guard {
public:
    /// Replay window: a sequence number at most this far below the highest of its incarnation is
    /// accepted once.
    static constexpr std::uint64_t window = 64;

    explicit message_guard(message_guard_options options) : options_(std::move(options)) {}

    /// Sets the allowed senders: the names of the accepted VM list. Replay windows of other senders
    /// are discarded.
    void set_members(const std::vector<vm_name>& members);

    /// Returns the reason for a refusal; empty if the message is valid. The first message of a
    /// sender starts its replay window; an incarnation below the highest seen counts as replayed.
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

    std::optional<message_refusal> evaluate(const message_header& header, std::size_t bytes);
    static bool accept(sender_window& sender, const message_header& header);

    message_guard_options options_;
    std::unordered_set<vm_name> members_;
    std::unordered_map<vm_name, sender_window> senders_;
    std::array<std::uint64_t, message_refusal_count> refused_{};
};

} // namespace trefoil
