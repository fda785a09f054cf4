#include "line_writer.h"

#include <catch2/catch.hpp>

#include <array>
#include <chrono>
#include <csignal>
#include <string>

#include <fcntl.h>
#include <unistd.h>

using namespace std::chrono_literals;
using trefoil::line_writer;

namespace {

struct line_writer_fixture {
    std::array<int, 2> ends{};
    line_writer writer;

    line_writer_fixture() : writer(open_pipe(ends)) {}

    ~line_writer_fixture()
    {
        close(ends[0]);
        close(ends[1]);
    }

    line_writer_fixture(const line_writer_fixture&) = delete;
    line_writer_fixture& operator=(const line_writer_fixture&) = delete;

    static int open_pipe(std::array<int, 2>& ends)
    {
        REQUIRE(pipe(ends.data()) == 0);
        // Only the end of the test must not block; the writer's end does, as standard output.
        REQUIRE(fcntl(ends[0], F_SETFL, O_NONBLOCK) == 0);
        return ends[1];
    }

    std::string read_all() const
    {
        std::string text;
        std::array<char, 4096> bytes{};
        for (ssize_t count = 0; (count = read(ends[0], bytes.data(), bytes.size())) > 0;) {
            text.append(bytes.data(), static_cast<std::size_t>(count));
        }
        return text;
    }
};

} // namespace

// Guards against log lines that wait in a buffer of the process and are lost when it is killed.
TEST_CASE_METHOD(line_writer_fixture, "line_writer_line_is_readable_at_once")
{
    writer.write("event=first\n");
    CHECK(read_all() == "event=first\n");
}

// Guards against a process that stops serving because nobody reads its log.
TEST_CASE_METHOD(line_writer_fixture, "line_writer_without_a_reader_does_not_block")
{
    const std::string line = "event=" + std::string(193, 'x') + '\n';
    constexpr std::size_t lines = 2000;
    for (std::size_t i = 0; i < lines; ++i) {
        writer.write(line);
    }
    CHECK(writer.dropped() > 0);
    auto text = read_all();
    writer.flush({});
    text += read_all();
    writer.write("event=last\n");
    text += read_all();
    const auto written = (lines - writer.dropped()) * line.size();
    CHECK(text.substr(0, line.size()) == line);
    CHECK(text.substr(written) ==
          "event=log_lines_dropped count=" + std::to_string(writer.dropped()) + "\nevent=last\n");
}

// Guards against an endless wait, or a signal, for lines whose reader has closed the pipe.
TEST_CASE_METHOD(line_writer_fixture, "line_writer_after_the_reader_closed_counts_dropped_lines")
{
    signal(SIGPIPE, SIG_IGN);
    close(ends[0]);
    writer.write("event=first\n");
    writer.flush(1s);
    CHECK(writer.dropped() == 1);
    ends[0] = open("/dev/null", O_RDONLY | O_CLOEXEC);
}
