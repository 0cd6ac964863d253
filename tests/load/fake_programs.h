// Shell scripts that print the same output as the emulator and a node, for tests of LocalCluster.
#ifndef HINGESPAN_TESTS_LOAD_FAKE_PROGRAMS_H_
#define HINGESPAN_TESTS_LOAD_FAKE_PROGRAMS_H_

#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <string>

namespace hingespan::load {

// A directory with executable scripts, which is removed by the destructor.
class FakePrograms {
 public:
  FakePrograms() {
    std::string name = (std::filesystem::temp_directory_path() / "hingespan-XXXXXX").string();
    directory_ = mkdtemp(name.data());
  }
  ~FakePrograms() { std::filesystem::remove_all(directory_); }
  FakePrograms(const FakePrograms&) = delete;
  FakePrograms& operator=(const FakePrograms&) = delete;

  void Write(const std::string& program, const std::string& script) const {
    const std::filesystem::path path = std::filesystem::path(directory_) / program;
    std::ofstream(path) << "#!/bin/sh\n" << script << "\n";
    std::filesystem::permissions(path, std::filesystem::perms::owner_all);
  }

  const std::string& directory() const { return directory_; }

 private:
  std::string directory_;
};

}  // namespace hingespan::load

#endif  // HINGESPAN_TESTS_LOAD_FAKE_PROGRAMS_H_
