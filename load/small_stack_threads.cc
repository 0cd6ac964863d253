#include "load/small_stack_threads.h"

#include <utility>

namespace hingespan::load {

SmallStackThreads::SmallStackThreads(int count, std::function<void()> body)
    : body_(std::move(body)) {
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, kStackBytes);
  for (int index = 0; index < count; ++index) {
    pthread_t thread;
    if (pthread_create(&thread, &attributes, &SmallStackThreads::Start, this) == 0) {
      threads_.push_back(thread);
    }
  }
  pthread_attr_destroy(&attributes);
}

SmallStackThreads::~SmallStackThreads() { Join(); }

void SmallStackThreads::Join() {
  for (const pthread_t thread : threads_) {
    pthread_join(thread, nullptr);
  }
  threads_.clear();
}

void* SmallStackThreads::Start(void* self) {
  static_cast<const SmallStackThreads*>(self)->body_();
  return nullptr;
}

}  // namespace hingespan::load
