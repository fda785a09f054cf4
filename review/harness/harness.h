#pragma once

// Stand-ins for the platform's store, targets and clients, and control of sidecar processes, for
// the scenarios under review/6 to review/10. Blocking sockets, one thread per connection.

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Writes lines with the time since the start of the scenario to record.txt.
class recorder {
public:
    explicit recorder(const std::string& path);
    ~recorder();
    recorder(const recorder&) = delete;
    recorder& operator=(const recorder&) = delete;
    void line(const std::string& text);

private:
    std::mutex mutex_;
    steady::time_point start_ = steady::now();
    std::FILE* file_;
};

/// A request or an answer.
struct message {
    std::string start_line;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;

    std::string header(const std::string& name) const;
    std::string method() const;
    std::string path() const; // with query
    int status() const;
};

/// Result of reading one message.
enum class read_status { complete, closed, reset, timeout, malformed };

/// Reads one message. `buffer` keeps bytes that follow it.
read_status read_message(int fd, std::string& buffer, message& m, steady::time_point deadline,
                         bool is_answer);

/// Writes all bytes; false if the connection ended or the deadline passed.
bool write_all(int fd, const std::string& bytes,
               steady::time_point deadline = steady::time_point::max());

/// Connects to an address; -1 on failure. `receive_bytes` is the size of the receive buffer; 0 for
/// the system's choice.
int connect_to(const std::string& ip, int port, milliseconds timeout = milliseconds(1000),
               int receive_bytes = 0);

/// Closes a connection; with a reset if `with_reset`.
void close_fd(int fd, bool with_reset = false);

/// Accepts connections and serves each on its own thread.
class tcp_server {
public:
    using handler = std::function<void(int fd)>;

    tcp_server(std::string ip, int port, handler h);
    ~tcp_server();
    tcp_server(const tcp_server&) = delete;
    tcp_server& operator=(const tcp_server&) = delete;

    void start();
    /// Closes the port and all connections, with a reset like the end of a process.
    void stop();
    const std::string& ip() const { return ip_; }
    int port() const { return port_; }

private:
    void accept_loop(int listener);

    std::string ip_;
    int port_;
    handler handler_;
    std::mutex mutex_;
    int listener_ = -1;
    std::set<int> connections_;
    std::thread acceptor_;
    std::vector<std::thread> threads_;
};

/// The platform's store: items, one revision counter, range reads and watches.
class store {
public:
    enum class mode { up, silent };

    store(std::string ip, int port, recorder& log);
    void start() { server_.start(); }
    void stop();

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /// In mode `silent`, calls are read and never answered, and watches that wait end unanswered.
    void set_mode(mode m);
    const std::string& ip() const { return server_.ip(); }
    int port() const { return server_.port(); }
    /// Number of answered calls.
    std::uint64_t answered() const { return answered_; }

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };
    struct event {
        std::string key;
        std::optional<item> written;
        std::uint64_t revision = 0;
    };
    void serve(int fd);
    std::optional<std::string> answer(const message& m);
    std::string json_of(const std::string& key, const item& i) const;

    recorder& log_;
    tcp_server server_;
    std::mutex mutex_;
    std::map<std::string, item> items_;
    std::vector<event> history_;
    std::uint64_t revision_ = 100;
    mode mode_ = mode::up;
    bool stopped_ = false;
    std::atomic<std::uint64_t> answered_{0};
};

/// A target as the pages describe it. Answers status checks and rejects what names another id.
class target {
public:
    struct reply {
        int status = 200;
        std::string body;
        /// Called instead of a plain write of the answer, if set.
        std::function<void(int fd, const std::string& text)> writer;
    };
    using work_function = std::function<reply(const message&)>;

    target(std::string ip, int port, std::string service, std::string id, recorder& log);
    void start() { server_.start(); }
    void stop() { server_.stop(); }
    void set_work(work_function work) { work_ = std::move(work); }
    /// Lines of the log name every run; switched off for large numbers of them.
    void set_logged(bool logged) { logged_ = logged; }

    const std::string& id() const { return id_; }
    const std::string& service() const { return service_; }
    std::string address() const;
    /// Value of the entry `servers/ID`.
    std::string entry(const std::string& zone, int slots, bool draining = false,
                      int sequence = 1) const;

    struct run {
        std::string request_id;
        std::string method;
        std::string path;
        std::string body;
        std::string caller_service;
    };
    std::vector<run> runs();

private:
    void serve(int fd);

    std::string service_;
    std::string id_;
    recorder& log_;
    tcp_server server_;
    work_function work_;
    bool logged_ = true;
    std::mutex mutex_;
    std::vector<run> runs_;
};

/// A machine: its addresses and the sidecar process on it.
struct machine {
    std::string name;
    std::string zone;
    std::string service;
    std::string ip;
    int inbound = 0;
    int outbound = 0;
    int ready = 0;
    int app = 0;
};

/// Starts and ends sidecar processes with the settings of a small deployment.
class sidecar {
public:
    sidecar(machine m, const std::string& store_ip, int store_port, int memory_mb,
            const std::string& folder, recorder& log);
    ~sidecar();
    sidecar(const sidecar&) = delete;
    sidecar& operator=(const sidecar&) = delete;

