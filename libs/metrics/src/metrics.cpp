#include "metrics/metrics.h"

#include "metrics_series.h"

#include <boost/histogram.hpp>

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <sstream>
#include <unordered_map>
#include <vector>

namespace trefoil {

namespace {

namespace bh = boost::histogram;

/// The range is from 50 µs, below the latency that one node adds, to 60 s, above every deadline.
auto make_latency_histogram()
{
    return bh::make_histogram_with(
        std::vector<std::uint64_t>(),
        bh::axis::regular<double, bh::axis::transform::log>(40, 50e-6, 60.0));
}

struct latency_totals {
    decltype(make_latency_histogram()) histogram = make_latency_histogram();
    std::uint64_t count = 0;
    double seconds = 0.0;
};

using latency_key = std::pair<rank_name, outcome>;

struct series_record {
    std::uint64_t count = 0;
    /// Histogram of the rank and outcome, shared by all series of the shard that have them.
    latency_totals* latency = nullptr;
};

struct string_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const noexcept
    {
        return std::hash<std::string_view>{}(text);
    }
};

/// One part of the metrics with its own lock. Aligned to the size of a cache line, so that threads
/// writing to different shards do not contend for one.
struct alignas(64) shard {
    mutable std::mutex mutex;
    std::unordered_map<series, series_record, series_hash, series_equal> calls;
    std::map<latency_key, latency_totals> latencies;
    std::unordered_map<std::string, std::uint64_t, string_hash, std::equal_to<>> counters;
};

constexpr std::size_t shard_count = 16;

std::size_t shard_of_this_thread() noexcept
{
    static std::atomic<std::size_t> next = 0;
    thread_local const std::size_t index = next++ % shard_count;
    return index;
}

void write_latency(std::ostream& out, const latency_key& key, const latency_totals& latency)
{
    const auto labels = "rank=\"" + escape_label_value(key.first.str()) + "\",outcome=\"" +
                        std::string(to_string(key.second)) + "\"";
    std::uint64_t cumulative = 0;
    const auto& axis = latency.histogram.axis();
    // Index -1 is the underflow bin. Prometheus buckets are cumulative.
    for (int i = -1; i < axis.size(); ++i) {
        cumulative += latency.histogram.at(i);
        out << "trefoil_call_seconds_bucket{" << labels << ",le=\"" << axis.value(i + 1) << "\"} "
            << cumulative << '\n';
    }
    out << "trefoil_call_seconds_bucket{" << labels << ",le=\"+Inf\"} " << latency.count << '\n'
        << "trefoil_call_seconds_sum{" << labels << "} " << latency.seconds << '\n'
        << "trefoil_call_seconds_count{" << labels << "} " << latency.count << '\n';
}

} // namespace

class metrics::impl {
public:
    void record_call(const call_labels& labels, std::chrono::nanoseconds latency)
    {
        const auto seconds = std::chrono::duration<double>(latency).count();
        auto& local_shard = shards_[shard_of_this_thread()];
        const std::lock_guard lock(local_shard.mutex);
        auto& record = find_or_add(local_shard, labels);
        ++record.count;
        record.latency->histogram(seconds);
        ++record.latency->count;
        record.latency->seconds += seconds;
    }

    void add(std::string_view name, std::uint64_t amount)
    {
        auto& local_shard = shards_[shard_of_this_thread()];
        const std::lock_guard lock(local_shard.mutex);
        const auto it = local_shard.counters.find(name);
        if (it != local_shard.counters.end()) {
            it->second += amount;
        }
        else {
            local_shard.counters.emplace(name, amount);
        }
    }

    void set(std::string_view name, double value)
    {
        const std::lock_guard lock(gauge_mutex_);
        gauges_.insert_or_assign(std::string(name), value);
    }

    std::uint64_t calls(const call_labels& labels) const
    {
        std::uint64_t sum = 0;
        for (const auto& each : shards_) {
            const std::lock_guard lock(each.mutex);
            const auto it = each.calls.find(labels);
            sum += it == each.calls.end() ? 0 : it->second.count;
        }
        return sum;
    }

    std::string text() const
    {
        std::map<std::string, std::uint64_t> counters;
        std::map<latency_key, latency_totals> latencies;
        for (const auto& each : shards_) {
            const std::lock_guard lock(each.mutex);
            for (const auto& [labels, record] : each.calls) {
                counters[format_series(labels)] += record.count;
            }
            for (const auto& [name, count] : each.counters) {
                counters[name] += count;
            }
            for (const auto& [key, latency] : each.latencies) {
                auto& sum = latencies[key];
                sum.histogram += latency.histogram;
                sum.count += latency.count;
                sum.seconds += latency.seconds;
            }
        }
        std::ostringstream out;
        for (const auto& [name, count] : counters) {
            out << name << ' ' << count << '\n';
        }
        for (const auto& [key, latency] : latencies) {
            write_latency(out, key, latency);
        }
        const std::lock_guard lock(gauge_mutex_);
        for (const auto& [name, value] : gauges_) {
            out << name << ' ' << value << '\n';
        }
        return out.str();
    }

private:
    static series_record& find_or_add(shard& local_shard, const call_labels& labels)
    {
        const auto it = local_shard.calls.find(labels);
        if (it != local_shard.calls.end()) {
            return it->second;
        }
        auto added = make_series(labels);
        if (local_shard.calls.size() >= metrics::largest_series) {
            added = overflow_series(labels);
        }
        auto& record = local_shard.calls[added];
        record.latency = &local_shard.latencies[latency_key(added.rank, added.result)];
        return record;
    }

    std::array<shard, shard_count> shards_;
    mutable std::mutex gauge_mutex_;
    std::map<std::string, double> gauges_;
};

metrics::metrics() : impl_(std::make_unique<impl>()) {}

metrics::~metrics() = default;

void metrics::record_call(const call_labels& labels, std::chrono::nanoseconds latency)
{
    impl_->record_call(labels, latency);
}

void metrics::add(std::string_view name, std::uint64_t amount)
{
    impl_->add(name, amount);
}

void metrics::set(std::string_view name, double value)
{
    impl_->set(name, value);
}

std::uint64_t metrics::calls(const call_labels& labels) const
{
    return impl_->calls(labels);
}

std::string metrics::text() const
{
    return impl_->text();
}

} // namespace trefoil
