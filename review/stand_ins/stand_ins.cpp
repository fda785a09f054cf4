#include "stand_ins.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <random>
#include <sstream>

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

using namespace std::chrono_literals;

const steady::time_point started = steady::now();

/// What an interrupted case has to end and to remove. Read by a signal handler.
struct started_process {
    std::atomic<pid_t> pid{0};
    std::array<char, 64> settings{};
    std::array<char, 64> log{};
    std::array<char, 64> folder{};
};
std::array<started_process, 8> started_processes;
std::atomic<std::size_t> started_count{0};

/// A case may run for 120 s.
constexpr unsigned time_limit_s = 115;

/// Ends the started processes and removes their files. Safe in a signal handler.
void end_processes()
{
    for (std::size_t i = 0; i < started_count; ++i) {
        auto& process = started_processes.at(i);
        if (const pid_t pid = process.pid; pid > 0) {
            kill(pid, SIGKILL);
        }
        unlink(process.settings.data());
        unlink(process.log.data());
        rmdir(process.folder.data());
    }
}

extern "C" void on_interrupt(int /*number*/)
{
    end_processes();
    _exit(2);
}

std::mutex record_mutex;
std::ofstream record_file;

sockaddr_in endpoint(const std::string& address, std::uint16_t port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    inet_pton(AF_INET, address.c_str(), &result.sin_addr);
    return result;
}

int bound_socket(const std::string& address, std::uint16_t port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto where = endpoint(address, port);
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

bool same(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return std::tolower(static_cast<unsigned char>(x)) ==
                      std::tolower(static_cast<unsigned char>(y));
           });
}

std::string base64(const std::string& text)
{
    static constexpr char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            bits =
                bits << 8U | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out += i + k > text.size() ? '=' : digits[bits >> (18U - 6U * k) & 63U];
        }
    }
    return out;
}

