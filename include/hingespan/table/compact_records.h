// Encoded rows and grants of all models, in one buffer per model. A replica of the whole log holds
// tens of thousands of them, and few are read.
#ifndef HINGESPAN_TABLE_COMPACT_RECORDS_H_
#define HINGESPAN_TABLE_COMPACT_RECORDS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "hingespan/common/ids.h"
#include "hingespan/table/records.h"
#include "hingespan/table/string_pool.h"

namespace hingespan {

// Not thread-safe. Models are numbered from 0 in the order in which they are added. They are never
// removed, as the revisions of deleted records must be kept.
class CompactRecords {
 public:
  CompactRecords();
  // Not copyable, as the index of names points into this object.
  CompactRecords(const CompactRecords&) = delete;
  CompactRecords& operator=(const CompactRecords&) = delete;

  std::optional<std::uint32_t> Find(std::string_view model) const;
  std::uint32_t FindOrAdd(std::string_view model);
  std::uint32_t size() const { return static_cast<std::uint32_t>(models_.size()); }
  std::string_view Name(std::uint32_t model) const;

  // Both setters delete the record if the pointer is null.
  void SetRow(std::uint32_t model, TableRevision revision, const ModelRow* row);
  void SetGrant(std::uint32_t model, TableRevision revision, const GrantRecord* grant);
  // Both return the revision of the latest write or deletion; 0 if there was none.
  TableRevision RowRevision(std::uint32_t model) const { return models_[model].row_revision; }
  TableRevision GrantRevision(std::uint32_t model) const { return models_[model].grant_revision; }
  bool HasRow(std::uint32_t model) const;
  bool HasGrant(std::uint32_t model) const;
  // Both set every field of the record; they return false and set nothing if it is absent.
  bool ReadRow(std::uint32_t model, ModelRow* row) const;
  bool ReadGrant(std::uint32_t model, GrantRecord* grant) const;

  // Returns the number of bytes held, without allocator overhead.
  std::size_t HeldBytes() const;

 private:
  struct Model {
    TableRevision row_revision;
    TableRevision grant_revision;
    // Sizes of the three parts, followed by the parts: name, row, grant. An absent record has size
    // 0.
    std::unique_ptr<char[]> bytes;
  };
  struct Parts {
    std::string_view name;
    std::string_view row;
    std::string_view grant;
  };
  using Models = std::deque<Model>;

  // Names are hashed and compared in place in the buffers.
  struct NameHash {
    using is_transparent = void;
    const Models* models;
    std::size_t operator()(std::string_view name) const;
    std::size_t operator()(std::uint32_t model) const;
  };
  struct NameEqual {
    using is_transparent = void;
    const Models* models;
    bool operator()(std::uint32_t left, std::uint32_t right) const { return left == right; }
    bool operator()(std::uint32_t model, std::string_view name) const;
    bool operator()(std::string_view name, std::uint32_t model) const;
  };

  static Parts PartsOf(const Model& model);
  static std::size_t SizeOf(const Model& model);
  void Replace(const Parts& parts, Model* model);

  Models models_;
  absl::flat_hash_set<std::uint32_t, NameHash, NameEqual> by_name_;
  StringPool pool_;
  std::size_t buffer_bytes_ = 0;
};

}  // namespace hingespan

#endif  // HINGESPAN_TABLE_COMPACT_RECORDS_H_
