// One part of a prompt crashes each worker that begins to write an answer on it: the worker has
// written the first event when it goes down.
#include "../standin/prompts.h"

int main(int, char** argv) {
  standin::PromptsOptions prompts;
  prompts.events_before_crash = 1;
  std::_Exit(standin::RunPrompts(prompts, argv[1]));
}