std::string query_value(const std::string& path, const std::string& name)
{
    const auto at = path.find(name + "=");
    if (at == std::string::npos) {
        return {};
    }
    const auto begin = at + name.size() + 1;
    const auto text = path.substr(begin, path.find('&', begin) - begin);
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        else {
            out += text[i];
        }
    }
    return out;
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string answer_text(const std::string& status, const std::string& headers,
                        const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

bool is_trouble_on()
{
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

void open_record(const std::string& folder)
{
    for (const int number : {SIGINT, SIGTERM, SIGHUP, SIGALRM}) {
        std::signal(number, on_interrupt);
    }
    alarm(time_limit_s);
    record_file.open(folder + "/record.txt", std::ios::trunc);
    record(std::string("trouble ") + (is_trouble_on() ? "on" : "off"));
}

double now_s()
{
    return std::chrono::duration<double>(steady::now() - started).count();
}

void record(const std::string& line)
{
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%9.3f ", now_s());
    const std::lock_guard lock(record_mutex);
    record_file << time.data() << line << std::endl;
}

void cannot_run(const std::string& reason)
{
    record("the case cannot run: " + reason);
    end_processes();
    std::_Exit(2);
}

std::string new_id()
{
    static std::mutex mutex;
    static std::mt19937_64 random{std::random_device{}()};
    const std::lock_guard lock(mutex);
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(random()));
    return text.data();
}

std::string http_message::header(const std::string& name) const
{
    for (const auto& [known, value] : headers) {
        if (same(known, name)) {
            return value;
        }
    }
    return {};
}

std::string http_message::method() const
{
    return start.substr(0, start.find(' '));
}

std::string http_message::path() const
{
    const auto begin = start.find(' ') + 1;
    return start.substr(begin, start.find(' ', begin) - begin);
}

connection::~connection()
{
    close(descriptor_);
}

std::unique_ptr<connection> connection::open(const std::string& address, std::uint16_t port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto where = endpoint(address, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0) {
        close(descriptor);
        return nullptr;
    }
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return std::make_unique<connection>(descriptor);
}

bool connection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto count = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

void connection::set_timeout(std::chrono::milliseconds timeout) const
{
    const timeval value{timeout.count() / 1000,
                        static_cast<suseconds_t>(timeout.count() % 1000 * 1000)};
    setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
}

bool connection::fill()
{
    std::array<char, 65536> bytes{};
    const auto count = recv(descriptor_, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
        return false;
    }
    buffer_.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
}

bool connection::is_ended() const
{
    char byte = 0;
    const auto count = recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void connection::shut() const
{
    shutdown(descriptor_, SHUT_RDWR);
}

bool connection::read(http_message& message)
{
    message = {};
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
        if (!fill()) {
            return false;
        }
    }
    std::istringstream head(buffer_.substr(0, end));
    std::string line;
    std::getline(head, message.start);
    if (!message.start.empty() && message.start.back() == '\r') {
        message.start.pop_back();
    }
    while (std::getline(head, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        const auto colon = line.find(':');
        const auto begin = line.find_first_not_of(' ', colon + 1);
        message.headers.emplace_back(line.substr(0, colon),
                                     begin == std::string::npos ? "" : line.substr(begin));
    }
    const auto length_text = message.header("Content-Length");
    const std::size_t length = length_text.empty() ? 0 : std::stoul(length_text);
    while (buffer_.size() < end + 4 + length) {
        if (!fill()) {
            return false;
        }
    }
    message.body = buffer_.substr(end + 4, length);
    buffer_.erase(0, end + 4 + length);
    return true;
}

server::server(const std::string& address, std::uint16_t port, handler serve)
    : listener_(bound_socket(address, port)), serve_(std::move(serve))
{
    if (listener_ < 0 || listen(listener_, 1024) != 0) {
        cannot_run("port in use: " + address + ":" + std::to_string(port));
    }
    acceptor_ = std::thread([this] { accept(); });
}

void server::accept()
{
    for (;;) {
        const int descriptor = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            return;
        }
        const int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const auto accepted = std::make_shared<connection>(descriptor);
        const std::lock_guard lock(mutex_);
        if (stopped_) {
            return;
        }
        open_.push_back(accepted);
        threads_.emplace_back([this, weak = std::weak_ptr(accepted)] {
            if (const auto c = weak.lock()) {
                serve_(*c);
                c->shut();
                const std::lock_guard ended(mutex_);
                std::erase(open_, c);
            }
        });
    }
}

server::~server()
{
    {
        const std::lock_guard lock(mutex_);
        stopped_ = true;
        shutdown(listener_, SHUT_RDWR);
        for (const auto& c : open_) {
            c->shut();
        }
    }
    acceptor_.join();
    for (auto& thread : threads_) {
        thread.join();
    }
    close(listener_);
}

store::store(const std::string& address, std::uint16_t port)
    : server_(std::make_unique<server>(address, port, [this](connection& c) { serve(c); }))
{
}

void store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock(mutex_);
    auto& known = items_[key];
    const auto revision = ++revision_;
    known = {value, revision, known.created == 0 || known.removed ? revision : known.created,
             false};
    changed_.notify_all();
    record("store: put " + key + " at revision " + std::to_string(revision));
}

void store::remove(const std::string& key)
{
    const std::lock_guard lock(mutex_);
    items_[key] = {{}, ++revision_, 0, true};
    changed_.notify_all();
    record("store: removed " + key + " at revision " + std::to_string(revision_));
}

void store::set_closed(bool closed)
{
    const std::lock_guard lock(mutex_);
    closed_ = closed;
    changed_.notify_all();
    record(std::string("store: ") + (closed ? "down (503)" : "up"));
}

std::string store::page(const std::string& prefix, const std::string& after)
{
    std::string items;
    for (const auto& [key, known] : items_) {
        if (!known.removed && key.starts_with(prefix) && key > after) {
            items += (items.empty() ? "" : ",") + std::string("{\"key\":\"") + key +
                     "\",\"value\":\"" + base64(known.value) +
                     "\",\"revision\":" + std::to_string(known.revision) +
                     ",\"created\":" + std::to_string(known.created) + ",\"lease\":0}";
        }
    }
    return "{\"items\":[" + items +
           "],\"has_more\":false,\"current_rev\":" + std::to_string(revision_) + "}";
}

