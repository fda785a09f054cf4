#pragma once

#include "deadline_queue.h"
#include "node_codec.h"

#include "dispatch/crash_watch.h"
#include "spread/spread_member.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace trefoil {

/// Counts the crashes of contents together with the other nodes, and tells them what to hold back.
/// Each content is counted by two nodes, so that one may be lost. Messages to all nodes are sent
/// only for a content that ran at three crashes.
class crash_exchange {
public:
    struct ways {
        /// All nodes, by address.
        std::function<spread_members()> members;
        std::function<void(const std::string& address, std::string bytes)> send;
        std::string own_address;
    };

    crash_exchange(deadline_queue& deadlines, ways w);

    /// The own target answered a request with this content.
    void answered(content_fingerprint content, unsigned status);

    /// The own target crashed while it ran these.
    void target_crashed(const std::vector<content_fingerprint>& contents);

    /// Time until the content may be tried again; none if it is not held back.
    std::optional<std::chrono::milliseconds> held_back(content_fingerprint content) const;

    /// False: no content is held back.
    bool holds_any() const noexcept { return watch_.holds_any(); }

    /// Handles a message of a peer. Returns the bytes to send back, if any. Throws
    /// invalid_node_message.
    std::optional<std::string> reply_to(const raw_node_message& message);

private:
    void count(content_fingerprint content, std::uint64_t crash);
    void settle();
    void hold_back(content_fingerprint content, std::chrono::milliseconds left);
    std::vector<std::string> counting_nodes(content_fingerprint content) const;
    void send_to_all(const std::string& bytes);

    deadline_queue& deadlines_;
    ways ways_;
    crash_watch watch_;
};

} // namespace trefoil
