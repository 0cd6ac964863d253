// A small HTTP server that answers like a node; the model's name selects the behaviour: "good",
// "refused", "cut", "failing", "swapped" or "slow".
#ifndef HINGESPAN_TESTS_LOAD_FAKE_NODE_H_
#define HINGESPAN_TESTS_LOAD_FAKE_NODE_H_

#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace hingespan::load {

class FakeNode {
 public:
  FakeNode();
  ~FakeNode();

  std::string address() const;
  // Returns the idempotency keys received so far, in order of arrival; empty for requests without
  // one.
  std::vector<std::string> keys() const;
  // Returns the bodies posted to /faults, as the server also emulates the admin interface.
  std::vector<std::string> faults() const;
  // Answers "slow" requests once this many requests of all kinds have arrived. Must be called
  // before the first request, like HoldSlowFor.
  void ReleaseSlowAfter(std::size_t requests);
  // Answers each "slow" request this long after its arrival.
  void HoldSlowFor(absl::Duration duration);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace hingespan::load

#endif  // HINGESPAN_TESTS_LOAD_FAKE_NODE_H_
