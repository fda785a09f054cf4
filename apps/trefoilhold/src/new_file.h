#pragma once

#include <string>

namespace trefoil {

/// Writes a file that does not exist yet. The name appears only once the whole content is on disk,
/// and of two writers exactly one succeeds. Throws output_exists and file_error.
void write_new_file(const std::string& file, const std::string& content);

} // namespace trefoil
