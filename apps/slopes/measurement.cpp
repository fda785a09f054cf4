#include "measurement.h"

#include <malloc.h>

#include <algorithm>
#include <array>

const std::vector<std::size_t>& measured_sizes()
{
    static const std::vector<std::size_t> sizes{10, 100, 1000};
    return sizes;
}

std::size_t allocated_bytes() noexcept
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

double time_per_call(const std::function<void(std::size_t)>& operation)
{
    constexpr std::size_t calls = 20000;
    std::array<double, 9> rounds{};
    for (auto& round : rounds) {
        const auto start = std::chrono::steady_clock::now();
        for (std::size_t i = 0; i < calls; ++i) {
            operation(i);
        }
        const std::chrono::duration<double, std::nano> elapsed =
            std::chrono::steady_clock::now() - start;
        round = elapsed.count() / calls;
    }
    std::ranges::sort(rounds);
    return rounds[rounds.size() / 2];
}
