#include "growing_bytes.h"

#include <algorithm>
#include <cstring>
#include <new>
#include <utility>

namespace trefoil {

namespace {

constexpr std::size_t first_capacity = 256;

/// Largest number of bytes by which a buffer grows ahead of its content.
constexpr std::size_t max_growth = std::size_t{1} << 20U;

} // namespace

struct growing_bytes::holding {
    std::unique_ptr<char, free_deleter> bytes;
    memory_lease lease;
};

void growing_bytes::append(std::string_view bytes)
{
    const auto needed = size_ + bytes.size();
    if (needed > capacity_) {
        const auto ahead = std::clamp(capacity_, first_capacity, max_growth);
        const auto capacity = std::max(needed, capacity_ + ahead);
        auto* const moved = static_cast<char*>(std::realloc(bytes_.get(), capacity));
        if (moved == nullptr) {
            throw std::bad_alloc();
        }
        static_cast<void>(bytes_.release()); // Freed by realloc.
        bytes_.reset(moved);
        capacity_ = capacity;
        lease_.resize(capacity_);
    }
    if (!bytes.empty()) {
        std::memcpy(bytes_.get() + size_, bytes.data(), bytes.size());
        size_ = needed;
    }
}

shared_bytes growing_bytes::release()
{
    const auto size = std::exchange(size_, 0);
    capacity_ = 0;
    if (size == 0) {
        bytes_.reset();
        lease_.resize(0);
        return {};
    }
    const auto held = std::make_shared<holding>();
    held->bytes = std::move(bytes_);
    held->lease = std::move(lease_);
    const std::string_view view(held->bytes.get(), size);
    return {held, view};
}

} // namespace trefoil
