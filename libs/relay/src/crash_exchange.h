#pragma once

#include "deadline_queue.h"
#include "node_codec.h"

#include "dispatch/content_scopes.h"
#include "dispatch/crash_watch.h"
#include "spread/spread_member.h"

#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace trefoil {

/// Tells the other nodes of crashes and learns of theirs, so that all know what to hold back.
///
/// A crash is told to all nodes at once. What was lost on the way is repaired whenever a node asks
/// another for published state: both compare their records. A node that starts asks several nodes
/// until one that has been running for longer answered.
class crash_exchange {
public:
    struct ways {
        /// All nodes, by address.
        std::function<spread_members()> members;
        std::function<void(const std::string& address, std::string bytes)> send;
        std::string own_address;
    };

    crash_exchange(deadline_queue& deadlines, ways w);

    /// Begins to ask for the records of others.
    void start();

    /// The question for a peer's records, to be sent with the question for its published state.
    std::string request_text() const;

    /// The own target answered a request with this content.
    void answered(const content_scopes& content, unsigned status);

    /// The own target crashed while it ran these.
    void target_crashed(const std::vector<content_scopes>& contents);

    /// Time until the content may be tried again; none if it is not held back.
    std::optional<std::chrono::milliseconds> held_back(const content_scopes& content) const;

    /// Whether the content was running at a crash, and nobody is known to have served it since.
    bool is_suspect(const content_scopes& content) const;

    /// Fingerprints of which crashes are known, and those of them that are suspect.
    std::size_t known() const noexcept { return watch_.known(); }
    std::size_t suspects() const noexcept { return watch_.suspects(); }

    /// False: no content is held back.
    bool holds_any() const noexcept { return watch_.suspects() > 0; }

    /// Handles a message of a peer. Returns the bytes to send back, if any. Throws
    /// invalid_node_message.
    std::optional<std::string> reply_to(const raw_node_message& message);

private:
    void count_told(const struct crash_message& told);
    void take_released(content_fingerprint content);
    std::optional<std::string> reply_to_request(const struct records_request_message& request);
    void take_records(const struct records_message& told);
    void ask_all(content_fingerprint content);
    void ask_for_records();
    void send_to_all(const std::string& bytes);

    deadline_queue& deadlines_;
    ways ways_;
    crash_watch watch_;
    /// Suspects of which this node asked whether they were served.
    std::set<content_fingerprint> asked_;
    std::mt19937_64 random_;
    mono_time started_;
    /// No node that has been running for longer has told its records yet.
    bool is_new_ = true;
};

} // namespace trefoil