std::string store::events(const std::string& prefix, std::uint64_t after,
                          std::chrono::milliseconds wait)
{
    std::unique_lock lock(mutex_);
    std::map<std::uint64_t, std::string> found;
    const auto find = [&] {
        for (const auto& [key, known] : items_) {
            if (known.revision > after && key.starts_with(prefix)) {
                found[known.revision] =
                    "{\"key\":\"" + key + "\",\"revision\":" + std::to_string(known.revision) +
                    (known.removed ? std::string(",\"removed\":true}")
                                   : ",\"created\":" + std::to_string(known.created) +
                                         ",\"lease\":0,\"value\":\"" + base64(known.value) + "\"}");
            }
        }
        return !found.empty() || closed_;
    };
    changed_.wait_for(lock, wait, find);
    std::string list;
    for (const auto& [revision, text] : found) {
        list += (list.empty() ? "" : ",") + text;
    }
    return "{\"events\":[" + list + "],\"current_rev\":" + std::to_string(revision_) + "}";
}

void store::serve(connection& c)
{
    http_message request;
    while (c.read(request)) {
        const auto path = request.path();
        const auto prefix = query_value(path, "prefix");
        std::string body;
        bool closed = false;
        if (path.starts_with("/-/kv-watch")) {
            body =
                events(prefix, std::stoull("0" + query_value(path, "after")),
                       std::chrono::milliseconds(std::stoul("0" + query_value(path, "wait_ms"))));
        }
        {
            const std::lock_guard lock(mutex_);
            closed = closed_;
            if (body.empty()) {
                body = page(prefix, query_value(path, "after"));
            }
        }
        const auto text = closed
                              ? answer_text("503 Service Unavailable", "", "")
                              : answer_text("200 OK", "Content-Type: application/json\r\n", body);
        if (!c.send(text)) {
            return;
        }
    }
}

target::target(options o, work_time work, fault f)
    : options_(std::move(o)), work_(std::move(work)), fault_(std::move(f)), born_(unix_ms()),
      server_(std::make_unique<server>(options_.address, options_.port,
                                       [this](connection& c) { serve(c); }))
{
}

std::string target::entry(const std::string& state, unsigned sequence) const
{
    return "{\"address\":\"" + options_.address + ":" + std::to_string(options_.port) +
           "\",\"born\":" + std::to_string(born_) + ",\"info\":{\"service\":\"" + options_.service +
           "\",\"version\":\"v1\",\"zone\":\"" + options_.zone +
           "\",\"slots\":" + std::to_string(options_.slots) + "},\"status\":{\"state\":\"" + state +
           "\",\"sequence\":" + std::to_string(sequence) + ",\"warmup_left_s\":0}}";
}

void target::end()
{
    record("target " + options_.id + " ends");
    server_.reset();
}

std::vector<run> target::runs() const
{
    const std::lock_guard lock(mutex_);
    return runs_;
}

bool target::has_run(const std::string& id) const
{
    const auto all = runs();
    return std::any_of(all.begin(), all.end(), [&](const run& r) { return r.id == id; });
}

void target::serve(connection& c)
{
    http_message request;
    while (c.read(request) && answer(request, c)) {
    }
}

bool target::answer(const http_message& request, connection& c)
{
    const auto id = request.header("X-Request-Id");
    if (request.path() == options_.health_path) {
        return c.send(answer_text("200 OK", "X-Instance-Id: " + options_.id + "\r\n", ""));
    }
    const auto common = "X-Request-Id: " + id + "\r\nKeep-Alive: timeout=10\r\n";
    const auto expected = request.header("X-Expect-Instance");
    if (!expected.empty() && expected != options_.id) {
        record("target " + options_.id + ": request " + id + " expects " + expected + ", gets 421");
        return c.send(answer_text("421 Misdirected Request",
                                  common + "X-Instance-Id: " + options_.id + "\r\n", ""));
    }
    const auto arrived = steady::now();
    const auto arrived_s = now_s();
    const std::chrono::milliseconds left(std::stoul("0" + request.header("X-Deadline-Ms")));
    {
        std::unique_lock lock(mutex_);
        if (running_ >= options_.slots && waiting_ >= options_.queue) {
            lock.unlock();
            record("target " + options_.id + ": request " + id + " rejected, full");
            return c.send(
                answer_text("503 Service Unavailable", common + "X-Not-Executed: 1\r\n", ""));
        }
        ++waiting_;
        freed_.wait(lock, [this] { return running_ < options_.slots; });
        --waiting_;
        ++running_;
        runs_.push_back({id, request.path(), arrived_s});
    }
    record("target " + options_.id + ": request " + id + " runs " + request.method() + " " +
           request.path() + ", body " + std::to_string(request.body.size()) + " bytes");
    const auto spent =
        std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - arrived);
    const auto work = work_(request);
    const bool in_time = left.count() == 0 || spent + work <= left;
    std::this_thread::sleep_for(in_time ? work : std::max(0ms, left - spent));
    {
        const std::lock_guard lock(mutex_);
        --running_;
        freed_.notify_one();
    }
    if (fault_ && fault_(request, c)) {
        return true;
    }
    const auto seal = "X-Response-Seal: " + options_.id + "." + id + "\r\n";
    record("target " + options_.id + ": request " + id + " ended" + (in_time ? "" : ", 504"));
    return c.send(in_time ? answer_text("200 OK", common + seal, "done " + id)
                          : answer_text("504 Gateway Timeout", common + seal, ""));
}

