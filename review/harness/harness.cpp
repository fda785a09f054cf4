#include "harness.h"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <future>
#include <sstream>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

int milliseconds_until(steady::time_point deadline)
{
    if (deadline == steady::time_point::max()) {
        return -1;
    }
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - steady::now()).count();
    return static_cast<int>(std::max<std::int64_t>(0, left));
}

sockaddr_in address_of(const std::string& ip, int port)
{
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &a.sin_addr);
    return a;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string trimmed(const std::string& text)
{
    const auto first = text.find_first_not_of(" \t");
    const auto last = text.find_last_not_of(" \t\r");
    return first == std::string::npos ? std::string() : text.substr(first, last - first + 1);
}

std::string base64(const std::string& bytes)
{
    static constexpr char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8U |
                    (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text += i + j > bytes.size() ? '=' : digits[group >> (18U - 6U * j) & 63U];
        }
    }
    return text;
}

std::string query_value(const std::string& path, const std::string& name)
{
    auto at = path.find('?');
    while (at != std::string::npos) {
        const auto next = path.find('&', at + 1);
        const auto pair = path.substr(at + 1, next == std::string::npos ? next : next - at - 1);
        const auto equals = pair.find('=');
        if (equals != std::string::npos && pair.substr(0, equals) == name) {
            std::string value;
            for (std::size_t i = equals + 1; i < pair.size(); ++i) {
                if (pair[i] == '%' && i + 2 < pair.size()) {
                    value += static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16));
                    i += 2;
                }
                else {
                    value += pair[i];
                }
            }
            return value;
        }
        at = next;
    }
    return {};
}

/// Reads more bytes into the buffer.
read_status read_more(int fd, std::string& buffer, steady::time_point deadline)
{
    for (;;) {
        pollfd p{fd, POLLIN, 0};
        const int ready = poll(&p, 1, milliseconds_until(deadline));
        if (ready < 0 && errno == EINTR) {
            continue;
        }
        if (ready == 0) {
            return read_status::timeout;
        }
        char bytes[65536];
        const auto count = recv(fd, bytes, sizeof bytes, 0);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count < 0) {
            return read_status::reset;
        }
        if (count == 0) {
            return read_status::closed;
        }
        buffer.append(bytes, static_cast<std::size_t>(count));
        return read_status::complete;
    }
}

/// Starts processes on one thread that lives as long as the scenario: PR_SET_PDEATHSIG ends a child
/// with the thread that started it.
class spawner {
public:
    static pid_t run(const std::function<pid_t()>& start)
    {
        static spawner* const one = new spawner;
        std::promise<pid_t> result;
        {
            const std::lock_guard lock(one->mutex_);
            one->jobs_.emplace_back([&] { result.set_value(start()); });
        }
        one->changed_.notify_one();
        return result.get_future().get();
    }

private:
    spawner()
    {
        std::thread([this] {
            for (;;) {
                std::unique_lock lock(mutex_);
                changed_.wait(lock, [this] { return !jobs_.empty(); });
                const auto job = std::move(jobs_.front());
                jobs_.pop_front();
                lock.unlock();
                job();
            }
        }).detach();
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::function<void()>> jobs_;
};

std::string format_number(double value)
{
    std::ostringstream text;
    text << value;
    return text.str();
}

} // namespace

recorder::recorder(const std::string& path) : file_(std::fopen(path.c_str(), "w"))
{
    if (file_ == nullptr) {
        throw std::runtime_error("cannot write " + path);
    }
}

recorder::~recorder()
{
    std::fclose(file_);
}

void recorder::line(const std::string& text)
{
    const std::lock_guard lock(mutex_);
    const std::chrono::duration<double> time = steady::now() - start_;
    std::fprintf(file_, "%8.3f %s\n", time.count(), text.c_str());
    std::fflush(file_);
}

std::string message::header(const std::string& name) const
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

std::string message::method() const
{
    return start_line.substr(0, start_line.find(' '));
}

