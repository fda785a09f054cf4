#pragma once

#include <memory>
#include <mutex>
#include <utility>

namespace trefoil {

/// Holds the current version of an immutable value that readers share.
template<class Value>
class snapshot_cell {
public:
    /// Null until the first set.
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