std::string config_text(unsigned version, const std::vector<route>& routes,
                        const std::vector<std::string>& services)
{
    std::ostringstream out;
    out << R"({"version":"r)" << version << R"(","resources":[)";
    for (const auto& r : routes) {
        out << R"({"resource_type":"routes","metadata":{"name":")" << r.name
            << R"("},"spec":{"host":")" << r.host << R"(","prefix":")" << r.prefix
            << R"(","kind":")" << r.kind << R"(","timeout_s":)" << r.timeout_s << R"(,"slo_s":)"
            << r.slo_s << R"(,"priority":)" << r.priority << R"(,"service":")" << r.service
            << R"(","max_attempts":)" << r.max_attempts << "}},";
    }
    for (const auto& s : services) {
        out << R"({"resource_type":"services","metadata":{"name":")" << s
            << R"("},"spec":{"health_path":"/health","max_conns":358,"protocol":"h1","tls":false}},)";
    }
    // The limits that `fleetbench wire` shows for every site.
    out << R"({"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,)"
        << R"("max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}]})";
    return out.str();
}

network::network(unsigned nodes)
{
    constexpr std::uint16_t metrics_port = 9464;
    std::mt19937 random{std::random_device{}()};
    for (int attempt = 0; attempt < 50; ++attempt) {
        base_ = "127." + std::to_string(1 + random() % 250) + "." +
                std::to_string(1 + random() % 250) + ".";
        first_port_ = static_cast<std::uint16_t>(10000 + random() % 20000);
        std::vector<std::pair<std::string, std::uint16_t>> needed{{store_address(), first_port_}};
        for (unsigned i = 0; i < nodes; ++i) {
            for (const auto port :
                 {app_port(), inbound_port(), ready_port(), outbound_port(), metrics_port}) {
                needed.emplace_back(node_address(i), port);
            }
        }
        const bool is_free = std::all_of(needed.begin(), needed.end(), [](const auto& where) {
            const int descriptor = bound_socket(where.first, where.second);
            if (descriptor >= 0) {
                close(descriptor);
            }
            return descriptor >= 0;
        });
        if (is_free) {
            return;
        }
    }
    cannot_run("no free addresses");
}

sidecar::sidecar(const network& n, options o)
    : network_(n), options_(std::move(o)), address_(n.node_address(options_.node))
{
    std::string folder = "/tmp/review.XXXXXX";
    if (mkdtemp(folder.data()) == nullptr) {
        cannot_run("no temporary folder");
    }
    folder_ = folder;
    process_ = started_count;
    auto& process = started_processes.at(process_);
    std::snprintf(process.folder.data(), process.folder.size(), "%s", folder_.c_str());
    std::snprintf(process.settings.data(), process.settings.size(), "%s/boot.toml",
                  folder_.c_str());
    std::snprintf(process.log.data(), process.log.size(), "%s/log", folder_.c_str());
    ++started_count;
    std::ofstream(folder_ + "/boot.toml") << settings();
}

sidecar::~sidecar()
{
    stopping_ = true;
    if (!ended_) {
        kill(pid_, SIGKILL);
    }
    if (watcher_.joinable()) {
        watcher_.join();
    }
    unlink((folder_ + "/boot.toml").c_str());
    unlink((folder_ + "/log").c_str());
    rmdir(folder_.c_str());
}