    void start();
    void signal(int number);
    /// Sets `grace_s` of the settings; to be called before the start.
    void set_grace(int seconds);
    /// Writes the settings file with another `grace_s` and sends SIGHUP.
    void change_grace(int seconds);
    /// Waits for the end of the process; false if it still runs at the deadline.
    bool wait_end(milliseconds limit);
    bool is_running();
    /// Sends SIGKILL and waits.
    void kill();
    bool wait_ready(milliseconds limit);
    /// Resident size and its peak, in kilobytes; 0 if the process has ended.
    std::size_t resident_kb() const { return memory_field("VmRSS:"); }
    std::size_t peak_kb() const { return memory_field("VmHWM:"); }
    const machine& where() const { return machine_; }
    pid_t pid() const { return pid_; }

private:
    std::size_t memory_field(const char* name) const;
    void write_settings() const;

    machine machine_;
    std::string store_ip_;
    int store_port_;
    int memory_mb_;
    int grace_s_ = 6;
    recorder& log_;
    std::string settings_;
    std::string output_;
    pid_t pid_ = -1;
};

/// Answer seen by a client.
struct outcome {
    /// 0: no answer.
    int status = 0;
    read_status end = read_status::closed;
    bool connected = false;
    message answer;
};

/// Text of a client's request.
std::string request_text(const std::string& method, const std::string& host,
                         const std::string& path, const std::string& id, int deadline_ms,
                         const std::string& body = {});

/// Sends one request on a new connection and waits for its answer.
outcome send_request(const std::string& ip, int port, const std::string& text, milliseconds limit);
/// The same on an open connection, which stays open.
outcome exchange(int fd, std::string& buffer, const std::string& text, milliseconds limit);

struct route {
    std::string name;
    std::string host;
    std::string prefix;
    bool idempotent = false;
    double timeout_s = 5;
    double slo_s = 3;
    int priority = 1;
    std::string service;
    int max_attempts = 2;
};

/// Value of `op/config`. All services have the status check `/health`.
std::string config_value(int version, const std::vector<route>& routes,
                         const std::vector<std::string>& services,
                         std::uint64_t max_body_bytes = 67108864);

/// Clients that send one POST after another, each on its own kept connection, and connect again
/// when it ends.
class kept_clients {
public:
    struct options {
        std::string ip;
        int port = 0;
        std::string host;
        std::string path;
        milliseconds deadline{5000};
        int count = 8;
        /// Time between the starts of two clients.
        milliseconds stagger{0};
    };

    kept_clients(options o, recorder& log);
    ~kept_clients() { stop(); }
    kept_clients(const kept_clients&) = delete;
    kept_clients& operator=(const kept_clients&) = delete;

    void start();
    /// Waits for the answers to the requests in progress.
    void stop();

    /// Requests whose connection ended without a complete answer: ids and the times of sending.
    std::map<std::string, steady::time_point> unanswered();
    int answered() const { return answered_; }

private:
    void send_requests(int client);

    options options_;
    recorder& log_;
    std::atomic<bool> over_{false};
    std::atomic<int> answered_{0};
    std::mutex mutex_;
    std::map<std::string, steady::time_point> unanswered_;
    std::vector<std::thread> threads_;
};

/// The platform's limit on memory: kills a process that exceeds `memory_mb`, read as MiB, and
/// starts it again.
class memory_watch {
public:
    memory_watch(sidecar& watched, int memory_mb, recorder& log);
    ~memory_watch() { stop(); }
    memory_watch(const memory_watch&) = delete;
    memory_watch& operator=(const memory_watch&) = delete;

    void start();
    void stop();
    std::size_t peak_mib() const { return peak_kb_ / 1024; }
    int kills() const { return kills_; }

private:
    sidecar& watched_;
    int memory_mb_;
    recorder& log_;
    std::atomic<bool> over_{false};
    std::atomic<std::size_t> peak_kb_{0};
    std::atomic<int> kills_{0};
    std::thread thread_;
};

/// Number of the requests that a target ran and whose connection ended without a complete answer;
/// only of those sent later than `after`.
int count_lost(target& sound, kept_clients& clients,
               steady::time_point after = steady::time_point::min());

/// Finds loopback addresses 127.A.B.1 to 127.A.B.COUNT on which the ports of a deployment are free.
std::string free_block(int count);

/// A temporary folder that is removed at the end.
class temporary_folder {
public:
    temporary_folder();
    ~temporary_folder();
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    const std::string& path() const { return path_; }

private:
    std::string path_;
};

/// Ports of all machines of a deployment, as in the example of the platform's pages.
inline constexpr int inbound_port = 8300;
inline constexpr int app_port = 8301;
inline constexpr int ready_port = 8302;
inline constexpr int outbound_port = 8304;
inline constexpr int store_port = 8309;

/// Machine number `index` of the deployment on the block.
machine make_machine(const std::string& block, int index, const std::string& zone,
                     const std::string& service);

/// Whether the scenario applies its disruption (environment variable TROUBLE).
bool trouble();

/// Ends the scenario's processes if it is interrupted. To be called first.
void install_signal_guard();

void sleep_for(milliseconds time);

} // namespace review
