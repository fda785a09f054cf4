#pragma once

#include "objects/bundle.h"
#include "objects/load_objects.h"

#include <string>
#include <vector>

namespace trefoil {

/// Reads a file, at most one byte more than the largest set. Throws file_error.
std::string read_file(const std::string& file);

/// Reads the objects of all files. Throws file_error.
load_result load_files(const std::vector<std::string>& files);

/// Reads a published bundle; `none` gives a default one without objects, the base of the first
/// bundle. Throws file_error and invalid_bundle.
bundle load_published(const std::string& file);

} // namespace trefoil
