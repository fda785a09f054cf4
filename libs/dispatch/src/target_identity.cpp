#include "dispatch/target_identity.h"

namespace trefoil {

const std::string& target_identity::expected(const std::string& asked) const
{
    return current_ && refused_.contains(asked) ? *current_ : asked;
}

void target_identity::refused(const std::string& id)
{
    if (refused_.size() >= max_refused) {
        refused_.clear(); // Ids still in use are rejected and recorded again.
    }
    refused_.insert(id);
    if (current_ == id) {
        current_.reset();
    }
}

void target_identity::learned(const std::string& id)
{
    current_ = id;
    refused_.erase(id);
}

} // namespace trefoil
