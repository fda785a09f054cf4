#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace trefoil {

/// Bytes that the holders of one kind hold, and who is cut when they hold too much together.
///
/// Load pattern: answers without end, many at the same time, or large answers for callers that do
/// not read. Each holder alone is within its bound, and the process still runs out of memory. The
/// holder of most bytes is cut: small holders, which are most of the work, go on.
class byte_account {
public:
    using holder = std::uint64_t;

    /// Whether a holder may be cut.
    enum class cut : std::uint8_t { allowed, never };

    explicit byte_account(std::size_t most) : most_(most) {}

    /// Changes the bound.
    void set_most(std::size_t most) { most_ = most; }

    /// The holder holds this many bytes now; 0 removes it.
    void set(holder id, std::size_t bytes, cut may_cut = cut::allowed);

    /// The holder to cut; none while the bound is kept or nobody may be cut. Ask again after it is
    /// removed.
    std::optional<holder> to_cut() const;

    std::size_t total() const noexcept { return total_; }

private:
    struct share {
        std::size_t bytes = 0;
        cut may_cut = cut::allowed;

        std::size_t to_free() const { return may_cut == cut::allowed ? bytes : 0; }
    };

    std::size_t most_;
    std::size_t total_ = 0;
    std::unordered_map<holder, share> held_;
};

} // namespace trefoil
