#include "hingespan/fleet/lease_manager.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hingespan::gateway {
namespace {

LeaseSettings SettingsOf(const std::string& node, std::uint64_t incarnation = 1) {
  LeaseSettings settings;
  settings.node = node;
  settings.incarnation = incarnation;
  settings.address = node;
  return settings;
}

absl::Time At(double seconds) { return absl::UnixEpoch() + absl::Seconds(seconds); }

TEST_CASE("a free lease is acquired; its token is the version of the acquisition") {
  LeaseManager lease(SettingsOf("n1"));
  CHECK(!lease.NextWrite(At(0)).has_value());
  lease.OnRead(std::nullopt, 0, At(0));
  const auto write = lease.NextWrite(At(0));
  REQUIRE(write.has_value());
  CHECK(write->condition_version == 0);
  CHECK(write->record.token == 0);
  lease.OnCommitted(7, At(0.01));
  CHECK(lease.MayOrder(At(0.02)));
  CHECK(lease.token() == 7);
  const auto renewal = lease.NextWrite(At(1.1));
  REQUIRE(renewal.has_value());
  CHECK(renewal->condition_version == 7);
  CHECK(renewal->record.token == 7);
  lease.OnCommitted(9, At(1.2));
  CHECK(lease.token() == 7);
}

TEST_CASE(
    "another machine's lease is taken over only after its row has been unchanged for long enough") {
  LeaseManager lease(SettingsOf("n2"));
  const LeaseRecord other{"n1", 1, "n1", 5};
  lease.OnRead(other, 5, At(0));
  CHECK(!lease.NextWrite(At(3.3)).has_value());
  lease.OnRead(other, 6, At(3.3));  // Renewed.
  CHECK(!lease.NextWrite(At(6.6)).has_value());
  const auto write = lease.NextWrite(At(6.8));
  REQUIRE(write.has_value());
  CHECK(write->condition_version == 6);
}

TEST_CASE("a malformed lease is taken over like that of an unknown holder") {
  LeaseManager lease(SettingsOf("n2"));
  lease.OnRead(std::nullopt, 5, At(0));
  CHECK(!lease.NextWrite(At(3.3)).has_value());
  const auto write = lease.NextWrite(At(3.5));
  REQUIRE(write.has_value());
  CHECK(write->condition_version == 5);
  lease.OnCommitted(8, At(3.6));
  CHECK(lease.token() == 8);
}

TEST_CASE("a renewal's answer that arrives after the lease was lost does not restore it") {
  LeaseManager lease(SettingsOf("n1"));
  lease.OnRead(std::nullopt, 0, At(0));
  REQUIRE(lease.NextWrite(At(0)).has_value());
  lease.OnCommitted(7, At(0));
  REQUIRE(lease.NextWrite(At(1.1)).has_value());
  // The renewal takes effect at version 8. Then another node takes over at version 9 and orders,
  // and a worker is the first to report the higher token.
  lease.OnFenced(At(1.5));
  lease.OnCommitted(8, At(1.6));
  CHECK(!lease.holding());
  CHECK(!lease.MayOrder(At(1.7)));
  CHECK(lease.needs_read());
}

// Guards against a holder that keeps the lease although its orders reach no worker, and against
// one that orders on with it after another node may have taken over.
TEST_CASE("a suspended holder lets its lease run out, and orders again only after a new write") {
  LeaseManager lease(SettingsOf("n1"));
  lease.OnRead(std::nullopt, 0, At(0));
  REQUIRE(lease.NextWrite(At(0)).has_value());
  lease.OnCommitted(7, At(0));
  lease.SetSuspended(true);
  CHECK(!lease.MayOrder(At(0.1)));
  CHECK(!lease.NextWrite(At(5)).has_value());
  lease.SetSuspended(false);
  CHECK(!lease.MayOrder(At(5)));
  CHECK(lease.needs_read());
  lease.OnRead(LeaseRecord{"n1", 1, "n1", 7}, 7, At(5));
  REQUIRE(lease.NextWrite(At(5)).has_value());
  CHECK(!lease.MayOrder(At(5)));
  lease.OnCommitted(8, At(5.1));
  CHECK(lease.MayOrder(At(5.1)));
}

TEST_CASE("a suspended node does not acquire a free lease") {
  LeaseManager lease(SettingsOf("n1"));
  lease.SetSuspended(true);
  lease.OnRead(std::nullopt, 0, At(0));
  CHECK(!lease.NextWrite(At(60)).has_value());
}

TEST_CASE("a less suited node lets others acquire the lease first") {
  LeaseManager lease(SettingsOf("n2"));
  lease.SetExtraWait(absl::Seconds(2));
  lease.OnRead(std::nullopt, 0, At(0));
  CHECK(!lease.NextWrite(At(1.9)).has_value());
  lease.OnRead(std::nullopt, 0, At(2));
  CHECK(lease.NextWrite(At(2)).has_value());
  LeaseManager other(SettingsOf("n3"));
  other.SetExtraWait(absl::Seconds(2));
  other.OnRead(LeaseRecord{"n1", 1, "n1", 5}, 5, At(0));
  CHECK(!other.NextWrite(At(5.3)).has_value());
  CHECK(other.NextWrite(At(5.5)).has_value());
}

TEST_CASE("time without the store does not count towards a takeover") {
  LeaseManager lease(SettingsOf("n2"));
  const LeaseRecord other{"n1", 1, "n1", 5};
  lease.OnRead(other, 5, At(0));
  lease.OnReadFailed(At(1));
  lease.OnRead(other, 5, At(9));
  CHECK(!lease.NextWrite(At(9)).has_value());
  CHECK(lease.NextWrite(At(12.5)).has_value());
}

TEST_CASE("a restarted process takes its machine's lease over at once, with a new token") {
  LeaseManager lease(SettingsOf("n1", 2));
  lease.OnRead(LeaseRecord{"n1", 1, "n1", 5}, 8, At(0));
  const auto write = lease.NextWrite(At(0));
  REQUIRE(write.has_value());
  lease.OnCommitted(12, At(0.1));
  CHECK(lease.token() == 12);
}

TEST_CASE("the outcome of a write without an answer is read from the row") {
  LeaseManager lease(SettingsOf("n1"));
  lease.OnRead(std::nullopt, 0, At(0));
  REQUIRE(lease.NextWrite(At(0)).has_value());
  lease.OnCommitFailed(At(1));
  CHECK(lease.needs_read());
  CHECK(!lease.NextWrite(At(1)).has_value());
  lease.OnRead(LeaseRecord{"n1", 1, "n1", 0}, 4, At(2));
  CHECK(lease.token() == 4);
  // The write is not confirmed by an answer yet; a renewal confirms it.
  CHECK(!lease.MayOrder(At(2)));
  REQUIRE(lease.NextWrite(At(2)).has_value());
  lease.OnCommitted(5, At(2.1));
  CHECK(lease.MayOrder(At(2.2)));
  CHECK(lease.token() == 4);
}

TEST_CASE("a refused token is never ordered with again") {
  LeaseManager lease(SettingsOf("n1"));
  lease.OnRead(std::nullopt, 0, At(0));
  REQUIRE(lease.NextWrite(At(0)).has_value());
  lease.OnCommitted(3, At(0));
  lease.OnFenced(At(0.5));
  CHECK(!lease.MayOrder(At(0.5)));
  lease.OnRead(LeaseRecord{"n1", 1, "n1", 3}, 3, At(0.6));
  CHECK(!lease.holding());
}

TEST_CASE("after a pause the lease is valid only once it is confirmed again") {
  LeaseManager lease(SettingsOf("n1"));
  lease.OnRead(std::nullopt, 0, At(0));
  REQUIRE(lease.NextWrite(At(0)).has_value());
  lease.OnCommitted(3, At(0));
  lease.OnPaused();
  CHECK(!lease.MayOrder(At(4)));
  lease.OnRead(LeaseRecord{"n1", 1, "n1", 0}, 3, At(4));
  CHECK(!lease.MayOrder(At(4)));
  REQUIRE(lease.NextWrite(At(4)).has_value());
  lease.OnCommitted(4, At(4.1));
  CHECK(lease.MayOrder(At(4.2)));
}

TEST_CASE("a holder that resigns writes no more") {
  LeaseManager lease(SettingsOf("n1"));
  lease.OnRead(std::nullopt, 0, At(0));
  REQUIRE(lease.NextWrite(At(0)).has_value());
  lease.OnCommitted(3, At(0));
  lease.Resign();
  CHECK(!lease.MayOrder(At(0.1)));
  CHECK(!lease.NextWrite(At(5)).has_value());
}

LeaseSettings UncheckedSettingsOf(const std::string& node, std::uint64_t incarnation = 1) {
  LeaseSettings settings = SettingsOf(node, incarnation);
  settings.workers_check_tokens = false;
  return settings;
}

TEST_CASE("where workers check tokens, a holder cut off from the store keeps ordering") {
  LeaseManager lease(SettingsOf("n1"));
  lease.OnRead(std::nullopt, 0, At(0));
  REQUIRE(lease.NextWrite(At(0)).has_value());
  lease.OnCommitted(3, At(0.1));
  CHECK(lease.MayOrder(At(9)));
}

TEST_CASE(
    "where workers check no tokens, a holder stops before its lease ends, counted from the sending "
    "of the renewal") {
  LeaseManager lease(UncheckedSettingsOf("n1"));
  lease.OnRead(std::nullopt, 0, At(0));
  REQUIRE(lease.NextWrite(At(0)).has_value());
  lease.OnCommitted(3, At(0.9));
  CHECK(lease.MayOrder(At(1.9)));
  CHECK(!lease.MayOrder(At(2.1)));
}

TEST_CASE(
    "where workers check no tokens, a takeover waits until the former holder's last order is old") {
  LeaseManager lease(UncheckedSettingsOf("n2"));
  lease.OnRead(LeaseRecord{"n1", 1, "n1", 5}, 5, At(0));
  CHECK(!lease.NextWrite(At(5.4)).has_value());
  CHECK(lease.NextWrite(At(6)).has_value());
}

// Guards against an order of the previous process reaching a worker after a newer one.
TEST_CASE(
    "where workers check no tokens, a restarted process lets its predecessor's orders arrive "
    "first") {
  LeaseSettings settings = UncheckedSettingsOf("n1", 2);
  settings.order_transit = absl::Milliseconds(500);
  LeaseManager lease(settings);
  lease.OnRead(LeaseRecord{"n1", 1, "n1", 5}, 8, At(0));
  CHECK(!lease.NextWrite(At(0)).has_value());
  CHECK(!lease.NextWrite(At(0.4)).has_value());
  const auto write = lease.NextWrite(At(0.5));
  REQUIRE(write.has_value());
  CHECK(write->condition_version == 8);
}

TEST_CASE("a renewal without an answer is retried soon and confirms the lease again") {
  LeaseManager lease(UncheckedSettingsOf("n1"));
  lease.OnRead(std::nullopt, 0, At(0));
  REQUIRE(lease.NextWrite(At(0)).has_value());
  lease.OnCommitted(3, At(0.1));
  REQUIRE(lease.NextWrite(At(1.1)).has_value());
  lease.OnCommitFailed(At(1.3));
  lease.OnRead(LeaseRecord{"n1", 1, "n1", 3}, 3, At(1.35));
  REQUIRE(lease.NextWrite(At(1.4)).has_value());
  lease.OnCommitted(4, At(1.5));
  CHECK(lease.MayOrder(At(2.5)));
}

// Simulated store with one row. Its answers can get lost, and its writes can take effect late.
struct SimulatedStore {
  std::optional<LeaseRecord> record;
  std::uint64_t row_version = 0;
  std::uint64_t version = 0;

