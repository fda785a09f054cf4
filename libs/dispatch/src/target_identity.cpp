#include "dispatch/target_identity.h"

namespace trefoil {

const std::string& target_identity::expected(const std::string& asked) const
{
    return current_ && refused_.contains(asked) ? *current_ : asked;
}

void target_identity::refused(const std::string& id)
{
    if (refused_.size() >= most_refused) {
        refused_.clear(); // What is still named is refused once more.
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
