#pragma once

#include "base/log_event.h"
#include "dispatch/byte_account.h"
#include "dispatch/memory_relief.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <memory>
#include <numeric>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace trefoil {

/// The open connections of one kind. Limits the memory that they use together: bytes of partially
/// read messages, and answers that the other side has not yet read.
template<class Session>
class session_set {
public:
    using session_ptr = std::shared_ptr<Session>;

    struct options {
        /// Maximum number of bytes of partially read messages.
        std::size_t max_partial_bytes = 0;
        /// Maximum number of bytes of unread answers.
        std::size_t max_unread_bytes = 0;
        /// Name of the log event for a connection that is closed, or whose message is dropped, to
        /// free memory.
        std::string_view event;
    };

    /// `release` frees the memory of a session's partially read message.
    session_set(options o, std::function<void(Session&)> release)
        : options_(o), partial_bytes_(o.max_partial_bytes), release_(std::move(release))
    {
    }

    void add(const session_ptr& session)
    {
        sessions_.insert(session);
        numbers_[session.get()] = ++last_number_;
        by_number_[last_number_] = session.get();
    }

    void remove(const session_ptr& session)
    {
        const auto number = numbers_.find(session.get());
        if (number == numbers_.end()) {
            return;
        }
        partial_bytes_.set(number->second, 0);
        by_number_.erase(number->second);
        numbers_.erase(number);
        sessions_.erase(session);
    }

    void set_max_partial_bytes(std::size_t bytes) { partial_bytes_.set_max_total(bytes); }

    /// Records the size of the session's partially read message. While the total exceeds the limit,
    /// releases the largest message for which that is allowed.
    void record_partial(const Session& session, std::size_t bytes,
                        byte_account::closing may_release)
    {
        const auto number = numbers_.find(&session);
        if (number == numbers_.end()) {
            return;
        }
        partial_bytes_.set(number->second, bytes, may_release);
        while (const auto largest = partial_bytes_.holder_to_close()) {
            release(*by_number_.at(*largest));
        }
    }

    /// Frees the memory of a session's partially read message.
    void release(Session& session)
    {
        const auto number = numbers_.find(&session);
        if (number == numbers_.end()) {
            return;
        }
        log_event(options_.event)
            .add("reason", "unfinished messages")
            .add("bytes", partial_bytes_.total())
            .warning();
        partial_bytes_.set(number->second, 0);
        const auto kept = session.shared_from_this();
        release_(*kept);
    }

    /// Closes the connections with the most unread bytes while the total exceeds the limit.
    void bound_unread()
    {
        const std::vector<session_ptr> open(sessions_.begin(), sessions_.end());
        std::vector<std::size_t> unread(open.size());
        std::ranges::transform(open, unread.begin(),
                               [](const auto& s) { return s->unwritten_bytes(); });
        const auto total = std::accumulate(unread.begin(), unread.end(), std::size_t{0});
        if (total <= options_.max_unread_bytes) {
            return;
        }
        for (const auto i : holdings_to_free(unread, total - options_.max_unread_bytes)) {
            log_event(options_.event)
                .add("reason", "unread answers")
                .add("bytes", unread[i])
                .warning();
            remove(open[i]);
            open[i]->close();
        }
    }

    std::size_t size() const noexcept { return sessions_.size(); }

    /// True if an answer has not been read completely by the other side.
    bool has_unread() const
    {
        return std::ranges::any_of(sessions_,
                                   [](const auto& s) { return s->unwritten_bytes() > 0; });
    }

    bool empty() const noexcept { return sessions_.empty(); }
    const session_ptr& any() const { return *sessions_.begin(); }

    /// Calls the function for each session. The function may remove sessions.
    template<class Function>
    void for_each(Function function) const
    {
        const auto open = sessions_;
        for (const auto& session : open) {
            function(session);
        }
    }

private:
    options options_;
    byte_account partial_bytes_;
    std::function<void(Session&)> release_;
    std::set<session_ptr> sessions_;
    std::unordered_map<const Session*, byte_account::holder> numbers_;
    std::unordered_map<byte_account::holder, Session*> by_number_;
    byte_account::holder last_number_ = 0;
};

} // namespace trefoil