std::string message::path() const
{
    const auto first = start_line.find(' ');
    const auto second = start_line.find(' ', first + 1);
    return start_line.substr(first + 1, second - first - 1);
}

int message::status() const
{
    const auto first = start_line.find(' ');
    return first == std::string::npos ? 0 : std::atoi(start_line.c_str() + first);
}

read_status read_message(int fd, std::string& buffer, message& m, steady::time_point deadline,
                         bool is_answer)
{
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        const auto status = read_more(fd, buffer, deadline);
        if (status != read_status::complete) {
            return status;
        }
    }
    m = {};
    std::istringstream head(buffer.substr(0, end));
    buffer.erase(0, end + 4);
    std::getline(head, m.start_line);
    m.start_line = trimmed(m.start_line);
    for (std::string line; std::getline(head, line);) {
        const auto colon = line.find(':');
        if (colon == std::string::npos) {
            return read_status::malformed;
        }
        m.headers[lower(line.substr(0, colon))] = trimmed(line.substr(colon + 1));
    }
    if (is_answer && m.status() / 100 == 1) {
        return read_message(fd, buffer, m, deadline, is_answer);
    }
    const std::size_t length = std::strtoul(m.header("content-length").c_str(), nullptr, 10);
    buffer.reserve(length);
    while (buffer.size() < length) {
        const auto status = read_more(fd, buffer, deadline);
        if (status != read_status::complete) {
            return status;
        }
    }
    m.body = buffer.substr(0, length);
    buffer.erase(0, length);
    return read_status::complete;
}

bool write_all(int fd, const std::string& bytes, steady::time_point deadline)
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        pollfd p{fd, POLLOUT, 0};
        const int ready = poll(&p, 1, milliseconds_until(deadline));
        if (ready < 0 && errno == EINTR) {
            continue;
        }
        if (ready <= 0) {
            return false;
        }
        const auto count =
            send(fd, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            continue;
        }
        if (count < 0) {
            return false;
        }
        written += static_cast<std::size_t>(count);
    }
    return true;
}

int connect_to(const std::string& ip, int port, milliseconds timeout, int receive_bytes)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (receive_bytes > 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof receive_bytes);
    }
    const auto a = address_of(ip, port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0) {
        pollfd p{fd, POLLOUT, 0};
        int error = errno;
        socklen_t size = sizeof error;
        if (error == EINPROGRESS && poll(&p, 1, static_cast<int>(timeout.count())) == 1) {
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
        }
        if (error != 0) {
            close(fd);
            return -1;
        }
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

void close_fd(int fd, bool with_reset)
{
    if (with_reset) {
        const linger option{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    }
    close(fd);
}

tcp_server::tcp_server(std::string ip, int port, handler h)
    : ip_(std::move(ip)), port_(port), handler_(std::move(h))
{
}

tcp_server::~tcp_server()
{
    stop();
    for (auto& t : threads_) {
        t.join();
    }
}

void tcp_server::start()
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto a = address_of(ip_, port_);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0 || listen(fd, 1024) != 0) {
        close(fd);
        throw std::runtime_error("cannot listen on " + ip_ + ":" + std::to_string(port_));
    }
    {
        const std::lock_guard lock(mutex_);
        listener_ = fd;
    }
    acceptor_ = std::thread([this, fd] { accept_loop(fd); });
}

void tcp_server::accept_loop(int listener)
{
    for (;;) {
        const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0 && (errno == EINTR || errno == ECONNABORTED)) {
            continue;
        }
        if (fd < 0) {
            return;
        }
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::lock_guard lock(mutex_);
        if (listener_ < 0) {
            close_fd(fd, true);
            return;
        }
        connections_.insert(fd);
        threads_.emplace_back([this, fd] {
            handler_(fd);
            const std::lock_guard guard(mutex_);
            connections_.erase(fd);
            close(fd);
        });
    }
}

