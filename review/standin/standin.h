// Small stand-ins for the reviews' scripts: a store of rows, a gateway process, a client and an
// HTTP server for workers. Blocking sockets, one thread per connection, loopback addresses only.
#ifndef REVIEW_STANDIN_STANDIN_H_
#define REVIEW_STANDIN_STANDIN_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace standin {

using Json = nlohmann::json;
using Fields = std::vector<std::pair<std::string, std::string>>;

inline std::int64_t NowMs() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               start)
      .count();
}

inline void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms > 0 ? ms : 0));
}

inline void SleepUntil(std::int64_t at) { SleepMs(at - NowMs()); }

// Appends lines "MILLISECONDS TEXT" to a file.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void Write(const std::string& text) {
    const std::lock_guard<std::mutex> lock(mutex_);
    file_ << NowMs() << " " << text << "\n";
    file_.flush();
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

// An HTTP message, as a request or an answer.
struct Message {
  std::string start;  // The first line.
  Fields fields;
  std::string body;
  bool complete = false;

  std::string Field(const std::string& name) const {
    for (const auto& [key, value] : fields) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) {
        return value;
      }
    }
    return {};
  }
  bool Has(const std::string& name) const {
    for (const auto& entry : fields) {
      if (strcasecmp(entry.first.c_str(), name.c_str()) == 0) {
        return true;
      }
    }
    return false;
  }
  std::string Word(int index) const {
    std::size_t begin = 0;
    for (int word = 0; word < index; ++word) {
      begin = start.find(' ', begin);
      if (begin == std::string::npos) {
        return {};
      }
      ++begin;
    }
    return start.substr(begin, start.find(' ', begin) - begin);
  }
  int Status() const { return std::atoi(Word(1).c_str()); }
};

