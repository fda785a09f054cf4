#include "connection_guard.h"

#include "upstream_exchange.h"

#include "base/log_event.h"

#include <algorithm>
#include <utility>

namespace trefoil {

namespace {

/// Divisor of the memory: below this total no limit on a kind of holding can be exceeded.
constexpr std::size_t unchecked_divisor = 4;

/// Divisor of the memory: the limits are checked again when the total has grown by this part, and
/// this much more than the excess is freed, so that a crowd costs few checks.
constexpr std::size_t step_divisor = 64;

/// Descriptors that are not connections of sessions: ports, timers, the store.
constexpr std::size_t other_descriptors = 16;

/// Part of the callers' connections that is closed at once when there are too many.
constexpr std::size_t eviction_divisor = 32;

} // namespace

connection_guard::connection_guard(connection_resources& resources, connections c, options o)
    : resources_(resources), connections_(c), options_(o)
{
}

void connection_guard::enforce_memory()
{
    if (resources_.memory->total() <= next_check_) {
        return;
    }
    const auto unchecked = options_.memory_bytes / unchecked_divisor;
    if (resources_.memory->total() > unchecked) {
        connections_.callers.bound_unread();
        connections_.peers.bound_unread();
        if (resources_.memory->is_exceeded()) {
            free_excess();
        }
    }
    next_check_ =
        std::max(unchecked, resources_.memory->total()) + options_.memory_bytes / step_divisor;
}

void connection_guard::add_caller(const std::shared_ptr<caller_session>& session,
                                  std::vector<holding>& list)
{
    const auto unread = session->unwritten_bytes();
    const auto read_ahead = session->read_ahead_bytes();
    const auto unfinished = session->is_busy() ? 0 : session->request_bytes();
    if (unread >= std::max(read_ahead, unfinished)) {
        list.push_back({unread, [this, session] { close(session); }});
    }
    else if (read_ahead > 0) {
        list.push_back({read_ahead, [session] { session->drop_read_ahead(); }});
    }
    else {
        list.push_back({unfinished, [this, session] { connections_.callers.release(*session); }});
    }
}

void connection_guard::add_peer(const std::shared_ptr<peer_session>& session,
                                std::vector<holding>& list)
{
    list.push_back({session->partial_bytes(), [session] { session->drop_partial(); }});
    list.push_back({session->unwritten_bytes(), [session] { session->close(); }});
}

std::vector<connection_guard::holding> connection_guard::holdings()
{
    std::vector<holding> list;
    connections_.callers.for_each([&](const auto& s) { add_caller(s, list); });
    connections_.peers.for_each([&](const auto& s) { add_peer(s, list); });
    connections_.upstream.for_each_partial([&](auto& exchange, std::size_t bytes) {
        list.push_back({bytes, [kept = exchange.shared_from_this()] { kept->abort_for_memory(); }});
    });
    connections_.links.for_each_partial([&](const auto& link, std::size_t bytes) {
        list.push_back({bytes, [link] { link->drop_partial(); }});
    });
    return list;
}

void connection_guard::free_excess()
{
    auto list = holdings();
    std::vector<std::size_t> bytes(list.size());
    std::ranges::transform(list, bytes.begin(), &holding::bytes);
    const auto total = resources_.memory->total();
    const auto excess = total - resources_.memory->limit() + options_.memory_bytes / step_divisor;
    const auto freed = holdings_to_free(bytes, excess);
    log_event("memory_exceeded")
        .add("bytes", total)
        .add("limit", resources_.memory->limit())
        .add("freed", freed.size())
        .warning();
    for (const auto i : freed) {
        list[i].free();
    }
}

void connection_guard::close(const std::shared_ptr<caller_session>& session)
{
    connections_.callers.remove(session);
    connections_.probes.erase(session);
    session->close();
}

std::optional<int> connection_guard::closing_rank(const caller_session& session)
{
    if (session.is_busy()) {
        return session.sends_ahead() ? std::optional(3) : std::nullopt;
    }
    if (session.unwritten_bytes() > 0) {
        return 2;
    }
    if (!session.is_idle()) {
        return 1;
    }
    return session.has_unread_input() ? std::nullopt : std::optional(0);
}

bool connection_guard::admit(const std::shared_ptr<caller_session>& accepted, std::size_t reserved)
{
    const auto taken =
        reserved + other_descriptors + connections_.peers.size() + connections_.links.size();
    const auto limit = options_.max_connections - std::min(options_.max_connections, taken);
    const auto open =
        connections_.callers.size() + connections_.probes.size() + resources_.lingering;
    if (open <= limit) {
        return true;
    }
    struct candidate {
        int rank;
        mono_time last_progress;
        std::shared_ptr<caller_session> session;
    };
    std::vector<candidate> closable;
    const auto add = [&](const auto& session) {
        const auto rank = session == accepted ? std::nullopt : closing_rank(*session);
        if (rank) {
            closable.push_back({*rank, session->last_progress(), session});
        }
    };
    connections_.callers.for_each(add);
    std::ranges::for_each(connections_.probes, add);
    std::ranges::sort(closable, [](const auto& a, const auto& b) {
        return std::pair(a.rank, a.last_progress) < std::pair(b.rank, b.last_progress);
    });
    const auto wanted = open - limit + limit / eviction_divisor;
    closable.erase(closable.begin() +
                       static_cast<std::ptrdiff_t>(std::min(closable.size(), wanted)),
                   closable.end());
    log_event("connections_exceeded")
        .add("open", resources_.open)
        .add("limit", limit)
        .add("closed", closable.size())
        .warning();
    for (const auto& c : closable) {
        close(c.session);
    }
    return closable.size() >= open - limit;
}

} // namespace trefoil