std::string sidecar::settings() const
{
    const auto at = [&](std::uint16_t port) { return address_ + ":" + std::to_string(port); };
    std::ostringstream out;
    out << "[self]\nnode_name = \"" << options_.name
        << "\"\nrole = \"sidecar\"\nmachine_class = \"sidecar\"\nserves = [\"sidecar\"]\nip = \""
        << address_ << "\"\nzone = \"" << options_.zone
        << "\"\nregion = \"sul-br\"\nfault_counted = false\nbootstrap = true\napp_addr = \""
        << at(network_.app_port()) << "\"\nservice = \"" << options_.service
        << "\"\n[self.limits]\ncpu_share = 0.4\ncores = 1\nmemory_mb = " << options_.memory_mb
        << "\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n[network]\nseeds = []\n"
        << "internal_port_range = [7620,7635]\n[network.listen]\ninbound = \""
        << at(network_.inbound_port()) << "\"\noutbound = \"" << at(network_.outbound_port())
        << "\"\nready = \"" << at(network_.ready_port()) << "\"\n[network.zones]\n"
        << "caxias = \"sul-br\"\nbento = \"sul-br\"\n[provider]\ndiscovery = \"platform\"\n"
        << "entry = \"static\"\nheartbeat_s = 1.5\n[provider.provider]\naddress = \""
        << network_.store_address() << ":" << network_.store_port()
        << "\"\nform = \"read\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\n"
        << "value_bytes = 1048576\nmin_ttl_s = 1\n[terms]\ncontracts = [\"base\",\"drain\","
        << "\"config\",\"cost\",\"retry\",\"recover\",\"pressure\",\"platform\"]\n"
        << "[terms.fault_tolerance]\nmachines = 2\nzones = 0\nregions = 0\n[terms.bounds]\n"
        << "seed_lag_s = 3\naddr_reuse_s = 2\ncontact_s = 3\nack_s = 4\ncatch_up_s = 4\n"
        << "drain_s = 2\ngrace_s = 6\nloss_slack_s = 0.2\nconfig_apply_s = 2\n"
        << "rollback_slack_s = 0.25\nouter_s = 5\nretry_budget_ratio = 0.2\n"
        << "budget_window_s = 10\nbudget_slack = 50\nrecover_s = 15\n";
    return out.str();
}

void sidecar::start()
{
    const auto settings_file = "TREFOILHOLD_NODE_FILE=" + folder_ + "/boot.toml";
    const auto log = folder_ + "/log";
    if (watcher_.joinable()) {
        watcher_.join();
    }
    const pid_t own = getpid();
    pid_ = fork();
    if (pid_ == 0) {
        // Ends the process also if the case is killed.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != own) {
            _exit(127);
        }
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        const std::string program = "target/trefoilhold-sidecar";
        std::string path = "PATH=/usr/bin:/bin";
        std::string file = settings_file;
        std::string name = program;
        std::array<char*, 2> arguments{name.data(), nullptr};
        std::array<char*, 3> variables{path.data(), file.data(), nullptr};
        execve(program.c_str(), arguments.data(), variables.data());
        _exit(127);
    }
    ended_ = false;
    started_processes.at(process_).pid = pid_;
    record("platform: " + options_.name + " started, service " + options_.service + ", memory " +
           std::to_string(options_.memory_mb) + " MB");
    watcher_ = std::thread([this] { watch_memory(); });
}

void sidecar::signal(int number)
{
    record("platform: signal " + std::to_string(number) + " to " + options_.name);
    if (!ended_) {
        kill(pid_, number);
    }
}

std::size_t sidecar::peak_bytes() const
{
    return peak_;
}

bool sidecar::is_running()
{
    return !ended_;
}

