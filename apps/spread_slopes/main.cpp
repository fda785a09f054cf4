#include "gossip_model.h"
#include "loopback_cost.h"

#include <glog/logging.h>

#include <algorithm>
#include <iostream>

namespace {

using namespace std::chrono_literals;
using namespace trefoil;

constexpr auto settle_time = 60s;
constexpr auto steady_time = 10s;
constexpr auto step = 10ms;
/// A change that takes longer than this is reported as not in force.
constexpr auto longest_spread = 60s;
constexpr std::uint64_t runs_per_size = 5;

double seconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
}

/// Virtual time until all nodes have the change; longest_spread if they do not.
std::chrono::nanoseconds time_until_all(gossip_model& model, std::uint64_t version)
{
    model.publish_config(version);
    const auto start = model.now();
    while (model.count_without(version) != 0 && model.now() - start < longest_spread) {
        model.run_for(step);
    }
    return model.now() - start;
}

struct spread_run {
    std::chrono::nanoseconds until_all{};
    double messages = 0.0;
    double bytes = 0.0;
    double platform_calls = 0.0;
};

spread_run run_fleet(std::size_t nodes, double loss, std::uint64_t seed, std::size_t overhead)
{
    model_options options;
    options.nodes = nodes;
    options.zones = std::min<std::size_t>(9, nodes / 2);
    options.loss = loss;
    options.seed = seed;
    gossip_model model(options);
    model.run_for(settle_time);
    model.count_bytes(true);
    const auto messages = model.messages();
    const auto bytes = model.bytes();
    const auto calls = model.platform_calls().size();
    model.run_for(steady_time);
    model.count_bytes(false);
    const double node_seconds = static_cast<double>(nodes) * seconds(steady_time);
    const auto sent = static_cast<double>(model.messages() - messages);
    const auto content = static_cast<double>(model.bytes() - bytes);
    spread_run run;
    run.messages = sent / node_seconds;
    run.bytes = (content + sent * static_cast<double>(overhead)) / node_seconds;
    for (auto i = calls; i < model.platform_calls().size(); ++i) {
        run.platform_calls += static_cast<double>(model.platform_calls()[i]);
    }
    run.platform_calls /= seconds(steady_time);
    run.until_all = time_until_all(model, 2);
    return run;
}

void print_spread(std::size_t nodes, double loss, std::size_t overhead)
{
    spread_run worst;
    for (std::uint64_t seed = 1; seed <= runs_per_size; ++seed) {
        const auto run = run_fleet(nodes, loss, seed, overhead);
        worst.until_all = std::max(worst.until_all, run.until_all);
        worst.messages = std::max(worst.messages, run.messages);
        worst.bytes = std::max(worst.bytes, run.bytes);
        worst.platform_calls = std::max(worst.platform_calls, run.platform_calls);
    }
    std::cout << R"({"measure":"spread","nodes":)" << nodes << R"(,"loss":)" << loss
              << R"(,"runs":)" << runs_per_size << R"(,"worst_seconds_until_all":)"
              << seconds(worst.until_all) << R"(,"messages_sent_per_node_s":)" << worst.messages
              << R"(,"bytes_sent_per_node_s":)" << worst.bytes << R"(,"platform_calls_per_s":)"
              << worst.platform_calls << "}\n"
              << std::flush;
}

exchange_message usual_message()
{
    exchange_message message;
    message.header = {"serra-gaucha", protocol_version, vm_name("vm-pedidos-0012"),
                      1'796'349'327'000, 86'400};
    message.config = {2900};
    message.config_digest = digest_of("config");
    message.list = {270};
    message.list_digest = digest_of("list");
    message.contact_age = 1500ms;
    return message;
}

exchange_message largest_message()
{
    auto message = usual_message();
    const vm_name name("vm-pedidos-0012");
    message.leaving.resize(exchange_message::max_list_entries, {name, message.header.incarnation});
    message.suspected.resize(exchange_message::max_list_entries, name);
    crash_report report{{UINT64_MAX}, {}, {}, true};
    report.crashes.resize(exchange_message::max_crash_report_entries,
                          {{name, {message.header.incarnation}, 2}, 60s, false});
    report.ids.resize(exchange_message::max_crash_report_entries,
                      request_id::from_parts(wall_time(1700000000000ms), 1, 2));
    message.crashes.resize(exchange_message::max_crash_reports, report);
    return message;
}

/// Returns the bytes that HTTP and JSON-RPC add to one message, the larger of both directions.
std::size_t print_exchange(const char* content, const exchange_message& message)
{
    constexpr std::size_t exchanges = 2000;
    const auto bytes = measure_exchange_bytes(message);
    const auto cost = measure_exchange_cost(message, exchanges);
    std::cout << R"({"measure":"exchange","content":")" << content << R"(","request_bytes":)"
              << bytes.request << R"(,"result_bytes":)" << bytes.result << R"(,"cpu_us":)"
              << cost.cpu_us << R"(,"wall_us":)" << cost.wall_us << R"(,"exchanges":)" << exchanges
              << "}\n"
              << std::flush;
    return std::max(bytes.request, bytes.result) - to_json(message).size();
}

} // namespace

int main(int, char** argv)
{
    google::InitGoogleLogging(argv[0]);
    const auto overhead = print_exchange("usual", usual_message());
    print_exchange("largest", largest_message());
    for (const std::size_t nodes : {10, 100, 1000, 2400}) {
        for (const double loss : {0.0, 0.1}) {
            print_spread(nodes, loss, overhead);
        }
    }
    return 0;
}