// A connected TCP socket.
class Socket {
 public:
  explicit Socket(int descriptor) : descriptor_(descriptor) {
    const int on = 1;
    setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Socket() { Close(); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  void Close() {
    const int descriptor = descriptor_.exchange(-1);
    if (descriptor >= 0) {
      close(descriptor);
    }
  }
  // Ends the connection under a thread that may be reading from it.
  void Shutdown() { shutdown(descriptor_, SHUT_RDWR); }

  bool Write(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t count =
          send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }

  // Reads more bytes; false at the end of the connection or after the time.
  bool Fill(std::int64_t until) {
    pollfd entry{descriptor_, POLLIN, 0};
    const std::int64_t left = until - NowMs();
    if (left <= 0 || poll(&entry, 1, static_cast<int>(left)) <= 0) {
      timed_out_ = true;
      return false;
    }
    char buffer[16384];
    const ssize_t count = recv(descriptor_, buffer, sizeof(buffer), 0);
    if (count <= 0) {
      reset_ = count < 0;
      return false;
    }
    input_.append(buffer, static_cast<std::size_t>(count));
    return true;
  }

  // True once the other side has closed.
  bool PeerGone() const {
    char byte = 0;
    const ssize_t count = recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  // Reads a whole message; `message.complete` tells whether it came whole.
  bool Read(Message* message, std::int64_t until) {
    std::size_t end = 0;
    while ((end = input_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until)) {
        return false;
      }
    }
    ParseHead(input_.substr(0, end), message);
    input_.erase(0, end + 4);
    if (message->Field("Transfer-Encoding") == "chunked") {
      message->complete = ReadChunks(message, until);
    } else if (message->Has("Content-Length")) {
      message->complete = ReadLength(message, until);
    } else if (message->start.rfind("HTTP/", 0) == 0) {
      while (Fill(until)) {
      }
      message->complete = !timed_out_ && !reset_;
      message->body = std::exchange(input_, {});
    } else {
      message->complete = true;
    }
    return true;
  }

 private:
  static void ParseHead(const std::string& head, Message* message) {
    std::size_t begin = 0;
    bool first = true;
    while (begin <= head.size()) {
      std::size_t end = head.find("\r\n", begin);
      end = end == std::string::npos ? head.size() : end;
      const std::string line = head.substr(begin, end - begin);
      if (first) {
        message->start = line;
      } else {
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
          std::size_t value = colon + 1;
          while (value < line.size() && line[value] == ' ') {
            ++value;
          }
          message->fields.emplace_back(line.substr(0, colon), line.substr(value));
        }
      }
      first = false;
      begin = end + 2;
    }
  }
  bool ReadLength(Message* message, std::int64_t until) {
    const std::size_t length = std::stoul(message->Field("Content-Length"));
    while (input_.size() < length) {
      if (!Fill(until)) {
        message->body = std::exchange(input_, {});
        return false;
      }
    }
    message->body = input_.substr(0, length);
    input_.erase(0, length);
    return true;
  }
  bool ReadChunks(Message* message, std::int64_t until) {
    while (true) {
      std::size_t end = 0;
      while ((end = input_.find("\r\n")) == std::string::npos) {
        if (!Fill(until)) {
          return false;
        }
      }
      const std::size_t length = std::stoul(input_.substr(0, end), nullptr, 16);
      while (input_.size() < end + 2 + length + 2) {
        if (!Fill(until)) {
          return false;
        }
      }
      message->body += input_.substr(end + 2, length);
      input_.erase(0, end + 2 + length + 2);
      if (length == 0) {
        return true;
      }
    }
  }

  std::atomic<int> descriptor_;
  std::string input_;
  bool timed_out_ = false;
  bool reset_ = false;
};

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

inline std::string AddressOf(int port) { return "127.0.0.1:" + std::to_string(port); }

// Returns whether the port is free for this kind of socket.
inline bool CanBind(int kind, int port) {
  const int descriptor = socket(AF_INET, kind, 0);
  const sockaddr_in address = Loopback(port);
  const bool free =
      bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
  close(descriptor);
  return free;
}

// A port that was free a moment ago, for TCP and UDP, below those that the kernel picks.
inline int FreePort() {
  static std::mt19937 random(std::random_device{}());
  static std::set<int> taken;
  while (true) {
    const int port = std::uniform_int_distribution<int>(10240, 32000)(random);
    if (!taken.contains(port) && CanBind(SOCK_STREAM, port) && CanBind(SOCK_DGRAM, port)) {
      taken.insert(port);
      return port;
    }
  }
}

inline std::shared_ptr<Socket> Connect(const std::string& to) {
  const int port = std::atoi(to.substr(to.find(':') + 1).c_str());
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    close(descriptor);
    return nullptr;
  }
  return std::make_shared<Socket>(descriptor);
}

// Accepts connections and calls the handler for each request. The handler writes the answer and
// returns false to end the connection.
class Server {
 public:
  using Handler = std::function<bool(const std::shared_ptr<Socket>&, const Message&)>;

  explicit Server(Handler handler, int port = 0) : handler_(std::move(handler)) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = Loopback(port);
    socklen_t size = sizeof(address);
    if (bind(listener_, reinterpret_cast<sockaddr*>(&address), size) != 0) {
      std::perror("bind");
      std::exit(2);
    }
    listen(listener_, 512);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    acceptor_ = std::thread([this] { Accept(); });
  }
  ~Server() { Stop(); }

  int port() const { return port_; }
  std::string address() const { return AddressOf(port_); }

  // Ends the listener and all connections at once, as the kernel does for a process that has
  // crashed. May be called by a handler.
  void Cut() {
    stopped_ = true;
    shutdown(listener_, SHUT_RDWR);
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& socket : sockets_) {
      if (const auto open = socket.lock()) {
        open->Shutdown();
      }
    }
  }
  // Cuts, and waits for the threads.
  void Stop() {
    if (!acceptor_.joinable()) {
      return;
    }
    Cut();
    acceptor_.join();
    close(listener_);
    Cut();
    while (threads_ > 0) {
      SleepMs(1);
    }
  }
  bool stopped() const { return stopped_; }

 private:
  void Accept() {
    while (!stopped_) {
      const int descriptor = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (descriptor < 0) {
        continue;
      }
      auto socket = std::make_shared<Socket>(descriptor);
      const std::lock_guard<std::mutex> lock(mutex_);
      if (stopped_) {
        return;
      }
      sockets_.push_back(socket);
      ++threads_;
      std::thread([this, socket] {
        Serve(socket);
        socket->Close();
        --threads_;
      }).detach();
    }
  }
  void Serve(const std::shared_ptr<Socket>& socket) {
    while (!stopped_) {
      Message request;
      if (!socket->Read(&request, NowMs() + 600000) || !request.complete ||
          !handler_(socket, request)) {
        return;
      }
    }
  }

  Handler handler_;
  int listener_ = -1;
  int port_ = 0;
  std::thread acceptor_;
  std::mutex mutex_;
  std::vector<std::weak_ptr<Socket>> sockets_;
  std::atomic<int> threads_ = 0;
  std::atomic<bool> stopped_ = false;
};

