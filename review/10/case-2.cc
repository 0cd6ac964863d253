// The operator raises the limit on bodies. Clients that have kept their connections send bodies
// that the new configuration allows and the old one did not.
#include "standin-2/world.h"

namespace hingespan::review {
namespace {

constexpr int kGateways = 2;
constexpr int kClients = 16;
constexpr int kSmallLimit = 64 * 1024;
constexpr int kLargeLimit = 1024 * 1024;
constexpr std::size_t kBody = 200 * 1000;

emulator::PlatformWorkerOptions PlainWorker() {
  emulator::PlatformWorkerOptions options;
  options.service = "gate-desk";
  options.run_time = absl::Milliseconds(30);
  return options;
}

int Run() {
  World world;
  // Without the change, the larger limit has been in force from the start.
  world.store()->Put("op", "config",
                     ConfigurationJson(1, World::Trouble() ? kSmallLimit : kLargeLimit).dump());
  for (int number = 1; number <= 3; ++number) {
    world.AddWorker(absl::StrCat(number), absl::Seconds(2), PlainWorker);
  }
  if (!world.StartGateways(kGateways)) {
    world.record().Line("the gateways did not start");
    return kNotRun;
  }
  std::vector<std::unique_ptr<gateway::HttpClient>> clients;
  const auto ask = [&](int number, int turn, const std::string& kind, std::size_t bytes,
                       gateway::HttpClient* client) {
    world.Send(static_cast<std::size_t>(number % kGateways), kind,
               absl::StrCat("9c", number, "d", turn), "POST", "/read/berth",
               {{"Deadline-Ms", "3000"}}, std::string(bytes, 'b'), client);
  };
  world.RunFor(absl::Seconds(4));
  // Each client keeps one connection and sends a small request each 3 s.
  for (int number = 0; number < kClients; ++number) {
    clients.push_back(std::make_unique<gateway::HttpClient>(world.loop(), gateway::ClientLimits{}));
    gateway::HttpClient* const client = clients.back().get();
    world.Every(world.Now() + absl::Milliseconds(100 * number), world.Now() + absl::Seconds(9),
                absl::Seconds(3),
                [&ask, number, client](int turn) { ask(number, turn, "small", 500, client); });
  }
  world.RunFor(absl::Seconds(11));
  world.store()->Put("op", "config", ConfigurationJson(2, kLargeLimit).dump());
  world.record().Line("version 2 is acknowledged");
  world.RunFor(kConfigApply + absl::Seconds(1));
  for (int number = 0; number < kClients; ++number) {
    ask(number, 100, "large", kBody, clients[static_cast<std::size_t>(number)].get());
    ask(number, 101, "large", kBody, nullptr);
    world.RunFor(absl::Milliseconds(100));
  }
  world.RunFor(absl::Seconds(4));
  int all = 0;
  int denied = 0;
  int denied_on_new = 0;
  for (const Try& each : world.tries()) {
    const bool is_denied = each.complete() && each.head.status == 413;
    ++all;
    denied += is_denied ? 1 : 0;
    denied_on_new += is_denied && !each.kept ? 1 : 0;
    if (each.kind == "large") {
      world.record().Line(each.id, each.kept ? " on a kept connection: " : " on a new connection: ",
                          each.complete() ? absl::StrCat(each.head.status) : "no whole answer");
    }
  }
  world.record().Line("requests: ", all,
                      "; denied though the only configuration in force allows "
                      "them: ",
                      denied, ", of these on new connections: ", denied_on_new);
  const bool broken = denied > 5 + all / 500;
  world.record().Line(broken ? "BROKEN" : "HELD");
  return broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace hingespan::review

int main() { return hingespan::review::Run(); }