void tcp_server::stop()
{
    {
        const std::lock_guard lock(mutex_);
        if (listener_ < 0) {
            return;
        }
        shutdown(listener_, SHUT_RDWR);
        close(listener_);
        listener_ = -1;
        for (const int fd : connections_) {
            const linger option{1, 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
            shutdown(fd, SHUT_RDWR);
        }
    }
    acceptor_.join();
}

store::store(std::string ip, int port, recorder& log)
    : log_(log), server_(std::move(ip), port, [this](int fd) { serve(fd); })
{
}

void store::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopped_ = true;
    }
    server_.stop();
}

void store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock(mutex_);
    auto& i = items_[key];
    ++revision_;
    i.value = value;
    i.revision = revision_;
    i.created = i.created == 0 ? revision_ : i.created;
    history_.push_back({key, i, revision_});
    log_.line("store: " + key + " written, revision " + std::to_string(revision_));
}

void store::remove(const std::string& key)
{
    const std::lock_guard lock(mutex_);
    if (items_.erase(key) == 0) {
        return;
    }
    ++revision_;
    history_.push_back({key, std::nullopt, revision_});
    log_.line("store: " + key + " removed, revision " + std::to_string(revision_));
}

void store::set_mode(mode m)
{
    const std::lock_guard lock(mutex_);
    mode_ = m;
    log_.line(m == mode::up ? "store: up" : "store: down (silent)");
}

std::string store::json_of(const std::string& key, const item& i) const
{
    return R"({"key":")" + key + R"(","value":")" + base64(i.value) + R"(","revision":)" +
           std::to_string(i.revision) + R"(,"created":)" + std::to_string(i.created) +
           R"(,"lease":0})";
}

std::optional<std::string> store::answer(const message& m)
{
    const auto path = m.path();
    const auto prefix = query_value(path, "prefix");
    const bool is_watch = path.starts_with("/-/kv-watch");
    const auto after = query_value(path, "after");
    const auto end = steady::now() +
                     milliseconds(is_watch ? std::atoi(query_value(path, "wait_ms").c_str()) : 0);
    for (;;) {
        {
            const std::lock_guard lock(mutex_);
            if (mode_ == mode::silent || stopped_) {
                return std::nullopt;
            }
            std::string list;
            if (is_watch) {
                const auto known = std::strtoull(after.c_str(), nullptr, 10);
                for (const auto& e : history_) {
                    if (e.revision <= known || !e.key.starts_with(prefix)) {
                        continue;
                    }
                    list += list.empty() ? "" : ",";
                    list += e.written ? json_of(e.key, *e.written)
                                      : R"({"key":")" + e.key + R"(","revision":)" +
                                            std::to_string(e.revision) + R"(,"removed":true})";
                }
                if (!list.empty() || steady::now() >= end) {
                    return R"({"events":[)" + list + R"(],"current_rev":)" +
                           std::to_string(revision_) + "}";
                }
            }
            else {
                for (const auto& [key, i] : items_) {
                    if (key.starts_with(prefix) && key > after) {
                        list += list.empty() ? "" : ",";
                        list += json_of(key, i);
                    }
                }
                return R"({"items":[)" + list + R"(],"has_more":false,"current_rev":)" +
                       std::to_string(revision_) + "}";
            }
        }
        sleep_for(milliseconds(4));
    }
}

void store::serve(int fd)
{
    std::string buffer;
    message m;
    while (read_message(fd, buffer, m, steady::time_point::max(), false) == read_status::complete) {
        const auto body = answer(m);
        if (!body) {
            // A connection on which an answer was lost returns nothing more.
            while (read_more(fd, buffer, steady::time_point::max()) == read_status::complete) {
                buffer.clear();
            }
            return;
        }
        ++answered_;
        if (!write_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                               std::to_string(body->size()) + "\r\n\r\n" + *body)) {
            return;
        }
    }
}

