#include "published_file.h"

#include "base/error.h"
#include "base/log_event.h"
#include "wire/vm_list.h"

#include <sys/stat.h>
#include <toml++/toml.h>

#include <fstream>
#include <iterator>
#include <utility>

namespace trefoil {

namespace {

/// Values of the platform have at most 1 MB.
constexpr std::size_t largest_value = std::size_t{1024} * 1024;

class invalid_published_file : public error {
public:
    explicit invalid_published_file(const std::string& detail) : error(detail) {}
};

std::string read_text(const std::filesystem::path& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        throw invalid_published_file("cannot be opened");
    }
    std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    if (text.size() > largest_value) {
        throw invalid_published_file("larger than 1 MB");
    }
    return text;
}

} // namespace

published_file::published_file(std::filesystem::path path, version_reader read_version)
    : path_(std::move(path)), read_version_(std::move(read_version))
{
}

bool published_file::refresh()
{
    const auto found = identify();
    if (found == seen_) {
        return false;
    }
    seen_ = found;
    try {
        auto text = read_text(path_);
        version_ = read_version_(text);
        text_ = std::move(text);
    }
    catch (const error& e) {
        log_event("published_file_refused")
            .add("file", path_.string())
            .add("why", e.what())
            .warning();
        return false;
    }
    log_event("published_file_read").add("file", path_.string()).add("version", version_).info();
    return true;
}

published_file::identity published_file::identify() const noexcept
{
    struct stat status {};
    if (::stat(path_.c_str(), &status) != 0) {
        return {};
    }
    constexpr std::int64_t ns_per_s = 1'000'000'000;
    return {status.st_dev, status.st_ino, static_cast<std::uint64_t>(status.st_size),
            status.st_mtim.tv_sec * ns_per_s + status.st_mtim.tv_nsec};
}

std::uint64_t read_bundle_version(const std::string& text)
{
    try {
        const auto root = toml::parse(text);
        const auto version = root["bundle"]["version"].value<std::int64_t>();
        if (!version || *version <= 0) {
            throw invalid_published_file("no positive 'version' in the table [bundle]");
        }
        return static_cast<std::uint64_t>(*version);
    }
    catch (const toml::parse_error& e) {
        throw invalid_published_file(std::string(e.description()));
    }
}

std::uint64_t read_list_revision(const std::string& text)
{
    return parse_vm_list(text).revision.value;
}

} // namespace trefoil
