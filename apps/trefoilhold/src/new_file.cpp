#include "new_file.h"

#include "tool_errors.h"

#include <cerrno>
#include <cstring>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace trefoil {

namespace {

/// A temporary file in the same directory as the final one, so that it can be linked to the final
/// name; removed on destruction.
class temporary_file {
public:
    explicit temporary_file(const std::string& file) : path_(file + ".XXXXXX")
    {
        descriptor_ = mkostemp(path_.data(), O_CLOEXEC);
        if (descriptor_ < 0) {
            fail(file);
        }
    }

    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;

    ~temporary_file()
    {
        close(descriptor_);
        unlink(path_.c_str());
    }

    void write_all(const std::string& content) const
    {
        std::size_t written = 0;
        while (written < content.size()) {
            const auto count =
                write(descriptor_, content.data() + written, content.size() - written);
            if (count < 0 && errno != EINTR) {
                fail(path_);
            }
            written += count > 0 ? static_cast<std::size_t>(count) : 0;
        }
        // mkostemp makes the file readable by its owner only, but the deployment pipeline may run
        // as another user.
        if (fchmod(descriptor_, S_IRUSR | S_IWUSR | S_IRGRP | S_IROTH) != 0 ||
            fsync(descriptor_) != 0) {
            fail(path_);
        }
    }

    /// Makes the file visible under its final name. Uses link, which, unlike rename, fails if the
    /// name exists.
    void publish(const std::string& file) const
    {
        if (link(path_.c_str(), file.c_str()) == 0) {
            return;
        }
        if (errno == EEXIST) {
            throw output_exists(file);
        }
        fail(file);
    }

private:
    [[noreturn]] static void fail(const std::string& file)
    {
        throw file_error(file, std::strerror(errno));
    }

    std::string path_;
    int descriptor_ = -1;
};

} // namespace

void write_new_file(const std::string& file, const std::string& content)
{
    const temporary_file temporary(file);
    temporary.write_all(content);
    temporary.publish(file);
}

} // namespace trefoil
