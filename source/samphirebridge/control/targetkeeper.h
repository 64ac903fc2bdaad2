// Stores the targets that a control instance knows and the evidence of parts of prompts that crash
// them, and restores both after its restart: a fleet in which every instance lost power can serve
// before all targets have announced themselves again, and crashes none of them once more.
#pragma once

#include "samphirebridge/core/errors.h"
#include "samphirebridge/core/time.h"
#include "samphirebridge/storage/targetstore.h"
#include "samphirebridge/telemetry/logger.h"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

namespace samphirebridge::control
{

// A directory of targets that counts its changes, and those among them that took a target out of
// service, and the crash reports about parts of prompts, which it counts too.
template <typename T>
concept TargetView = requires(T view, const proto::MembershipUpdate &update, core::TimePoint now)
{
    view.onUpdate(update, now);
    {
        view.targets().records()
        } -> std::same_as<std::vector<proto::TargetRecord>>;
    {
        view.targetChanges()
        } -> std::same_as<uint64_t>;
    {
        view.targetDepartures()
        } -> std::same_as<uint64_t>;
    {
        view.partReports(now)
        } -> std::same_as<std::vector<proto::CrashReport>>;
    {
        view.partReportChanges()
        } -> std::same_as<uint64_t>;
};

// Storage, view and logger must outlive the keeper. All calls run on the control thread.
template <storage::Storage Storage, TargetView View>
class TargetKeeper
{
public:
    TargetKeeper(Storage &targetStorage, View &targetView, telemetry::Logger &processLogger)
        : store(targetStorage)
        , view(targetView)
        , logger(processLogger)
    {
    }

    // Passes what is stored to the view as an update from another instance: a target that does not
    // announce itself soon is declared gone. A list that cannot be read is logged and ignored. The
    // time that the process was down is not added to the reports' ages.
    void restore(core::TimePoint now)
    {
        const absl::StatusOr<proto::MembershipUpdate> stored = this->store.load();
        if (!stored.ok()) {
            this->logger.change("targets_not_restored",
                                {{"error", std::string(core::messageOf(stored.status()))}});
            return;
        }
        this->view.onUpdate(*stored, now);
        this->logger.change("targets_restored",
                            {{"targets", std::to_string(stored->targets_size())},
                             {"part_reports", std::to_string(stored->crashes_size())}});
        this->markSaved(now);
    }

    // Stores the targets and reports if they have changed: at once after a departure, so that a
    // restart does not make a leaving target ready again, otherwise after SaveInterval. A save that
    // failed is tried again after SaveInterval.
    void flush(core::TimePoint now)
    {
        const bool departed = this->view.targetDepartures() != this->savedDepartures;
        const bool changed = this->view.targetChanges() != this->savedChanges
                             || this->view.partReportChanges() != this->savedPartChanges;
        if (!departed && !changed) {
            return;
        }
        const bool mayWait = !departed || this->saveFailed;
        if (mayWait && now - this->savedAt < SaveInterval) {
            return;
        }
        proto::MembershipUpdate known;
        for (const proto::TargetRecord &record : this->view.targets().records()) {
            proto::TargetRecord &stored = *known.add_targets();
            stored = record;
            stored.clear_load();
        }
        for (const proto::CrashReport &report : this->view.partReports(now)) {
            *known.add_crashes() = report;
        }
        this->savedAt = now;
        const absl::Status saved = this->store.save(known);
        // Not fatal: without the list the targets announce themselves again.
        if (!saved.ok() && !this->saveFailed) {
            this->logger.change("targets_not_saved",
                                {{"error", std::string(core::messageOf(saved))}});
        }
        this->saveFailed = !saved.ok();
        if (saved.ok()) {
            this->markSaved(now);
        }
    }

private:
    // The interval between two saves without a departure. Each save costs a sync, and a release
    // replaces many targets one after the other.
    static constexpr core::Duration SaveInterval = std::chrono::milliseconds(500);

    // Records that the view's present state is stored.
    void markSaved(core::TimePoint now)
    {
        this->savedAt = now;
        this->savedChanges = this->view.targetChanges();
        this->savedDepartures = this->view.targetDepartures();
        this->savedPartChanges = this->view.partReportChanges();
    }

    storage::TargetStore<Storage> store;
    View &view;
    telemetry::Logger &logger;
    core::TimePoint savedAt; // When the last save was tried.
    bool saveFailed = false;
    uint64_t savedChanges = 0;
    uint64_t savedDepartures = 0;
    uint64_t savedPartChanges = 0;
};

} // namespace samphirebridge::control
