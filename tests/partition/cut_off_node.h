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
      std::unique_ptr<soak::FaultProxy>& link = links_[record->service][record->address];
      if (link == nullptr) {
        link = std::make_unique<soak::FaultProxy>(loop_, record->address);
        link->SetFault(fault_);
      }
      record->address = link->address();
    }
    return record;
  }

  // Applies to the links to all workers, those that start later included.
  void SetFault(soak::LinkFault fault) {
    fault_ = fault;
    for (const auto& [service, links] : links_) {
      SetFault(fault, service);
    }
  }
  void SetFault(soak::LinkFault fault, const std::string& service) {
    for (const auto& [address, link] : links_[service]) {
      link->SetFault(fault);
    }
  }
  // Number of connections whose links have bytes that are not sent yet.
  std::size_t HoldingConnections() const {
    std::size_t count = 0;
    for (const auto& [service, links] : links_) {
      for (const auto& [address, link] : links) {
        count += link->HoldingConnections();
      }
    }
    return count;
  }

 private:
  EventLoop* loop_;
  platform::DeploymentRows rows_;
  // Fault of the links to workers that start later.
  soak::LinkFault fault_ = soak::LinkFault::kNone;
  // Links by service, then by the worker's own address.
  mutable std::map<std::string, std::map<std::string, std::unique_ptr<soak::FaultProxy>>> links_;
};

}  // namespace hingespan::gateway

#endif  // TESTS_PARTITION_CUT_OFF_NODE_H_