target::target(std::string ip, int port, std::string service, std::string id, recorder& log)
    : service_(std::move(service)), id_(std::move(id)), log_(log),
      server_(std::move(ip), port, [this](int fd) { serve(fd); }), work_([](const message&) {
          return reply{200, "done", {}};
      })
{
}

std::string target::address() const
{
    return server_.ip() + ":" + std::to_string(server_.port());
}

std::string target::entry(const std::string& zone, int slots, bool draining, int sequence) const
{
    return R"({"address":")" + address() + R"(","info":{"service":")" + service_ +
           R"(","version":"v1","zone":")" + zone + R"(","slots":)" + std::to_string(slots) +
           R"(},"status":{"state":")" + (draining ? "draining" : "ready") + R"(","sequence":)" +
           std::to_string(sequence) + R"(,"warmup_left_s":0}})";
}

std::vector<target::run> target::runs()
{
    const std::lock_guard lock(mutex_);
    return runs_;
}

void target::serve(int fd)
{
    std::string buffer;
    message m;
    while (read_message(fd, buffer, m, steady::time_point::max(), false) == read_status::complete) {
        const auto request_id = m.header("x-request-id");
        const auto expected = m.header("x-expect-instance");
        const std::string echo =
            request_id.empty() ? std::string() : "X-Request-Id: " + request_id + "\r\n";
        if (m.path() == "/health") {
            log_.line("target " + id_ + " (" + service_ + "): status check answered");
            if (!write_all(fd, "HTTP/1.1 200 OK\r\nX-Instance-Id: " + id_ +
                                   "\r\nX-Server-Load: 0,0,8\r\nContent-Length: 0\r\n\r\n")) {
                return;
            }
            continue;
        }
        if (!expected.empty() && expected != id_) {
            log_.line("target " + id_ + " (" + service_ + "): 421 for request " + request_id +
                      ", which expects " + expected);
            if (!write_all(fd, "HTTP/1.1 421 Misdirected Request\r\n" + echo +
                                   "X-Instance-Id: " + id_ + "\r\nContent-Length: 0\r\n\r\n")) {
                return;
            }
            continue;
        }
        if (logged_) {
            log_.line("target " + id_ + " (" + service_ + "): runs request " + request_id + " " +
                      m.method() + " " + m.path() + ", body " + std::to_string(m.body.size()) +
                      " bytes, caller service " + m.header("x-caller-service") + ", expects " +
                      expected);
        }
        {
            const std::lock_guard lock(mutex_);
            runs_.push_back({request_id, m.method(), m.path(),
                             m.body.size() > 1000 ? std::string() : m.body,
                             m.header("x-caller-service")});
        }
        const auto r = work_(m);
        const std::string text = "HTTP/1.1 " + std::to_string(r.status) + " X\r\n" + echo +
                                 "X-Response-Seal: seal." + request_id +
                                 "\r\nContent-Length: " + std::to_string(r.body.size()) +
                                 "\r\n\r\n" + r.body;
        if (r.writer) {
            r.writer(fd, text);
        }
        else if (!write_all(fd, text)) {
            return;
        }
    }
}

machine make_machine(const std::string& block, int index, const std::string& zone,
                     const std::string& service)
{
    return {"sidecar-" + zone + "-" + std::to_string(index),
            zone,
            service,
            block + std::to_string(index),
            inbound_port,
            outbound_port,
            ready_port,
            app_port};
}

sidecar::sidecar(machine m, const std::string& store_ip, int store_port, int memory_mb,
                 const std::string& folder, recorder& log)
    : machine_(std::move(m)), store_ip_(store_ip), store_port_(store_port), memory_mb_(memory_mb),
      log_(log), settings_(folder + "/" + machine_.name + ".toml"),
      output_(folder + "/" + machine_.name + ".log")
{
    write_settings();
}

void sidecar::set_grace(int seconds)
{
    grace_s_ = seconds;
    write_settings();
}

