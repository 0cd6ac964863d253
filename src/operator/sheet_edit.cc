#include "hingespan/operator/sheet_edit.h"

#include <algorithm>
#include <set>
#include <utility>

namespace hingespan {
namespace {

VersionedRow FindOrAbsent(const RowsByName& rows, const ModelName& name) {
  const auto found = rows.find(name);
  return found != rows.end() ? found->second : VersionedRow{};
}

// Models come first, then versions, then adapters, so that no row depends on a later one.
int KindRank(RowKind kind) {
  switch (kind) {
    case RowKind::kModel:
      return 0;
    case RowKind::kVersion:
      return 1;
    case RowKind::kAdapter:
      return 2;
  }
  return 0;
}

int EditRank(const RowEdit& edit) {
  return edit.wanted.has_value() ? KindRank(edit.wanted->kind) : 0;
}

class Planner {
 public:
  Planner(const Sheet& sheet, const RowsByName& base, const RowsByName& current)
      : sheet_(sheet), base_(base), planned_rows_(current) {
    plan_.findings = sheet.findings;
  }

  SheetPlan Plan(MissingRows missing) {
    for (const SheetRow& row : sheet_.rows) {
      sheet_names_.insert(row.row.name);
      PlanRow(row);
    }
    SortByKind(&plan_.edits);
    if (missing != MissingRows::kKeep) {
      PlanMissing(missing);
    }
    CheckResult();
    return std::move(plan_);
  }

 private:
  void PlanRow(const SheetRow& sheet_row) {
    const ModelName& name = sheet_row.row.name;
    const VersionedRow seen = FindOrAbsent(base_, name);
    if (DiffRows(seen.row, sheet_row.row).empty()) {
      return;
    }
    plan_.edits.push_back({name, sheet_row.revision.value_or(seen.revision), sheet_row.row});
    planned_rows_[name].row = sheet_row.row;
    places_[name] = sheet_row.place;
  }

  void PlanMissing(MissingRows missing) {
    std::vector<RowEdit> deletions;
    for (const auto& [name, versioned] : base_) {
      if (sheet_names_.contains(name)) {
        continue;
      }
      if (missing == MissingRows::kFinding) {
        plan_.findings.push_back({{},
                                  name.value(),
                                  "the row is missing from the sheet",
                                  "--allow-delete, if it is to be deleted"});
        continue;
      }
      deletions.push_back({name, versioned.revision, std::nullopt});
      planned_rows_.erase(name);
    }
    SortDeletions(&deletions);
    plan_.edits.insert(plan_.edits.end(), deletions.begin(), deletions.end());
  }

  static void SortByKind(std::vector<RowEdit>* edits) {
    std::stable_sort(edits->begin(), edits->end(), [](const RowEdit& left, const RowEdit& right) {
      return EditRank(left) < EditRank(right);
    });
  }

  void SortDeletions(std::vector<RowEdit>* deletions) const {
    std::stable_sort(
        deletions->begin(), deletions->end(), [this](const RowEdit& left, const RowEdit& right) {
          return KindRank(base_.at(left.name).row->kind) > KindRank(base_.at(right.name).row->kind);
        });
  }

  // Checks the references between rows after the edits. A finding has the position of its row in
  // the sheet if the row is there.
  void CheckResult() {
    if (plan_.edits.empty()) {
      return;
    }
    for (const auto& [name, versioned] : planned_rows_) {
      if (!versioned.row.has_value()) {
        continue;
      }
      const auto place = places_.find(name);
      const VersionedRow base = FindOrAbsent(planned_rows_, versioned.row->base);
      CheckBase(*versioned.row, base.row.has_value() ? &*base.row : nullptr,
                place != places_.end() ? place->second : Place{"table", 0, 0}, &plan_.findings);
    }
  }

  const Sheet& sheet_;
  const RowsByName& base_;
  // The table after the planned edits.
  RowsByName planned_rows_;
  std::set<ModelName> sheet_names_;
  std::map<ModelName, Place> places_;
  SheetPlan plan_;
};

}  // namespace

SheetPlan PlanSheet(const Sheet& sheet, const RowsByName& base, const RowsByName& current,
                    MissingRows missing) {
  return Planner(sheet, base, current).Plan(missing);
}

}  // namespace hingespan
