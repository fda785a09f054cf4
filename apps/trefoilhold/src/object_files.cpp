#include "object_files.h"

#include "objects/check_objects.h"
#include "tool_errors.h"

#include <cerrno>
#include <cstring>
#include <fstream>

namespace trefoil {

std::string read_file(const std::string& file)
{
    errno = 0;
    std::ifstream in(file, std::ios::binary);
    if (!in) {
        throw file_error(file, std::strerror(errno));
    }
    std::string text(max_set_bytes + 1, '\0');
    in.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (in.bad() || (in.gcount() == 0 && errno != 0)) {
        throw file_error(file, std::strerror(errno));
    }
    text.resize(static_cast<std::size_t>(in.gcount()));
    return text;
}

load_result load_files(const std::vector<std::string>& files)
{
    load_result result;
    for (const auto& file : files) {
        load_objects(read_file(file), file, result);
    }
    return result;
}

bundle load_published(const std::string& file)
{
    return file == "none" ? bundle{} : parse_bundle(read_file(file), file);
}

} // namespace trefoil