void sidecar::change_grace(int seconds)
{
    log_.line(machine_.name + ": settings file has grace_s " + std::to_string(seconds));
    set_grace(seconds);
    signal(SIGHUP);
}

void sidecar::write_settings() const
{
    const auto at = [this](int port) { return machine_.ip + ":" + std::to_string(port); };
    std::ofstream file(settings_);
    file << "[self]\nnode_name = \"" << machine_.name << "\"\nrole = \"sidecar\"\n"
         << "machine_class = \"sidecar\"\nserves = [\"sidecar\"]\nip = \"" << machine_.ip
         << "\"\nzone = \"" << machine_.zone << "\"\nregion = \"sul-br\"\n"
         << "fault_counted = false\nbootstrap = true\napp_addr = \"" << at(machine_.app)
         << "\"\nservice = \"" << machine_.service << "\"\n[self.limits]\ncpu_share = 0.4\n"
         << "cores = 1\nmemory_mb = " << memory_mb_ << "\nmax_fds = 4100\nlink_mbps = 1000.0\n"
         << "disk_mb = 0\n[network]\ninternal_port_range = [7620,7635]\nseeds = []\n"
         << "[network.listen]\ninbound = \"" << at(machine_.inbound) << "\"\noutbound = \""
         << at(machine_.outbound) << "\"\nready = \"" << at(machine_.ready) << "\"\n"
         << "[network.zones]\ncaxias = \"sul-br\"\nbento = \"sul-br\"\ngramado = \"sul-br\"\n"
         << "[provider]\ndiscovery = \"platform\"\nentry = \"static\"\nheartbeat_s = 1.5\n"
         << "[provider.provider]\naddress = \"" << store_ip_ << ":" << store_port_
         << "\"\nform = \"read\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\n"
         << "value_bytes = 1048576\nmin_ttl_s = 1\n[terms]\n"
         << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\","
         << "\"pressure\",\"platform\"]\n[terms.fault_tolerance]\nmachines = 2\nzones = 0\n"
         << "regions = 0\n[terms.bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\ncontact_s = 3\n"
         << "ack_s = 4\ncatch_up_s = 4\ndrain_s = 2\ngrace_s = " << grace_s_
         << "\nloss_slack_s = 0.2\n"
         << "config_apply_s = 2\nrollback_slack_s = 0.25\nouter_s = 5\n"
         << "retry_budget_ratio = 0.2\nbudget_window_s = 10\nbudget_slack = 50\nrecover_s = 15\n";
}

sidecar::~sidecar()
{
    kill();
}

void sidecar::start()
{
    const auto parent = getpid();
    pid_ = spawner::run([&]() -> pid_t {
        const auto child = fork();
        if (child != 0) {
            return child;
        }
        // Ends the process with the scenario, whichever way that ends.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(1);
        }
        const int out = open(output_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, 1);
        dup2(out, 2);
        setenv("TREFOILHOLD_NODE_FILE", settings_.c_str(), 1);
        execl("target/trefoilhold-sidecar", "target/trefoilhold-sidecar", nullptr);
        _exit(127);
    });
    log_.line(machine_.name + ": process " + std::to_string(pid_) + " started");
}

void sidecar::signal(int number)
{
    if (pid_ > 0) {
        log_.line(machine_.name + ": signal " + std::to_string(number));
        ::kill(pid_, number);
    }
}

bool sidecar::is_running()
{
    if (pid_ <= 0) {
        return false;
    }
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
        log_.line(machine_.name + ": process ended, wait status " + std::to_string(status));
        pid_ = -1;
        return false;
    }
    return true;
}

bool sidecar::wait_end(milliseconds limit)
{
    const auto end = steady::now() + limit;
    while (is_running()) {
        if (steady::now() >= end) {
            return false;
        }
        sleep_for(milliseconds(5));
    }
    return true;
}

