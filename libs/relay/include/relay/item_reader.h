#pragma once

#include "relay/published_item.h"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace trefoil {

enum class read_status : std::uint8_t {
    ok,
    history_lost, ///< The store has discarded changes after the requested revision.
    failed,       ///< No answer, or an invalid one.
};

/// Result of one call to the store.
struct read_result {
    read_status status = read_status::failed;
    std::vector<published_item> items;
    /// True if the store has more items after the last key.
    bool has_more = false;
    /// Revision of the store at the time of the answer.
    std::uint64_t revision = 0;
    /// Cause of a failure, for the log.
    std::string detail;
    /// Number of times the store has returned from an older copy, in any answer that states it.
    std::optional<std::uint64_t> era{};
};

using read_handler = std::function<void(read_result)>;

/// Reads items by key prefix from a store. Each call runs its handler exactly once.
template<class Reader>
concept item_reader = requires(Reader r, const std::string& text, std::uint64_t revision,
                               std::chrono::milliseconds wait, read_handler done)
{
    /// Arguments: prefix, `after`, handler. Reads a page of the items of the prefix with keys
    /// greater than `after`.
    r.read(text, text, done);
    /// Arguments: prefix, revision, maximum wait, handler. Long poll: returns the changes of the
    /// prefix after the revision as soon as there are any.
    r.watch(text, revision, wait, done);
};

} // namespace trefoil
