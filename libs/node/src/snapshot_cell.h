#pragma once

#include <memory>
#include <mutex>
#include <utility>

namespace trefoil {

/// Holds a shared pointer to the current version of an immutable value. Thread-safe.
template<class Value>
class snapshot_cell {
public:
    /// The current value; null before the first set().
    std::shared_ptr<const Value> get() const
    {
        const std::lock_guard lock(mutex_);
        return value_;
    }

    void set(std::shared_ptr<const Value> value)
    {
        const std::lock_guard lock(mutex_);
        value_ = std::move(value);
    }

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const Value> value_;
};

} // namespace trefoil
