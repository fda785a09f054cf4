#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

/// How a caller's request ended, over all its sends.
enum class verdict : std::uint8_t { complete, not_run, unknown, wrong_answer, failed };

/// Counts of one kind in one phase.
struct kind_tally {
    std::uint64_t offered = 0;
    std::uint64_t sends = 0;
    std::array<std::uint64_t, 5> verdicts{};
    std::map<std::string, std::uint64_t> reasons;
    std::vector<float> latencies_ms;
};

/// Results of a run, by phase, kind and group, and completions by time.
class tally {
public:
    static constexpr std::chrono::milliseconds bucket{100};

    void add_offered(const std::string& phase, const std::string& kind, const std::string& group);
    void add_send(const std::string& phase, const std::string& kind, const std::string& group);
    void add_reason(const std::string& phase, const std::string& kind, const std::string& group,
                    const std::string& reason);
    void add_verdict(const std::string& phase, const std::string& kind, const std::string& group,
                     verdict v, std::chrono::microseconds latency, std::size_t arrival_bucket);

    /// The caller was told that the work of this request did not run.
    void add_told_not_run(const std::string& kind, const std::string& root);

    /// Adds what one upstream of a service says it ran of a kind (JSON of the stand-in). Without an
    /// answer the upstream counts as unread, since its process was replaced.
    void add_record(const std::string& service, const std::string& kind, bool once_only,
                    const std::string& json);

    std::string to_json() const;

private:
    std::uint64_t complete_in(const std::string& kind, std::size_t index) const;
    kind_tally& entry(const std::string& phase, const std::string& kind, const std::string& group);

    std::map<std::string, std::map<std::string, std::map<std::string, kind_tally>>> phases_;
    /// Complete requests by the bucket of their arrival, for recovery times.
    std::map<std::string, std::map<std::size_t, std::uint64_t>> complete_by_bucket_;
    std::map<std::string, std::map<std::size_t, std::uint64_t>> all_by_bucket_;
    /// Runs by service and kind, then by root request.
    std::map<std::string, std::map<std::string, std::uint64_t>> runs_;
    std::map<std::string, std::set<std::string>> told_not_run_;
    /// Requests of which a caller was told `not-run` although an upstream ran them.
    std::set<std::string> ran_although_not_run_;
    std::uint64_t unread_records_ = 0;
};
