#include "tests/crowd/process_memory.h"

#include <filesystem>
#include <fstream>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace hingespan::crowd {
namespace {

constexpr std::size_t kBytesPerKilobyte = 1024;
// Columns of /proc/net/tcp.
constexpr std::size_t kLocalColumn = 1;
constexpr std::size_t kStateColumn = 3;
constexpr std::size_t kQueuesColumn = 4;
constexpr std::size_t kInodeColumn = 9;
constexpr const char* kListening = "0A";
constexpr const char* kNoInode = "0";

void ReadStatus(const std::string& folder, ProcessMemory* memory) {
  std::ifstream status(absl::StrCat(folder, "/status"));
  for (std::string line; std::getline(status, line);) {
    const std::vector<std::string> words =
        absl::StrSplit(line, absl::ByAnyChar(": \t"), absl::SkipEmpty());
    std::size_t kilobytes = 0;
    if (words.size() < 2 || !absl::SimpleAtoi(words[1], &kilobytes)) {
      continue;
    }
    if (words[0] == "VmRSS") {
      memory->resident = kilobytes * kBytesPerKilobyte;
    } else if (words[0] == "VmHWM") {
      memory->peak_resident = kilobytes * kBytesPerKilobyte;
    }
  }
}

// Counts the descriptors and returns the inodes of the sockets among them.
std::set<std::string> ReadDescriptors(const std::string& folder, ProcessMemory* memory) {
  std::set<std::string> sockets;
  std::error_code error;
  for (const auto& entry :
       std::filesystem::directory_iterator(absl::StrCat(folder, "/fd"), error)) {
    ++memory->descriptors;
    std::error_code unreadable;
    const std::string target = std::filesystem::read_symlink(entry.path(), unreadable).string();
    absl::string_view inode = target;
    if (absl::ConsumePrefix(&inode, "socket:[") && absl::ConsumeSuffix(&inode, "]")) {
      sockets.emplace(inode);
    }
  }
  return sockets;
}

struct TcpSocket {
  std::string port;
  std::string state;
  std::string inode;
  std::size_t unread = 0;
};

std::vector<TcpSocket> ReadTcpSockets(const std::string& folder) {
  std::vector<TcpSocket> sockets;
  std::ifstream table(absl::StrCat(folder, "/net/tcp"));
  for (std::string line; std::getline(table, line);) {
    const std::vector<std::string> columns = absl::StrSplit(line, ' ', absl::SkipEmpty());
    if (columns.size() <= kInodeColumn) {
      continue;
    }
    const std::vector<std::string> address = absl::StrSplit(columns[kLocalColumn], ':');
    const std::vector<std::string> queues = absl::StrSplit(columns[kQueuesColumn], ':');
    std::size_t unread = 0;
    if (queues.size() == 2 && absl::SimpleHexAtoi(queues[1], &unread)) {
      sockets.push_back({address.back(), columns[kStateColumn], columns[kInodeColumn], unread});
    }
  }
  return sockets;
}

// Bytes at the sockets with these inodes, and at those that were not accepted yet.
std::size_t UnreadBytes(const std::string& folder, const std::set<std::string>& inodes) {
  const std::vector<TcpSocket> sockets = ReadTcpSockets(folder);
  std::set<std::string> ports;
  for (const TcpSocket& socket : sockets) {
    if (socket.state == kListening && inodes.contains(socket.inode)) {
      ports.insert(socket.port);
    }
  }
  std::size_t unread = 0;
  for (const TcpSocket& socket : sockets) {
    const bool not_accepted = socket.inode == kNoInode && ports.contains(socket.port);
    // A listening socket's queue counts connections.
    if (socket.state != kListening && (not_accepted || inodes.contains(socket.inode))) {
      unread += socket.unread;
    }
  }
  return unread;
}

}  // namespace

ProcessMemory ReadProcessMemory(pid_t pid) {
  const std::string folder = absl::StrCat("/proc/", pid);
  ProcessMemory memory;
  ReadStatus(folder, &memory);
  memory.unread = UnreadBytes(folder, ReadDescriptors(folder, &memory));
  return memory;
}

}  // namespace hingespan::crowd
