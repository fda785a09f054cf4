#pragma once

#include <string>

namespace trefoil {

/// Creates a file atomically: the name appears only after the whole content has been synced to
/// disk, and of several concurrent writers exactly one succeeds. Throws output_exists if the file
/// exists, and file_error.
void write_new_file(const std::string& file, const std::string& content);

} // namespace trefoil
