#include "load/schedule.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "absl/strings/str_format.h"
#include "hingespan/common/random.h"

namespace hingespan::load {
namespace {

constexpr std::uint64_t kClassSeedStep = 0x9E3779B97F4A7C15ULL;

// Draws models by weight.
class ModelPicker {
 public:
  explicit ModelPicker(std::vector<WeightedModel> models) : models_(std::move(models)) {
    for (const WeightedModel& model : models_) {
      total_ += model.weight;
      cumulative_.push_back(total_);
    }
  }

  const std::string& Pick(Random* random) const { return models_[PickIndex(random)].model; }

  // Draws distinct models by weight, without replacement.
  static std::vector<std::string> PickDistinct(std::vector<WeightedModel> models, std::size_t count,
                                               Random* random) {
    std::vector<std::string> picked;
    while (picked.size() < count && !models.empty()) {
      const std::size_t index = ModelPicker(models).PickIndex(random);
      picked.push_back(models[index].model);
      models.erase(models.begin() + static_cast<std::ptrdiff_t>(index));
    }
    return picked;
  }

 private:
  std::size_t PickIndex(Random* random) const {
    const double drawn = random->Fraction() * total_;
    const auto found = std::upper_bound(cumulative_.begin(), cumulative_.end(), drawn);
    const auto index = static_cast<std::size_t>(found - cumulative_.begin());
    return std::min(index, models_.size() - 1);
  }

  std::vector<WeightedModel> models_;
  std::vector<double> cumulative_;
  double total_ = 0;
};

// Plans the requests of one class. Each class has its own random generator, so that changing one
// class does not affect the others.
class ClassPlanner {
 public:
  ClassPlanner(const Scenario& scenario, std::size_t class_index)
      : scenario_(scenario),
        class_index_(class_index),
        request_class_(scenario.classes[class_index]),
        random_(scenario.seed + kClassSeedStep * (class_index + 1)),
        picker_(request_class_.models) {}

  std::vector<PlannedRequest> Plan() {
    PlanSteady();
    for (const Burst& burst : request_class_.bursts) {
      PlanBurst(burst);
    }
    return std::move(planned_);
  }

 private:
  void PlanSteady() {
    if (request_class_.rate_per_second <= 0) {
      return;
    }
    absl::Duration at = NextGap();
    while (at < scenario_.duration) {
      Add(at, picker_.Pick(&random_), random_.Next());
      at += NextGap();
    }
  }

  absl::Duration NextGap() {
    const double fraction = 1.0 - random_.Fraction();
    return absl::Seconds(-std::log(fraction) / request_class_.rate_per_second);
  }

  void PlanBurst(const Burst& burst) {
    const std::size_t all = request_class_.models.size();
    const std::size_t wanted =
        burst.distinct_models == 0 ? all : static_cast<std::size_t>(burst.distinct_models);
    const std::vector<std::string> models =
        ModelPicker::PickDistinct(request_class_.models, std::min(all, wanted), &random_);
    for (std::size_t index = 0; index < static_cast<std::size_t>(burst.requests); ++index) {
      const std::size_t model = index % models.size();
      const std::size_t round = index / models.size();
      Add(burst.at + burst.spread * random_.Fraction(), models[model], model + round);
    }
  }

  void Add(absl::Duration at, const std::string& model, std::uint64_t router) {
    PlannedRequest request;
    request.at = at;
    request.class_index = class_index_;
    request.model = model;
    request.key_bits = KeyBits{random_.Next(), random_.Next()};
    for (int copy = 0; copy < request_class_.copies; ++copy) {
      request.router =
          (router + static_cast<std::uint64_t>(copy)) % std::numeric_limits<std::uint32_t>::max();
      planned_.push_back(request);
    }
  }

  const Scenario& scenario_;
  const std::size_t class_index_;
  const RequestClass& request_class_;
  Random random_;
  const ModelPicker picker_;
  std::vector<PlannedRequest> planned_;
};

}  // namespace

std::vector<PlannedRequest> BuildSchedule(const Scenario& scenario) {
  std::vector<PlannedRequest> schedule;
  for (std::size_t index = 0; index < scenario.classes.size(); ++index) {
    std::vector<PlannedRequest> planned = ClassPlanner(scenario, index).Plan();
    schedule.insert(schedule.end(), planned.begin(), planned.end());
  }
  std::stable_sort(
      schedule.begin(), schedule.end(),
      [](const PlannedRequest& left, const PlannedRequest& right) { return left.at < right.at; });
  for (std::size_t number = 0; number < schedule.size(); ++number) {
    schedule[number].number = number;
  }
  return schedule;
}

std::string MakeUuidV7(absl::Time issued, const KeyBits& bits) {
  const auto milliseconds = static_cast<std::uint64_t>(absl::ToUnixMillis(issued));
  const std::uint64_t variant = 0x8000ULL | ((bits.low >> 48) & 0x3FFFULL);
  return absl::StrFormat("%08x-%04x-7%03x-%04x-%012x", (milliseconds >> 16) & 0xFFFFFFFFULL,
                         milliseconds & 0xFFFFULL, bits.high & 0xFFFULL, variant,
                         bits.low & 0xFFFFFFFFFFFFULL);
}

}  // namespace hingespan::load
