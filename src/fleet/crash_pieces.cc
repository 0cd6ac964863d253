#include "hingespan/fleet/crash_pieces.h"

#include <algorithm>

namespace hingespan::gateway {
namespace {

// Bytes of parts in one piece, beyond which no further one is added. Leaves room for requests.
constexpr std::size_t kPartBytes = 560;
// Bytes that the encoding adds to a part.
constexpr std::size_t kBytesBesidePart = 2;
constexpr std::size_t kRequests = 48;
// Longer than all rounds of a notice take.
constexpr absl::Duration kLifetime = absl::Seconds(1);
constexpr std::size_t kMaxAssemblies = 256;

}  // namespace

std::vector<CrashNotice> SplitNotice(const CrashNotice& whole) {
  CrashNotice empty = whole;
  empty.parts.clear();
  empty.requests.clear();
  std::vector<CrashNotice> pieces = {empty};
  std::size_t bytes = 0;
  for (const std::string& part : whole.parts) {
    if (bytes > 0 && bytes + part.size() + kBytesBesidePart > kPartBytes) {
      pieces.push_back(empty);
      bytes = 0;
    }
    pieces.back().parts.insert(part);
    bytes += part.size() + kBytesBesidePart;
  }
  std::size_t index = 0;
  for (const RequestContent request : whole.requests) {
    if (pieces[index].requests.size() >= kRequests && ++index == pieces.size()) {
      pieces.push_back(empty);
    }
    pieces[index].requests.insert(request);
  }
  for (std::size_t number = 0; number < pieces.size(); ++number) {
    pieces[number].piece = static_cast<int>(number);
    pieces[number].pieces = static_cast<int>(pieces.size());
  }
  return pieces;
}

std::optional<CrashNotice> CrashPieces::Add(const CrashNotice& piece, absl::Time now) {
  if (piece.pieces <= 1) {
    return piece;
  }
  const Key key{piece.worker_id, piece.reply_address};
  if (assemblies_.size() >= kMaxAssemblies && !assemblies_.contains(key)) {
    assemblies_.erase(std::min_element(assemblies_.begin(), assemblies_.end(),
                                       [](const auto& left, const auto& right) {
                                         return left.second.since < right.second.since;
                                       }));
  }
  const auto [entry, is_new] = assemblies_.try_emplace(key);
  Assembly& assembly = entry->second;
  if (is_new) {
    assembly.notice = piece;
    assembly.since = now;
  }
  assembly.notice.parts.insert(piece.parts.begin(), piece.parts.end());
  assembly.pieces.insert(piece.piece);
  if (assembly.returned || assembly.pieces.size() < static_cast<std::size_t>(piece.pieces)) {
    return std::nullopt;
  }
  assembly.returned = true;
  return assembly.notice;
}

std::vector<CrashNotice> CrashPieces::TakeOverdue(absl::Time now) {
  std::vector<CrashNotice> overdue;
  std::erase_if(assemblies_, [&](const auto& entry) {
    const Assembly& assembly = entry.second;
    const bool is_over = now - assembly.since >= kLifetime;
    if (is_over && !assembly.returned) {
      overdue.push_back(assembly.notice);
    }
    return is_over;
  });
  return overdue;
}

absl::Time CrashPieces::NextOverdue() const {
  absl::Time next = absl::InfiniteFuture();
  for (const auto& [key, assembly] : assemblies_) {
    next = std::min(next, assembly.since + kLifetime);
  }
  return next;
}

}  // namespace hingespan::gateway