inline std::string AnswerText(int status, const std::string& reason, const Fields& fields,
                              const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n";
  for (const auto& [name, value] : fields) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string Chunk(const std::string& bytes) {
  char size[32];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

inline std::string Base64(const std::string& text) {
  static const char kSigns[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t at = 0; at < text.size(); at += 3) {
    unsigned int bits = 0;
    for (std::size_t byte = 0; byte < 3; ++byte) {
      bits =
          bits << 8 | (at + byte < text.size() ? static_cast<unsigned char>(text[at + byte]) : 0);
    }
    for (std::size_t sign = 0; sign < 4; ++sign) {
      out += at + sign > text.size() ? '=' : kSigns[bits >> (18 - 6 * sign) & 63];
    }
  }
  return out;
}

// The platform's store of rows. Values are kept encoded, as they are on the wire.
class Store {
 public:
  // Changes the address of a worker as one machine sees it, e.g. to that of a proxy.
  using Rewrite = std::function<std::string(const std::string& address)>;

  Store()
      : server_([this](const auto& socket, const auto& request) {
          return OnRequest(socket, request, {});
        }) {}
  ~Store() { Stop(); }

  std::string address() const { return server_.address(); }
  // Returns a further address of the store, for one machine.
  std::string AddView(Rewrite rewrite) {
    views_.push_back(std::make_unique<Server>(
        [this, rewrite = std::move(rewrite)](const auto& socket, const auto& request) {
          return OnRequest(socket, request, rewrite);
        }));
    return views_.back()->address();
  }
  void Stop() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      stopped_ = true;
      changed_.notify_all();
    }
    server_.Stop();
    views_.clear();
  }
  // Writes as the operator or a worker does.
  void Put(const std::string& table, const std::string& key, const Json& value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    rows_[{table, key}] = {Base64(value.dump()), ++version_, false, value};
    changed_.notify_all();
  }
  void Remove(const std::string& table, const std::string& key) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto row = rows_.find({table, key});
    if (row != rows_.end() && !row->second.gone) {
      row->second = {"", ++version_, true, {}};
      changed_.notify_all();
    }
  }

 private:
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool gone = false;
    Json json;
  };

  static std::string Parameter(const std::string& target, const std::string& name) {
    const std::size_t at = target.find(name + "=");
    if (at == std::string::npos) {
      return {};
    }
    const std::size_t begin = at + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
  }
  Json RowsAfter(const std::string& table, std::uint64_t after, bool with_gone,
                 const Rewrite& rewrite) const {
    std::vector<std::pair<std::uint64_t, Json>> found;
    for (const auto& [name, row] : rows_) {
      if (name.first != table || row.version <= after || (row.gone && !with_gone)) {
        continue;
      }
      Json entry{
          {"table", table}, {"part", ""}, {"private_key", name.second}, {"ver", row.version}};
      if (row.gone) {
        entry["is_gone"] = true;
      } else if (rewrite && table == "servers") {
        Json value = row.json;
        value["address"] = rewrite(value["address"].get<std::string>());
        entry["value"] = Base64(value.dump());
      } else {
        entry["value"] = row.value;
      }
      found.emplace_back(with_gone ? row.version : 0, std::move(entry));
    }
    std::stable_sort(found.begin(), found.end(),
                     [](const auto& left, const auto& right) { return left.first < right.first; });
    Json list = Json::array();
    for (auto& entry : found) {
      list.push_back(std::move(entry.second));
    }
    return list;
  }
  Json Transact(const Json& body, int* status) {
    Json conflicts = Json::array();
    const auto key = [](const Json& entry) {
      return std::pair(entry.at("table").get<std::string>(),
                       entry.at("private_key").get<std::string>());
    };
    for (const Json& entry : body.value("expected_revision", Json::array())) {
      const auto row = rows_.find(key(entry));
      const bool there = row != rows_.end() && !row->second.gone;
      if (entry.at("ver").get<std::uint64_t>() != (there ? row->second.version : 0)) {
        conflicts.push_back(entry);
      }
    }
    if (!conflicts.empty()) {
      *status = 412;
      return {{"rows", conflicts}, {"ver", version_}, {"now_ms", NowMs()}};
    }
    ++version_;
    for (const Json& entry : body.value("put", Json::array())) {
      rows_[key(entry)] = {entry.at("value").get<std::string>(), version_, false, {}};
    }
    for (const Json& entry : body.value("remove", Json::array())) {
      rows_[key(entry)] = {"", version_, true, {}};
    }
    changed_.notify_all();
    *status = 200;
    return {{"ver", version_}, {"now_ms", NowMs()}};
  }
  bool OnRequest(const std::shared_ptr<Socket>& socket, const Message& request,
                 const Rewrite& rewrite) {
    const std::string target = request.Word(1);
    const std::string table = Parameter(target, "table");
    int status = 200;
    Json answer;
    std::unique_lock<std::mutex> lock(mutex_);
    if (target.rfind("/api/rows-get", 0) == 0) {
      answer = {{"rows", RowsAfter(table, 0, false, rewrite)},
                {"ver", version_},
                {"now_ms", NowMs()},
                {"has_more", false}};
    } else if (target.rfind("/api/rows-feed", 0) == 0) {
      const std::uint64_t after = std::stoull(Parameter(target, "after"));
      const auto wait = std::chrono::milliseconds(std::stol(Parameter(target, "wait_ms")));
      changed_.wait_for(
          lock, wait, [&] { return stopped_ || !RowsAfter(table, after, true, rewrite).empty(); });
      answer = {
          {"rows", RowsAfter(table, after, true, rewrite)}, {"ver", version_}, {"now_ms", NowMs()}};
    } else {
      answer = Transact(Json::parse(request.body), &status);
    }
    if (stopped_) {
      return false;
    }
    lock.unlock();
    return socket->Write(AnswerText(status, status == 200 ? "OK" : "Precondition Failed",
                                    {{"Content-Type", "application/json"}}, answer.dump()));
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::pair<std::string, std::string>, Row> rows_;
  std::uint64_t version_ = 0;
  bool stopped_ = false;
  Server server_;
  std::vector<std::unique_ptr<Server>> views_;
};

