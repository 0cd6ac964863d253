#include "hingespan/http/event_loop.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>
#include <vector>

#include "hingespan/common/clock.h"

namespace hingespan::gateway {
namespace {

class AsioTimer : public LoopTimer {
 public:
  explicit AsioTimer(boost::asio::io_context& context) : timer_(context) {}

  void Set(absl::Time when, std::function<void()> callback) override {
    const absl::Duration wait = std::max(absl::ZeroDuration(), when - SystemClock().Now());
    timer_.expires_after(absl::ToChronoMicroseconds(wait));
    ++*generation_;
    Wait(std::move(callback));
  }
  void Cancel() override {
    ++*generation_;
    timer_.cancel();
  }
  ~AsioTimer() override { ++*generation_; }

 private:
  void Wait(std::function<void()> callback) {
    timer_.async_wait([generation = generation_, expected = *generation_,
                       callback = std::move(callback)](const boost::system::error_code& error) {
      if (!error && *generation == expected) {
        callback();
      }
    });
  }

  boost::asio::steady_timer timer_;
  // Incremented by each Set and Cancel, so that a callback that is already queued is ignored.
  std::shared_ptr<int> generation_ = std::make_shared<int>(0);
};

}  // namespace

struct EventLoop::Implementation {
  boost::asio::io_context context{1};
  std::vector<std::unique_ptr<boost::asio::signal_set>> signals;
};

namespace {

void WaitForSignal(boost::asio::signal_set* signals, std::function<void()> callback) {
  signals->async_wait(
      [signals, callback = std::move(callback)](const boost::system::error_code& error, int) {
        if (error) {
          return;
        }
        callback();
        WaitForSignal(signals, callback);
      });
}

}  // namespace

EventLoop::EventLoop() : implementation_(std::make_unique<Implementation>()) {}
EventLoop::~EventLoop() = default;

absl::Time EventLoop::Now() const { return SystemClock().Now(); }

std::unique_ptr<LoopTimer> EventLoop::MakeTimer() {
  return std::make_unique<AsioTimer>(implementation_->context);
}

void EventLoop::Post(std::function<void()> task) {
  boost::asio::post(implementation_->context, std::move(task));
}

void EventLoop::OnSignal(int signal, std::function<void()> callback) {
  auto set = std::make_unique<boost::asio::signal_set>(implementation_->context, signal);
  WaitForSignal(set.get(), std::move(callback));
  implementation_->signals.push_back(std::move(set));
}

void EventLoop::Run() { implementation_->context.run(); }

bool EventLoop::RunUntil(const std::function<bool()>& done, absl::Duration limit) {
  const absl::Time end = Now() + limit;
  // A loop that ran out of work is in the stopped state.
  implementation_->context.restart();
  auto work = boost::asio::make_work_guard(implementation_->context);
  while (!done()) {
    const absl::Time now = Now();
    if (now >= end) {
      return false;
    }
    implementation_->context.run_one_for(absl::ToChronoMicroseconds(end - now));
  }
  return true;
}

void EventLoop::Stop() { implementation_->context.stop(); }

boost::asio::io_context& EventLoop::context() { return implementation_->context; }

}  // namespace hingespan::gateway
