#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

/// Stand-ins for the platform, its store, targets and clients, for the scripts of the review. They
/// use blocking sockets and one thread per connection.
namespace review {

using steady = std::chrono::steady_clock;

/// True unless the environment has TROUBLE=0.
bool is_trouble_on();

/// Opens record.txt in the folder of the case.
void open_record(const std::string& folder);

/// Writes one line with the time since the start to the record.
void record(const std::string& line);

/// Ends the process of the case with 2, since it could not run.
[[noreturn]] void cannot_run(const std::string& reason);

/// A parsed HTTP/1.1 message.
struct http_message {
    std::string start;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// Value of a header; empty if there is none.
    std::string header(const std::string& name) const;
    std::string method() const;
    std::string path() const;
};

/// A connected socket with an input buffer.
class connection {
public:
    explicit connection(int descriptor) : descriptor_(descriptor) {}
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// Connects from any address; null if that fails.
    static std::unique_ptr<connection> open(const std::string& address, std::uint16_t port);

    /// Sends all bytes; false if the connection ended.
    bool send(std::string_view bytes);
    /// Reads one message with a length; false at the end of the connection or if the bytes are no
    /// message, of which `bytes_left` then returns what arrived.
    bool read(http_message& message);
    const std::string& bytes_left() const { return buffer_; }
    /// Limits how long `read` waits for more bytes.
    void set_timeout(std::chrono::milliseconds timeout) const;
    /// True if the peer closed or reset the connection.
    bool is_ended() const;
    /// Ends both directions, which wakes a reader.
    void shut() const;

private:
    bool fill();

    int descriptor_;
    std::string buffer_;
};

/// Accepts connections and serves each in a thread of its own.
class server {
public:
    using handler = std::function<void(connection&)>;

    server(const std::string& address, std::uint16_t port, handler serve);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

private:
    void accept();

    int listener_;
    handler serve_;
    std::mutex mutex_;
    std::vector<std::shared_ptr<connection>> open_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
    bool stopped_ = false;
};

/// The platform's metadata store.
class store {
public:
    store(const std::string& address, std::uint16_t port);

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

    /// While closed, the store answers every call with 503.
    void set_closed(bool closed);

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        bool removed = false;
    };

    void serve(connection& c);
    std::string page(const std::string& prefix, const std::string& after);
    std::string events(const std::string& prefix, std::uint64_t after,
                       std::chrono::milliseconds wait);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::uint64_t revision_ = 100;
    bool closed_ = false;
    std::unique_ptr<server> server_;
};

/// One run of a request at a target.
struct run {
    std::string id;
    std::string path;
    /// When it reached the target.
    double at = 0.0;
};

/// A target: runs `slots` requests at a time, queues a few, and rejects the rest.
class target {
public:
    struct options {
        std::string id;
        std::string service;
        std::string zone;
        std::string address;
        std::uint16_t port = 0;
        unsigned slots = 8;
        unsigned queue = 16;
        std::string health_path = "/health";
    };
    /// How long a request works.
    using work_time = std::function<std::chrono::milliseconds(const http_message&)>;
    /// Sends another answer than the usual one. Returns false if the usual one is to be sent.
    using fault = std::function<bool(const http_message&, connection&)>;

    target(options o, work_time work, fault f = {});

    /// The target's entry in the store.
    std::string entry(const std::string& state, unsigned sequence) const;
    std::string key() const { return "servers/" + options_.id; }

    /// Ends the target: cuts its connections and closes its port.
    void end();

    /// All requests that began to run.
    std::vector<run> runs() const;
    bool has_run(const std::string& id) const;

private:
    void serve(connection& c);
    bool answer(const http_message& request, connection& c);

    options options_;
    work_time work_;
    fault fault_;
    std::int64_t born_;
    mutable std::mutex mutex_;
    std::condition_variable freed_;
    unsigned running_ = 0;
    unsigned waiting_ = 0;
    std::vector<run> runs_;
    std::unique_ptr<server> server_;
};

