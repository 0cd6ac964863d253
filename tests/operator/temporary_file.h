// A file in the system's temporary directory that is removed by the destructor.
#ifndef HINGESPAN_TESTS_OPERATOR_TEMPORARY_FILE_H_
#define HINGESPAN_TESTS_OPERATOR_TEMPORARY_FILE_H_

#include <stdlib.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace hingespan {

class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& suffix, const std::string& text = "") {
    path_ = std::filesystem::temp_directory_path() / "hingespan-test-XXXXXX";
    path_ += suffix;
    ::close(::mkstemps(path_.data(), static_cast<int>(suffix.size())));
    Write(text);
  }
  ~TemporaryFile() { ::unlink(path_.c_str()); }

  const std::string& path() const { return path_; }
  void Write(const std::string& text) const { std::ofstream(path_) << text; }
  std::string Read() const {
    std::ostringstream text;
    text << std::ifstream(path_).rdbuf();
    return text.str();
  }

 private:
  std::string path_;
};

}  // namespace hingespan

#endif  // HINGESPAN_TESTS_OPERATOR_TEMPORARY_FILE_H_
