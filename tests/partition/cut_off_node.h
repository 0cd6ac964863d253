// A gateway node that reaches the workers over links of its own, which can fail all at once.
#ifndef TESTS_PARTITION_CUT_OFF_NODE_H_
#define TESTS_PARTITION_CUT_OFF_NODE_H_

#include <map>
#include <memory>
#include <string>

#include "platform/deployment_rows.h"
#include "tests/serving/gateway_world.h"
#include "tests/soak/fault_proxy.h"

namespace hingespan::gateway {

// Replaces the address of each worker by that of a link to it.
class LinkedReader : public DeploymentReader {
 public:
  explicit LinkedReader(EventLoop* loop) : loop_(loop) {}

  std::string configuration_table() const override { return rows_.configuration_table(); }
  std::string configuration_key() const override { return rows_.configuration_key(); }
  std::string worker_table() const override { return rows_.worker_table(); }
  Result<Configuration> ReadConfiguration(const StoreRow& row) const override {
    return rows_.ReadConfiguration(row);
  }
  Result<WorkerRecord> ReadWorker(const StoreRow& row) const override {
    Result<WorkerRecord> record = rows_.ReadWorker(row);
    if (record.ok()) {
      std::unique_ptr<soak::FaultProxy>& link = links_[record->address];
      if (link == nullptr) {
        link = std::make_unique<soak::FaultProxy>(loop_, record->address);
        link->SetFault(fault_);
      }
      record->address = link->address();
    }
    return record;
  }

  // Applies to the links to all workers, also to those that are added later.
  void SetFault(soak::LinkFault fault) {
    fault_ = fault;
    for (const auto& [address, link] : links_) {
      link->SetFault(fault);
    }
  }

 private:
  EventLoop* loop_;
  platform::DeploymentRows rows_;
  soak::LinkFault fault_ = soak::LinkFault::kNone;
  mutable std::map<std::string, std::unique_ptr<soak::FaultProxy>> links_;
};

}  // namespace hingespan::gateway

#endif  // TESTS_PARTITION_CUT_OFF_NODE_H_