/// A route of the configuration.
struct route {
    std::string name;
    std::string host;
    std::string prefix;
    std::string kind;
    std::string service;
    double timeout_s = 5.0;
    double slo_s = 3.0;
    unsigned priority = 1;
    unsigned max_attempts = 2;
};

/// The value of op/config.
std::string config_text(unsigned version, const std::vector<route>& routes,
                        const std::vector<std::string>& services);

/// Addresses and ports of a deployment on loopback that are free.
class network {
public:
    explicit network(unsigned nodes);

    std::string store_address() const { return base_ + "1"; }
    std::uint16_t store_port() const { return first_port_; }
    std::string node_address(unsigned node) const { return base_ + std::to_string(11 + node); }
    std::uint16_t app_port() const { return static_cast<std::uint16_t>(first_port_ + 1); }
    std::uint16_t inbound_port() const { return static_cast<std::uint16_t>(first_port_ + 2); }
    std::uint16_t ready_port() const { return static_cast<std::uint16_t>(first_port_ + 3); }
    std::uint16_t outbound_port() const { return static_cast<std::uint16_t>(first_port_ + 4); }

private:
    std::string base_;
    std::uint16_t first_port_ = 0;
};

/// One sidecar process, started with the command of the deploy file, and the platform beside it:
/// readiness checks, and the kill of a process that exceeds its memory.
class sidecar {
public:
    struct options {
        std::string name;
        std::string zone;
        std::string service;
        unsigned node = 0;
        unsigned memory_mb = 260;
    };

    sidecar(const network& n, options o);
    ~sidecar();
    sidecar(const sidecar&) = delete;
    sidecar& operator=(const sidecar&) = delete;

    void start();
    void signal(int number);
    /// True once a readiness check was answered with 200.
    bool wait_ready(std::chrono::milliseconds limit) const;
    bool is_running();
    /// Largest resident size so far, in bytes.
    std::size_t peak_bytes() const;
    /// True if the platform killed the process since it exceeded its memory.
    bool was_killed_for_memory() const { return killed_for_memory_; }
    const std::string& address() const { return address_; }
    std::uint16_t outbound_port() const { return network_.outbound_port(); }

private:
    std::string settings() const;
    void watch_memory();
    void reap();

    network network_;
    options options_;
    std::string address_;
    std::string folder_;
    std::size_t process_ = 0;
    pid_t pid_ = 0;
    std::atomic<bool> ended_ = true;
    std::atomic<bool> stopping_ = false;
    std::atomic<bool> killed_for_memory_ = false;
    std::atomic<std::size_t> peak_ = 0;
    std::thread watcher_;
};

/// A request of a client.
struct client_request {
    std::string method = "GET";
    std::string host;
    std::string path;
    std::string body;
    unsigned deadline_ms = 5000;
};

/// What a client saw of one request.
struct client_result {
    std::string id;
    /// Status of the answer; 0 if there was none.
    unsigned status = 0;
    bool on_kept_connection = false;
    /// The connection ended before an answer was complete.
    bool is_closed = false;
    /// The client's deadline passed.
    bool is_late = false;
    bool has_seal = false;
    /// Time after which the client is to come back.
    std::chrono::milliseconds retry_after{0};
    /// Bytes that are no answer.
    std::string invalid;
    std::string body;
};

/// A client that sends one request after another on one connection.
class client {
public:
    client(const std::string& address, std::uint16_t port) : address_(address), port_(port) {}

    /// Opens a connection if there is none, without a request.
    bool connect();
    client_result ask(const client_request& request);

private:
    std::string address_;
    std::uint16_t port_;
    std::unique_ptr<connection> connection_;
    unsigned asked_ = 0;
};

/// A new request id.
std::string new_id();

/// Seconds since the start of the case.
double now_s();

} // namespace review
