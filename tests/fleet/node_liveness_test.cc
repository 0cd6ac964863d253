#include "hingespan/fleet/node_liveness.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace hingespan::gateway {
namespace {

// A lease holder that checks the nodes each second.
struct Holder {
  Holder() { liveness.Begin(now); }

  void SetRows(const std::vector<NodeRow>& rows) { liveness.SetRows(rows, now); }
  // Checks once; the nodes in `answering` answer their probes.
  std::vector<std::string> Check(const std::vector<std::string>& answering = {}) {
    now += absl::Seconds(1);
    std::vector<std::string> lost;
    for (const NodeRow& row : liveness.TakeLost(now)) {
      lost.push_back(row.name);
    }
    for (const std::string& name : liveness.TakeDueProbes(now)) {
      ++probes;
      for (const std::string& each : answering) {
        if (each == name) {
          liveness.OnHeard(name, now);
        }
      }
    }
    return lost;
  }
  // Returns the number of checks until a node is lost; 0 if none is within `most`.
  int ChecksUntilLost(int most) {
    for (int count = 1; count <= most; ++count) {
      if (!Check().empty()) {
        return count;
      }
    }
    return 0;
  }

  NodeLiveness liveness;
  absl::Time now = absl::FromUnixSeconds(1000);
  int probes = 0;
};

}  // namespace

// Guards against the row of a lost node that stays for good (LOST).
TEST_CASE("a node that answers no probe is lost, and one that answers isn't") {
  Holder holder;
  holder.SetRows({{"dead", 1, 10}, {"quiet", 2, 11}});
  std::vector<std::string> lost;
  for (int count = 0; count < 12; ++count) {
    for (const std::string& name : holder.Check({"quiet"})) {
      lost.push_back(name);
      holder.SetRows({{"quiet", 2, 11}});
    }
  }
  CHECK(lost == std::vector<std::string>{"dead"});
}

TEST_CASE("a node that sends messages is not probed") {
  Holder holder;
  holder.SetRows({{"busy", 1, 10}});
  for (int count = 0; count < 20; ++count) {
    holder.liveness.OnHeard("busy", holder.now);
    CHECK(holder.Check().empty());
  }
  CHECK(holder.probes == 0);
}

// Guards against the row of a frozen node or of one that has just restarted being removed.
TEST_CASE("a node that is silent for five seconds is not lost") {
  Holder holder;
  holder.SetRows({{"frozen", 1, 10}, {"restarted", 1, 11}});
  for (int count = 0; count < 5; ++count) {
    CHECK(holder.Check().empty());
  }
  holder.liveness.OnHeard("frozen", holder.now);
  holder.SetRows({{"frozen", 1, 10}, {"restarted", 2, 12}});
  for (int count = 0; count < 5; ++count) {
    CHECK(holder.Check().empty());
  }
}

// Guards against a node that only the holder can't reach losing its row again and again.
TEST_CASE("a node that puts its row back is given twice the time") {
  Holder holder;
  std::uint64_t version = 10;
  int before = 0;
  for (int removal = 0; removal < 3; ++removal) {
    holder.SetRows({{"apart", 1, ++version}});
    const int checks = holder.ChecksUntilLost(100);
    CHECK(checks > 0);
    if (before > 0) {
      CHECK(checks >= 2 * before - 4);
      CHECK(checks > before);
    }
    before = checks;
    holder.SetRows({});
    holder.Check();
  }
  // A process that has started since is judged like any other.
  holder.SetRows({{"apart", 2, ++version}});
  const int checks = holder.ChecksUntilLost(100);
  CHECK(checks > 0);
  CHECK(checks < before / 2);
}

// Guards against a new holder that takes its own ignorance for the nodes' silence.
TEST_CASE("a new holder judges the nodes by what it hears from then on") {
  Holder holder;
  holder.SetRows({{"dead", 1, 10}});
  holder.now += absl::Hours(1);
  holder.liveness.Begin(holder.now);
  CHECK(holder.Check().empty());
  CHECK(holder.ChecksUntilLost(20) >= 7);
}

TEST_CASE("rows of many lost nodes are removed a few at a time") {
  Holder holder;
  std::vector<NodeRow> rows;
  for (int number = 0; number < 100; ++number) {
    rows.push_back({"n" + std::to_string(number), 1, 10});
  }
  holder.SetRows(rows);
  std::size_t lost = 0;
  for (int count = 0; count < 30; ++count) {
    const std::size_t now_lost = holder.Check().size();
    CHECK(now_lost <= NodeLivenessSettings().max_lost_at_once);
    lost += now_lost;
  }
  CHECK(lost >= 100);
}

}  // namespace hingespan::gateway