// A process of the gateway, with settings as the platform fills in deploy/settings.template.toml.
class GatewayProcess {
 public:
  GatewayProcess(std::string name, const std::string& store, const std::string& folder,
                 bool fencing_enforced = true, const std::string& zone = "zone-a")
      : name_(std::move(name)),
        store_(store),
        folder_(folder),
        fencing_enforced_(fencing_enforced),
        zone_(zone) {
    WriteSettings();
    Start();
  }
  ~GatewayProcess() { Kill(); }

  // Starts the command of deploy/system.toml with the settings file named in the environment. The
  // process ends with this one at the latest.
  void Start() {
    const std::string program = "target/hingespan-gateway";
    const std::string variable = "HINGESPAN_SETTINGS=" + settings_;
    char* arguments[] = {const_cast<char*>(program.c_str()), nullptr};
    char* variables[] = {const_cast<char*>(variable.c_str()), nullptr};
    const int output = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      dup2(output, 1);
      dup2(output, 2);
      execve(program.c_str(), arguments, variables);
      _exit(127);
    }
    close(output);
    if (pid_ < 0) {
      std::fprintf(stderr, "target/hingespan-gateway can't be started\n");
      std::exit(2);
    }
  }
  void Kill() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      pid_ = 0;
    }
  }
  bool Running() const { return pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == 0; }
  pid_t pid() const { return pid_; }
  const std::string& name() const { return name_; }
  std::string front() const { return AddressOf(front_); }
  std::string status() const { return AddressOf(ready_); }
  const std::string& log() const { return log_; }

  // Waits until the gateway says that it is ready. A process that ended at once, e.g. as another
  // one has taken its port meanwhile, is started again with other ports.
  bool AwaitReady(std::int64_t for_ms = 20000) {
    const std::int64_t until = NowMs() + for_ms;
    int status = 0;
    while (NowMs() < until) {
      if (waitpid(pid_, nullptr, WNOHANG) == pid_) {
        WriteSettings();
        Start();
      }
      if (const auto socket = Connect(this->status())) {
        Message answer;
        socket->Write("GET /api/readiness HTTP/1.1\r\nHost: " + this->status() + "\r\n\r\n");
        status = socket->Read(&answer, NowMs() + 1000) ? answer.Status() : -1;
        if (status == 200) {
          return true;
        }
      }
      SleepMs(50);
    }
    std::fprintf(stderr, "%s isn't ready: %d\n", name_.c_str(), status);
    return false;
  }

 private:
  void WriteSettings() {
    front_ = FreePort();
    ready_ = FreePort();
    metrics_ = FreePort();
    const int peers = FreePort();
    const int forwarded = FreePort();
    settings_ = folder_ + "/" + name_ + ".toml";
    log_ = folder_ + "/" + name_ + ".log";
    std::ofstream file(settings_);
    file << "[node]\nname = \"" << name_ << "\"\nzone = \"" << zone_
         << "\"\nlink_mbps = 1000.0\n\n[listen]\nrequests = \"" << AddressOf(front_)
         << "\"\nstatus = \"" << AddressOf(ready_)
         << "\"\nreadiness_path = \"/api/readiness\"\nmetrics = \"" << AddressOf(metrics_)
         << "\"\npeers = \"" << AddressOf(peers) << "\"\nforwarded = \"" << AddressOf(forwarded)
         << "\"\nmax_connections = 2500\n\n[store]\naddress = \"" << store_
         << "\"\nrow_bytes = 65536\n\n[placement]\nlease_ms = 3000\nworkers_check_tokens = "
         << (fencing_enforced_ ? "true" : "false")
         << "\n\n[stop]\ntime_s = 8\n\n[retries]\nratio = 0.2\nextra = 52\nwindow_s = 10\n";
  }

  std::string name_;
  std::string store_;
  std::string folder_;
  bool fencing_enforced_ = true;
  std::string zone_;
  int front_ = 0;
  int ready_ = 0;
  int metrics_ = 0;
  std::string settings_;
  std::string log_;
  pid_t pid_ = 0;
};

