#include "dispatch/target_identity.h"

namespace trefoil {

const std::string& target_identity::expected(const std::string& asked) const
{
    return current_ && rejected_.contains(asked) ? *current_ : asked;
}

void target_identity::record_rejected(const std::string& id)
{
    if (rejected_.size() >= max_rejected) {
        rejected_.clear(); // Ids still in use are rejected and recorded again.
    }
    rejected_.insert(id);
    if (current_ == id) {
        current_.reset();
    }
}

void target_identity::record_id(const std::string& id)
{
    current_ = id;
    rejected_.erase(id);
}

} // namespace trefoil
