// Groups targets by the service and model that they serve, and selects the subset of each group
// that this instance uses.
#pragma once

#include "manifest.pb.h"
#include "samphirebridge/routing/routedtarget.h"
#include "samphirebridge/routing/targetsubset.h"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace samphirebridge::routing
{

class TargetPools
{
public:
    TargetPools(core::InstanceId self, const RoutingOptions &options);

    // Sets which kind of target serves which service, and regroups all targets.
    void setKinds(std::span<const proto::TargetKind> kinds);

    // Sets the evacuated data centres, and regroups all targets. Subsets are filled from the other
    // data centres.
    void setEvacuated(std::span<const std::string> dataCentres);

    [[nodiscard]] const absl::flat_hash_set<std::string> &evacuatedDataCentres() const
    {
        return this->evacuated;
    }

    // Returns whether the target is in an evacuated data centre.
    [[nodiscard]] bool isEvacuated(const proto::TargetRecord &record) const
    {
        return this->evacuated.contains(record.data_centre());
    }

    // Returns how many READY targets for the model are in no pool since their data centre is
    // evacuated.
    [[nodiscard]] size_t evacuatedCount(const core::ServiceId &service,
                                        const core::ModelId &model) const;

    // Returns the services all of whose READY targets are in evacuated data centres, ordered.
    [[nodiscard]] std::vector<std::string> evacuatedServices() const;

    // Adds a target or replaces its record. A target that is not READY, or whose data centre is
    // evacuated, is in no pool. The returned reference stays valid until eraseTarget.
    RoutedTarget &upsertTarget(const proto::TargetRecord &record);

    // Removes a target. Does nothing if it is not known.
    void eraseTarget(const std::string &target);

    // Returns the target, or nullptr if it is not known.
    [[nodiscard]] RoutedTarget *findTarget(std::string_view target) const;

    // Returns the targets that this instance uses for the model; empty if no READY target serves
    // it. An empty model means every target of the service. Valid until the next change.
    [[nodiscard]] std::span<RoutedTarget *const> candidates(const core::ServiceId &service,
                                                            const core::ModelId &model);

    // The same for a request that only targets in one of the regions may serve. The subset is
    // chosen among these targets, so that it is empty only if none of them is READY. The regions
    // are in ascending order, each once.
    [[nodiscard]] std::span<RoutedTarget *const> candidatesIn(const core::ServiceId &service,
                                                              const core::ModelId &model,
                                                              std::span<const std::string> regions);

    // Returns the region of the target's data centre; empty if it is in none.
    [[nodiscard]] std::string_view regionOf(const proto::TargetRecord &record) const;

    // Returns the service that the target's kind serves; empty if none does.
    [[nodiscard]] std::string_view serviceOf(const proto::TargetRecord &record) const;

    // Tells whether the target is READY, in a data centre that is not evacuated, and serves the
    // model, which may be empty as in candidates().
    [[nodiscard]] bool serves(const proto::TargetRecord &record,
                              const core::ServiceId &service,
                              const core::ModelId &model) const;

    // Returns all targets by id, including those in state LEAVING or GONE.
    [[nodiscard]] const absl::flat_hash_map<std::string, std::unique_ptr<RoutedTarget>> &
    allTargets() const
    {
        return this->targets;
    }

private:
    struct Key {
        std::string service;
        std::string model;
        std::vector<std::string> regions{}; // Of its targets; empty: of all regions and of none.
        // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the zero in <=> for a pointer.
        friend auto operator<=>(const Key &, const Key &) = default;

        template <typename H>
        friend H AbslHashValue(H state, const Key &key)
        {
            return H::combine(std::move(state), key.service, key.model, key.regions);
        }
    };
    struct Pool {
        TargetSubset subset;
        std::vector<RoutedTarget *> members;
    };

    [[nodiscard]] std::span<RoutedTarget *const> candidatesOf(const Key &key);
    [[nodiscard]] std::vector<Key> keysOf(const proto::TargetRecord &record) const;
    // Groups all targets by the list of regions too, unless they are.
    void addRegionList(const std::vector<std::string> &regions);
    void removeFromPools(const proto::TargetRecord &record);
    void addToPools(const proto::TargetRecord &record);
    // Puts all targets into their pools anew.
    void regroup();

    core::InstanceId self;
    const RoutingOptions *options;
    absl::flat_hash_map<std::string, std::string> serviceOfKind;
    absl::flat_hash_map<std::string, std::unique_ptr<RoutedTarget>> targets;
    absl::flat_hash_map<Key, Pool> pools;
    // The lists of regions by which requests were restricted, which have pools of their own.
    absl::btree_set<std::vector<std::string>> regionLists;
    absl::flat_hash_set<std::string> evacuated; // Data centres.
    absl::flat_hash_map<Key, size_t> evacuatedCounts; // READY targets, by the pool that lacks them.
};

} // namespace samphirebridge::routing
