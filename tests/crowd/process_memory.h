// What a process holds, as the kernel shows it: memory, unread bytes of its sockets, descriptors.
#ifndef TESTS_CROWD_PROCESS_MEMORY_H_
#define TESTS_CROWD_PROCESS_MEMORY_H_

#include <sys/types.h>

#include <cstddef>

namespace hingespan::crowd {

struct ProcessMemory {
  // Resident bytes now, and the most that were resident so far.
  std::size_t resident = 0;
  std::size_t peak_resident = 0;
  // Bytes that arrived at the process's TCP sockets, accepted or not, and were not read yet.
  std::size_t unread = 0;
  std::size_t descriptors = 0;
};

// All zero if the process has ended.
ProcessMemory ReadProcessMemory(pid_t pid);

}  // namespace hingespan::crowd

#endif  // TESTS_CROWD_PROCESS_MEMORY_H_