  bool Apply(const LeaseManager::Write& write) {
    if (write.condition_version != row_version) {
      return false;
    }
    record = write.record;
    row_version = ++version;
    return true;
  }
};

TEST_CASE("property: tokens are never shared, and the one in the store is the newest") {
  CHECK(rc::check("leases under lost, late and refused calls", [] {
    SimulatedStore store;
    std::vector<LeaseManager> nodes;
    for (const char* const name : {"n1", "n2", "n3"}) {
      nodes.emplace_back(SettingsOf(name));
    }
    std::deque<LeaseManager::Write> late;
    std::vector<std::set<std::uint64_t>> tokens(nodes.size());
    double now = 0;
    const int steps = *rc::gen::inRange(20, 200);
    for (int step = 0; step < steps; ++step) {
      now += *rc::gen::element(0.05, 0.4, 1.0, 2.0);
      const auto index = *rc::gen::inRange<std::size_t>(0, nodes.size());
      LeaseManager& node = nodes[index];
      switch (*rc::gen::inRange(0, 7)) {
        case 0:
        case 1:
          node.OnRead(store.record, store.row_version, At(now));
          break;
        case 2:
          node.OnReadFailed(At(now));
          break;
        case 3:
          node.OnPaused();
          break;
        case 4:
          if (!late.empty()) {
            store.Apply(late.front());
            late.pop_front();
          }
          break;
        default: {
          const auto write = node.NextWrite(At(now));
          if (!write.has_value()) {
            break;
          }
          switch (*rc::gen::inRange(0, 4)) {
            case 0:
              late.push_back(*write);
              node.OnCommitFailed(At(now));
              break;
            case 1:
              store.Apply(*write);
              node.OnCommitFailed(At(now));
              break;
            default:
              if (store.Apply(*write)) {
                node.OnCommitted(store.row_version, At(now));
              } else {
                node.OnConflict(At(now));
              }
          }
        }
      }
      if (node.holding()) {
        tokens[index].insert(node.token());
      }
    }
    for (std::size_t left = 0; left < nodes.size(); ++left) {
      for (std::size_t right = left + 1; right < nodes.size(); ++right) {
        for (const std::uint64_t token : tokens[left]) {
          RC_ASSERT(!tokens[right].contains(token));
        }
      }
    }
  }));
}

TEST_CASE("property: where workers check no tokens, orders of two machines are a lease apart") {
  CHECK(rc::check("holders under lost, late and refused calls, pauses and restarts", [] {
    SimulatedStore store;
    const std::vector<std::string> names = {"n1", "n2", "n3"};
    std::vector<LeaseManager> nodes;
    for (const std::string& name : names) {
      nodes.emplace_back(UncheckedSettingsOf(name));
    }
    const LeaseSettings settings = UncheckedSettingsOf("any");
    std::uint64_t incarnation = 1;
    std::deque<LeaseManager::Write> late;
    // Latest time at which the last order of each machine arrived.
    std::vector<absl::Time> arrived(nodes.size(), absl::InfinitePast());
    double now = 0;
    const int steps = *rc::gen::inRange(20, 300);
    for (int step = 0; step < steps; ++step) {
      now += *rc::gen::element(0.01, 0.1, 0.3, 1.0);
      const auto index = *rc::gen::inRange<std::size_t>(0, nodes.size());
      LeaseManager& node = nodes[index];
      switch (*rc::gen::inRange(0, 12)) {
        case 0:
        case 1:
        case 2:
        case 3:
          node.OnRead(store.record, store.row_version, At(now));
          break;
        case 4:
          node.OnReadFailed(At(now));
          break;
        case 5:
          if (!late.empty()) {
            store.Apply(late.front());
            late.pop_front();
          }
          break;
        case 6:
          node = LeaseManager(UncheckedSettingsOf(names[index], ++incarnation));
          break;
        default: {
          const auto write = node.NextWrite(At(now));
          if (!write.has_value()) {
            break;
          }
          const int outcome = *rc::gen::inRange(0, 8);
          if (outcome == 0) {
            late.push_back(*write);
          }
          const bool done = outcome > 1 && store.Apply(*write);
          const double answered = now + *rc::gen::element(0.01, 0.4, 1.2);
          if (outcome <= 2) {
            node.OnCommitFailed(At(answered));
          } else if (done) {
            node.OnCommitted(store.row_version, At(answered));
          } else {
            node.OnConflict(At(answered));
          }
          now = answered;
        }
      }
      for (std::size_t other = 0; other < nodes.size(); ++other) {
        if (!nodes[other].MayOrder(At(now))) {
          continue;
        }
        for (std::size_t earlier = 0; earlier < nodes.size(); ++earlier) {
          if (earlier != other) {
            RC_ASSERT(At(now) - arrived[earlier] >= settings.duration);
          }
        }
        arrived[other] = At(now) + settings.order_transit;
      }
    }
  }));
}

}  // namespace
}  // namespace hingespan::gateway