void sidecar::kill()
{
    if (pid_ > 0) {
        ::kill(pid_, SIGKILL);
        wait_end(milliseconds(5000));
    }
}

bool sidecar::wait_ready(milliseconds limit)
{
    const auto end = steady::now() + limit;
    while (steady::now() < end) {
        const auto o =
            send_request(machine_.ip, machine_.ready,
                         "GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n", milliseconds(500));
        if (o.status == 200) {
            return true;
        }
        sleep_for(milliseconds(50));
    }
    return false;
}

std::size_t sidecar::memory_field(const char* name) const
{
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name)) {
            return std::strtoul(line.c_str() + std::strlen(name), nullptr, 10);
        }
    }
    return 0;
}

std::string request_text(const std::string& method, const std::string& host,
                         const std::string& path, const std::string& id, int deadline_ms,
                         const std::string& body)
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                       "\r\nX-Request-Id: " + id +
                       "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
    if (method == "POST") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

outcome exchange(int fd, std::string& buffer, const std::string& text, milliseconds limit)
{
    outcome o;
    o.connected = true;
    const auto deadline = steady::now() + limit;
    // The peer may answer before it has read a long body, so a failed write is no result.
    write_all(fd, text, deadline);
    o.end = read_message(fd, buffer, o.answer, deadline, true);
    o.status = o.end == read_status::complete ? o.answer.status() : 0;
    return o;
}

outcome send_request(const std::string& ip, int port, const std::string& text, milliseconds limit)
{
    const int fd = connect_to(ip, port);
    if (fd < 0) {
        return {};
    }
    std::string buffer;
    auto o = exchange(fd, buffer, text, limit);
    close_fd(fd);
    return o;
}

std::string config_value(int version, const std::vector<route>& routes,
                         const std::vector<std::string>& services, std::uint64_t max_body_bytes)
{
    std::string text = R"({"version":"r)" + std::to_string(version) + R"(","resources":[)";
    for (const auto& r : routes) {
        text += R"({"resource_type":"routes","metadata":{"name":")" + r.name +
                R"("},"spec":{"host":")" + r.host + R"(","prefix":")" + r.prefix + R"(","kind":")" +
                (r.idempotent ? "idempotent" : "non_idempotent") + R"(","timeout_s":)" +
                format_number(r.timeout_s) + R"(,"slo_s":)" + format_number(r.slo_s) +
                R"(,"priority":)" + std::to_string(r.priority) + R"(,"service":")" + r.service +
                R"(","max_attempts":)" + std::to_string(r.max_attempts) + "}},";
    }
    for (const auto& s : services) {
        text +=
            R"({"resource_type":"services","metadata":{"name":")" + s +
            R"("},"spec":{"health_path":"/health","max_conns":610,"protocol":"h1","tls":false}},)";
    }
    return text +
           R"({"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":)" +
           std::to_string(max_body_bytes) + R"(,"header_timeout_s":3,"idle_timeout_s":15}}]})";
}

kept_clients::kept_clients(options o, recorder& log) : options_(std::move(o)), log_(log) {}

void kept_clients::start()
{
    for (int i = 0; i < options_.count; ++i) {
        threads_.emplace_back([this, i] { send_requests(i); });
    }
}

void kept_clients::stop()
{
    over_ = true;
    for (auto& t : threads_) {
        t.join();
    }
    threads_.clear();
}

