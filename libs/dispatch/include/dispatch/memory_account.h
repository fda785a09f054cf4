#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace trefoil {

/// Counts the bytes that a process holds for its callers, targets and peers, against one limit.
/// Every buffer holds a lease for its size, so that a buffer is counted once, however many
/// requests, answers and connections refer to it. Leases keep it alive. Not thread-safe.
class memory_account {
public:
    /// The limit is in bytes.
    explicit memory_account(std::size_t limit) : limit_(limit) {}
    memory_account(const memory_account&) = delete;
    memory_account& operator=(const memory_account&) = delete;

    void set_limit(std::size_t limit) noexcept { limit_ = limit; }
    std::size_t limit() const noexcept { return limit_; }

    /// Bytes held now.
    std::size_t total() const noexcept { return total_; }

    bool is_exceeded() const noexcept { return total_ > limit_; }

    /// Whether as many more bytes fit within the limit.
    bool has_room_for(std::size_t bytes) const noexcept
    {
        return total_ <= limit_ && bytes <= limit_ - total_;
    }

private:
    friend class memory_lease;

    std::size_t limit_;
    std::size_t total_ = 0;
};

/// The bytes of one buffer in a memory_account, for the lifetime of the lease.
class memory_lease {
public:
    memory_lease() = default;
    explicit memory_lease(std::shared_ptr<memory_account> account, std::size_t bytes = 0)
        : account_(std::move(account))
    {
        resize(bytes);
    }
    ~memory_lease() { resize(0); }
    memory_lease(memory_lease&& other) noexcept
        : account_(std::move(other.account_)), bytes_(std::exchange(other.bytes_, 0))
    {
    }
    memory_lease& operator=(memory_lease&& other) noexcept
    {
        if (this != &other) {
            resize(0);
            account_ = std::move(other.account_);
            bytes_ = std::exchange(other.bytes_, 0);
        }
        return *this;
    }
    memory_lease(const memory_lease&) = delete;
    memory_lease& operator=(const memory_lease&) = delete;

    /// Changes the number of bytes; does nothing without an account.
    void resize(std::size_t bytes) noexcept
    {
        if (account_) {
            account_->total_ = account_->total_ - bytes_ + bytes;
            bytes_ = bytes;
        }
    }

    std::size_t bytes() const noexcept { return bytes_; }

private:
    std::shared_ptr<memory_account> account_;
    std::size_t bytes_ = 0;
};

} // namespace trefoil
