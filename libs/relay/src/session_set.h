#pragma once

#include "base/log_event.h"
#include "dispatch/byte_account.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace trefoil {

/// The open connections of one kind, and the memory that they take together: bytes that were read
/// and not passed on, and answers that the other side has not read.
template<class Session>
class session_set {
public:
    using session_ptr = std::shared_ptr<Session>;

    struct options {
        /// Bytes that may be held of what is being read.
        std::size_t most_unfinished = 0;
        /// Bytes of answers that may be held.
        std::size_t most_unread = 0;
        /// Name of the log event when a connection is ended for its memory.
        std::string_view event;
    };

    /// `cut` frees the memory that the session holds of what it reads.
    session_set(options o, std::function<void(Session&)> cut)
        : options_(o), unfinished_(o.most_unfinished), cut_(std::move(cut))
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
        unfinished_.set(number->second, 0);
        by_number_.erase(number->second);
        numbers_.erase(number);
        sessions_.erase(session);
    }

    void set_most_unfinished(std::size_t bytes) { unfinished_.set_most(bytes); }

    /// The session holds this many bytes of what it reads. Cuts the largest while all hold too
    /// many.
    void note_unfinished(const Session& session, std::size_t bytes, byte_account::cut may_cut)
    {
        const auto number = numbers_.find(&session);
        if (number == numbers_.end()) {
            return;
        }
        unfinished_.set(number->second, bytes, may_cut);
        while (const auto largest = unfinished_.to_cut()) {
            const auto found = by_number_.at(*largest)->shared_from_this();
            log_event(options_.event)
                .add("reason", "unfinished messages")
                .add("bytes", unfinished_.total())
                .warning();
            unfinished_.set(*largest, 0);
            cut_(*found);
        }
    }

    /// Ends the connection with the most unread bytes if all hold too many.
    void bound_unread()
    {
        std::size_t unread = 0;
        for (const auto& session : sessions_) {
            unread += session->held_bytes();
        }
        if (unread <= options_.most_unread) {
            return;
        }
        const auto slowest =
            *std::max_element(sessions_.begin(), sessions_.end(), [](const auto& a, const auto& b) {
                return a->held_bytes() < b->held_bytes();
            });
        log_event(options_.event)
            .add("reason", "unread answers")
            .add("bytes", slowest->held_bytes())
            .warning();
        remove(slowest);
        slowest->close();
    }

    /// An answer is on its way until its reader has taken it.
    bool has_unread() const
    {
        return std::ranges::any_of(sessions_, [](const auto& s) { return s->held_bytes() > 0; });
    }

    bool empty() const noexcept { return sessions_.empty(); }
    const session_ptr& any() const { return *sessions_.begin(); }

    /// Calls the function for each session, also if it ends some of them.
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
    byte_account unfinished_;
    std::function<void(Session&)> cut_;
    std::set<session_ptr> sessions_;
    std::unordered_map<const Session*, byte_account::holder> numbers_;
    std::unordered_map<byte_account::holder, Session*> by_number_;
    byte_account::holder last_number_ = 0;
};

} // namespace trefoil