void kept_clients::send_requests(int client)
{
    sleep_for(client * options_.stagger);
    int fd = -1;
    std::string buffer;
    for (int n = 0; !over_; ++n) {
        if (fd < 0) {
            buffer.clear();
            fd = connect_to(options_.ip, options_.port);
        }
        if (fd < 0) {
            sleep_for(milliseconds(100));
            continue;
        }
        const auto id = "order-" + std::to_string(client) + "-" + std::to_string(n);
        const auto sent = steady::now();
        const auto o = exchange(fd, buffer,
                                request_text("POST", options_.host, options_.path, id,
                                             static_cast<int>(options_.deadline.count()), "robe"),
                                options_.deadline + milliseconds(500));
        if (o.end == read_status::closed || o.end == read_status::reset) {
            log_.line("client: connection of request " + id + " ended without an answer");
            const std::lock_guard lock(mutex_);
            unanswered_.emplace(id, sent);
        }
        else if (o.status != 0) {
            ++answered_;
            log_.line("client: request " + id + " answered " + std::to_string(o.status));
        }
        if (o.end != read_status::complete || o.answer.header("connection") == "close") {
            close_fd(fd);
            fd = -1;
        }
        if (const auto text = o.answer.header("retry-after"); o.status == 503 && !text.empty()) {
            const milliseconds wait(static_cast<int>(1000.0 * std::atof(text.c_str())));
            sleep_for(std::min(wait, options_.deadline / 3));
        }
    }
    if (fd >= 0) {
        close_fd(fd);
    }
}

std::map<std::string, steady::time_point> kept_clients::unanswered()
{
    const std::lock_guard lock(mutex_);
    return unanswered_;
}

memory_watch::memory_watch(sidecar& watched, int memory_mb, recorder& log)
    : watched_(watched), memory_mb_(memory_mb), log_(log)
{
}

void memory_watch::start()
{
    thread_ = std::thread([this] {
        while (!over_) {
            // The kernel's record of the peak: a check between two samples would miss it.
            const auto used = watched_.peak_kb();
            peak_kb_ = std::max<std::size_t>(peak_kb_, used);
            if (used > static_cast<std::size_t>(memory_mb_) * 1024) {
                log_.line("platform: " + watched_.where().name + " used " +
                          std::to_string(used / 1024) + " MiB, more than its " +
                          std::to_string(memory_mb_) + ", and is killed");
                ++kills_;
                watched_.kill();
                sleep_for(milliseconds(500));
                if (!over_) {
                    watched_.start();
                }
            }
            sleep_for(milliseconds(2));
        }
    });
}

void memory_watch::stop()
{
    over_ = true;
    if (thread_.joinable()) {
        thread_.join();
    }
}

int count_lost(target& sound, kept_clients& clients, steady::time_point after)
{
    std::set<std::string> run;
    for (const auto& r : sound.runs()) {
        run.insert(r.request_id);
    }
    const auto unanswered = clients.unanswered();
    return static_cast<int>(
        std::count_if(unanswered.begin(), unanswered.end(), [&](const auto& entry) {
            return entry.second > after && run.contains(entry.first);
        }));
}

std::string free_block(int count)
{
    const int first = 2 + static_cast<int>(getpid() % 200);
    for (int i = 0; i < 200; ++i) {
        const std::string block = "127.77." + std::to_string(2 + (first + i) % 200) + ".";
        bool is_free = true;
        for (int n = 1; n <= count && is_free; ++n) {
            for (const int port :
                 {inbound_port, app_port, ready_port, outbound_port, store_port, 9464}) {
                const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
                const auto a = address_of(block + std::to_string(n), port);
                const int on = 1;
                setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
                is_free = is_free && bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) == 0;
                close(fd);
            }
        }
        if (is_free) {
            return block;
        }
    }
    throw std::runtime_error("no free loopback addresses");
}

temporary_folder::temporary_folder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary folder");
    }
    path_ = pattern;
}

temporary_folder::~temporary_folder()
{
    if (std::getenv("KEEP_LOGS") != nullptr) {
        std::fprintf(stderr, "logs kept in %s\n", path_.c_str());
        return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
}

bool trouble()
{
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

void install_signal_guard()
{
    std::signal(SIGPIPE, SIG_IGN);
    // The sidecars have PR_SET_PDEATHSIG, so that they end with this process.
    for (const int number : {SIGINT, SIGTERM, SIGHUP}) {
        std::signal(number, [](int) { _exit(2); });
    }
}

void sleep_for(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

} // namespace review
