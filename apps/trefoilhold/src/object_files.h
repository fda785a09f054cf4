#pragma once

#include "objects/bundle.h"
#include "objects/load_objects.h"

#include <string>
#include <vector>

namespace trefoil {

/// Reads a file, but at most max_set_bytes + 1 bytes, so that an oversized file is detected without
/// reading all of it. Throws file_error.
std::string read_file(const std::string& file);

/// Loads the objects of all files into one set. Throws file_error.
load_result load_files(const std::vector<std::string>& files);

/// Loads a published bundle. The name `none` stands for the empty bundle, the base of the first
/// one. Throws file_error and invalid_bundle.
bundle load_published(const std::string& file);

} // namespace trefoil
