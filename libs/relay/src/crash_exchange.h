#pragma once

#include "deadline_queue.h"
#include "node_codec.h"

#include "dispatch/content_fingerprints.h"
#include "dispatch/crash_tracker.h"
#include "spread/gossip_member.h"

#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace trefoil {

/// Replicates crash records between nodes, so that every node quarantines the same request content.
///
/// A crash is reported to all nodes immediately. Lost reports are repaired by anti-entropy: with a
/// request of relay_node::request_state for published state, a node also sends the digest of its
/// crash records, and the peer returns its records if the digests differ. Other requests for
/// published state carry no digest. A node that starts requests records from several nodes until
/// one that is past its own startup has answered, or until the time limit of the startup.
class crash_exchange {
public:
    struct callbacks {
        /// Returns all nodes, named by address.
        std::function<gossip_members()> members;
        /// Sends an encoded message to the node at the address.
        std::function<void(const std::string& address, std::string bytes)> send;
        std::string own_address;
    };

    crash_exchange(deadline_queue& deadlines, callbacks c);

    /// Starts to request crash records from other nodes.
    void start();

    /// Returns an encoded request for a peer's crash records. relay_node::request_state sends it
    /// along with its request for published state; other requests for that state go without it.
    std::string request_text() const;

    /// Records that the local target answered a request with this content. A status that proves the
    /// content harmless marks it as served.
    void answered(const content_fingerprints& content, unsigned status);

    /// Records a crash of the local target while it was processing these requests, and reports it
    /// to all nodes.
    void target_crashed(const std::vector<content_fingerprints>& contents);

    /// Returns the time until the content may be tried again; nullopt if it is not quarantined.
    std::optional<std::chrono::milliseconds>
    quarantine_left(const content_fingerprints& content) const;

    /// True if the content was being processed during a crash and no target is known to have served
    /// it.
    bool is_suspect(const content_fingerprints& content) const;

    /// Number of fingerprints with known crashes, and how many of them are suspect.
    std::size_t known() const noexcept { return tracker_.known(); }
    std::size_t suspects() const noexcept { return tracker_.suspects(); }

    /// False if no content can be quarantined, which lets callers skip the lookup.
    bool has_suspects() const noexcept { return tracker_.suspects() > 0; }

    /// Handles a message from a peer. Returns the encoded reply, if there is one. Throws
    /// invalid_node_message if the message is malformed or too large.
    std::optional<std::string> reply_to(const raw_node_message& message);

private:
    void on_crash(const struct crash_message& message);
    void on_content_served(content_fingerprint content);
    std::optional<std::string> reply_to_request(const struct records_request_message& request);
    void merge_records(const struct records_message& message);
    void query_all(content_fingerprint content);
    void request_records();
    void send_to_all(const std::string& bytes);

    deadline_queue& deadlines_;
    callbacks callbacks_;
    crash_tracker tracker_;
    /// Suspect fingerprints for which this node has asked all nodes whether they were served.
    std::set<content_fingerprint> queried_;
    std::mt19937_64 random_;
    mono_time started_;
    /// True until a node that is past its own startup has sent its records, or until
    /// `startup_limit` (3 s) after the start.
    bool is_starting_ = true;
};

} // namespace trefoil
