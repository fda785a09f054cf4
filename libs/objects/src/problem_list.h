#pragma once

#include "objects/load_objects.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace trefoil {

/// Collects the problems found by the checks, with the locations of the objects concerned.
class problem_list {
public:
    explicit problem_list(std::vector<problem> found) : problems_(std::move(found)) {}

    /// Adds an error about one field of an object.
    void add(const object_location& at, std::string_view field, std::string object,
             std::string message, std::string remedy)
    {
        problems_.push_back(
            {at.file, at.line_of(field), std::move(object), std::move(message), std::move(remedy)});
    }

    /// Adds a problem that concerns the set as a whole.
    void add_to_set(std::string message, std::string remedy, severity level = severity::error)
    {
        problems_.push_back({"set", 0, "set", std::move(message), std::move(remedy), level});
    }

    std::vector<problem> take() { return std::move(problems_); }

private:
    std::vector<problem> problems_;
};

/// Returns the location of the object at `index`, or an empty location if the set was not read from
/// text.
inline const object_location& location_at(const std::vector<object_location>& locations,
                                          std::size_t index)
{
    static const object_location none;
    return index < locations.size() ? locations[index] : none;
}

} // namespace trefoil
