#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace trefoil {

/// Accounts for the buffered bytes of all holders of one kind (for example connections), and
/// selects the holder to close when their total exceeds a bound.
///
/// Load pattern: endless responses, many responses at the same time, or large responses for callers
/// that do not read. Each holder is within its own bound, but together they exhaust the memory of
/// the process. The holder with the most bytes is closed, so that small holders, which are most of
/// the work, continue.
class byte_account {
public:
    using holder = std::uint64_t;

    /// Whether a holder may be closed to free memory.
    enum class closing : std::uint8_t { allowed, never };

    /// `max_total` is the bound on the sum of all holders, in bytes.
    explicit byte_account(std::size_t max_total) : max_total_(max_total) {}

    /// Changes the bound, in bytes.
    void set_max_total(std::size_t max_total) { max_total_ = max_total; }

    /// Sets the number of bytes that a holder buffers; 0 removes the holder.
    void set(holder id, std::size_t bytes, closing may_close = closing::allowed);

    /// The holder to close: the one with the most bytes among those that may be closed. None if
    /// the total is within the bound or no holder may be closed. Call again after the holder was
    /// removed, since the total may still exceed the bound.
    std::optional<holder> holder_to_close() const;

    /// Bytes of one holder.
    std::size_t bytes_of(holder id) const
    {
        const auto it = holdings_.find(id);
        return it == holdings_.end() ? 0 : it->second.bytes;
    }

    /// Bytes of all holders.
    std::size_t total() const noexcept { return total_; }

private:
    struct holding {
        std::size_t bytes = 0;
        closing may_close = closing::allowed;

        std::size_t closable_bytes() const { return may_close == closing::allowed ? bytes : 0; }
    };

    std::size_t max_total_;
    std::size_t total_ = 0;
    std::unordered_map<holder, holding> holdings_;
};

} // namespace trefoil
