#pragma once

#include "shared_bytes.h"

#include "dispatch/memory_account.h"

#include <cstddef>
#include <cstdlib>
#include <memory>
#include <string_view>
#include <utility>

namespace trefoil {

/// Bytes of one message or body that arrive piece by piece. Their buffer grows in place where the
/// system allows it, and counts toward the account all the while.
class growing_bytes {
public:
    growing_bytes() = default;
    explicit growing_bytes(std::shared_ptr<memory_account> account) : lease_(std::move(account)) {}

    /// Throws std::bad_alloc if the system has no memory.
    void append(std::string_view bytes);

    std::string_view view() const noexcept { return {bytes_.get(), size_}; }
    std::size_t size() const noexcept { return size_; }
    bool empty() const noexcept { return size_ == 0; }

    /// Moves the bytes to shared ownership. This object is empty afterwards and no longer counted.
    shared_bytes release();

private:
    struct free_deleter {
        // realloc moves large blocks without a copy, which needs twice the memory; new cannot.
        void operator()(char* p) const noexcept { std::free(p); }
    };
    struct holding;

    std::unique_ptr<char, free_deleter> bytes_;
    std::size_t size_ = 0;
    std::size_t capacity_ = 0;
    memory_lease lease_;
};

} // namespace trefoil
