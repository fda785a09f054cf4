#pragma once

#include <cstdint>
#include <filesystem>
#include <functional>
#include <string>

namespace trefoil {

/// A file whose newest valid text is kept. Not thread-safe.
class published_file {
public:
    /// Returns the version that stands in the text, above 0; throws a class derived from
    /// trefoil::error if there is none.
    using version_reader = std::function<std::uint64_t(const std::string& text)>;

    published_file(std::filesystem::path path, version_reader read_version);

    /// Reads the file if it was replaced or changed since the last call; true: there is a new text.
    /// A missing or invalid file is logged and leaves the old text.
    bool refresh();

    const std::string& text() const noexcept { return text_; }
    /// 0: no valid text yet.
    std::uint64_t version() const noexcept { return version_; }

private:
    /// What differs after a file was replaced by rename or written in place.
    struct identity {
        std::uint64_t device = 0;
        std::uint64_t inode = 0;
        std::uint64_t size = 0;
        std::int64_t modified_ns = 0;

        friend bool operator==(const identity&, const identity&) = default;
    };

    identity identify() const noexcept;

    std::filesystem::path path_;
    version_reader read_version_;
    identity seen_;
    std::string text_;
    std::uint64_t version_ = 0;
};

/// Version in the `[bundle]` table of a bundle file. Throws invalid_published_file.
std::uint64_t read_bundle_version(const std::string& text);

/// Revision of a VM list. Throws invalid_vm_list.
std::uint64_t read_list_revision(const std::string& text);

} // namespace trefoil