void sidecar::watch_memory()
{
    // "A process that exceeds `memory_mb` is killed." (DEPLOY.md)
    const auto limit = static_cast<std::size_t>(options_.memory_mb) << 20U;
    for (;;) {
        int status = 0;
        if (waitpid(pid_, &status, WNOHANG) == pid_) {
            record("platform: " + options_.name + " ended, " +
                   (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                        : "status " + std::to_string(WEXITSTATUS(status))) +
                   ", peak " + std::to_string(peak_ >> 20U) + " MB");
            started_processes.at(process_).pid = 0;
            ended_ = true;
            return;
        }
        std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
        std::string line;
        while (std::getline(file, line)) {
            if (line.starts_with("VmHWM:")) {
                peak_ = std::max<std::size_t>(peak_, std::stoul(line.substr(6)) << 10U);
            }
        }
        if (peak_ > limit && !killed_for_memory_) {
            killed_for_memory_ = true;
            record("platform: " + options_.name + " uses " + std::to_string(peak_ >> 20U) +
                   " MB, more than its " + std::to_string(options_.memory_mb) + " MB: killed");
            kill(pid_, SIGKILL);
        }
        std::this_thread::sleep_for(10ms);
    }
}

bool sidecar::wait_ready(std::chrono::milliseconds limit) const
{
    const auto end = steady::now() + limit;
    while (steady::now() < end) {
        const auto c = connection::open(address_, network_.ready_port());
        http_message answer;
        if (c) {
            c->set_timeout(1000ms);
            if (c->send("GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n") && c->read(answer) &&
                answer.start.find(" 200") != std::string::npos) {
                return true;
            }
        }
        std::this_thread::sleep_for(100ms);
    }
    return false;
}

bool client::connect()
{
    if (!connection_) {
        connection_ = connection::open(address_, port_);
        asked_ = 0;
    }
    return connection_ != nullptr;
}

client_result client::ask(const client_request& request)
{
    client_result result;
    result.id = new_id();
    if (connection_ && connection_->is_ended()) {
        connection_.reset(); // Closed while idle; no request was on it.
    }
    if (!connect()) {
        result.is_closed = true;
        record("client: request " + result.id + " not sent, no connection");
        return result;
    }
    result.on_kept_connection = asked_++ > 0;
    std::string text = request.method + " " + request.path + " HTTP/1.1\r\nHost: " + request.host +
                       "\r\nX-Request-Id: " + result.id +
                       "\r\nX-Deadline-Ms: " + std::to_string(request.deadline_ms) + "\r\n";
    if (!request.body.empty() || request.method == "POST") {
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    text += "\r\n";
    record("client: request " + result.id + " sent, " + request.method + " " + request.host +
           request.path + ", body " + std::to_string(request.body.size()) + " bytes, " +
           (result.on_kept_connection ? "kept" : "new") + " connection");
    connection_->set_timeout(std::chrono::milliseconds(request.deadline_ms + 1000));
    http_message answer;
    const bool is_sent = connection_->send(text) && connection_->send(request.body);
    if (connection_->read(answer)) {
        const auto code = answer.start.substr(0, 9) == "HTTP/1.1 " ? answer.start.substr(9) : "";
        const bool is_valid = code.size() >= 4 &&
                              std::isdigit(static_cast<unsigned char>(code[0])) != 0 &&
                              std::isdigit(static_cast<unsigned char>(code[1])) != 0 &&
                              std::isdigit(static_cast<unsigned char>(code[2])) != 0 &&
                              code[3] == ' ' && code[0] != '0';
        if (is_valid) {
            result.status = static_cast<unsigned>(std::stoul(code.substr(0, 3)));
        }
        else {
            result.invalid = answer.start;
        }
        result.has_seal = !answer.header("X-Response-Seal").empty();
        const auto retry_after = answer.header("Retry-After");
        if (!retry_after.empty()) {
            result.retry_after =
                std::chrono::milliseconds(static_cast<int>(std::stod(retry_after) * 1000.0));
        }
        result.body = answer.body;
        if (same(answer.header("Connection"), "close")) {
            connection_.reset();
        }
    }
    else {
        result.is_closed = connection_->is_ended();
        result.is_late = !result.is_closed;
        connection_.reset();
    }
    record("client: request " + result.id + " got " +
           (result.status != 0        ? std::to_string(result.status)
            : !result.invalid.empty() ? "bytes that are no answer: " + result.invalid
            : result.is_late          ? "no answer by its deadline"
            : is_sent                 ? "a closed connection and no answer"
                                      : "a closed connection while it was sent"));
    return result;
}

} // namespace review