// What a client has seen of one try.
struct Outcome {
  // 0 if no head of an answer came.
  int status = 0;
  bool whole = false;
  Message answer;
};

// Sends one request on a connection of its own.
inline Outcome Ask(const std::string& to, const std::string& method, const std::string& path,
                   const Fields& fields, const std::string& body, std::int64_t deadline_ms) {
  Outcome outcome;
  const std::int64_t until = NowMs() + deadline_ms;
  const std::shared_ptr<Socket> socket = Connect(to);
  if (socket == nullptr) {
    return outcome;
  }
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: site.example\r\nDeadline-Ms: " +
                     std::to_string(deadline_ms) + "\r\n";
  for (const auto& [name, value] : fields) {
    text += name + ": " + value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  if (!socket->Write(text)) {
    return outcome;
  }
  if (socket->Read(&outcome.answer, until)) {
    outcome.status = outcome.answer.Status();
    outcome.whole = outcome.answer.complete;
  }
  return outcome;
}

// A temporary folder that is removed at the end.
class Folder {
 public:
  Folder() {
    char name[] = "/tmp/hingespan-review-XXXXXX";
    path_ = mkdtemp(name);
  }
  ~Folder() {
    if (std::getenv("KEEP") == nullptr) {
      const std::string command = "rm -rf " + path_;
      (void)!std::system(command.c_str());
    }
  }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// False if the case shall run without its disruption.
inline bool Trouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace standin

#endif  // REVIEW_STANDIN_STANDIN_H_
