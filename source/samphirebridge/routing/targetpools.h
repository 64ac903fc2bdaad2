// The targets that serve each model of each service, and those of them that this instance uses.
#pragma once

#include "manifest.pb.h"
#include "samphirebridge/routing/routedtarget.h"
#include "samphirebridge/routing/targetsubset.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace samphirebridge::routing
{

class TargetPools
{
public:
    TargetPools(core::InstanceId self, const RoutingOptions &options);

    // Sets which kind serves which service. All targets are placed anew.
    void setKinds(std::span<const proto::TargetKind> kinds);

    // Takes the record of a target; one that is not READY leaves its pools. The target object stays
    // where it is until forget.
    RoutedTarget &put(const proto::TargetRecord &record);

    // Drops a target that is gone.
    void forget(const std::string &target);

    // Returns the target, or nullptr.
    [[nodiscard]] RoutedTarget *find(std::string_view target) const;

    // Returns the targets that this instance uses for the model; empty if nothing serves it.
    [[nodiscard]] std::span<RoutedTarget *const> candidates(const core::ServiceId &service,
                                                            const core::ModelId &model);

    // Returns all targets, those leaving and gone included.
    [[nodiscard]] const absl::flat_hash_map<std::string, std::unique_ptr<RoutedTarget>> &all() const
    {
        return this->targets;
    }

private:
    struct Key {
        std::string service;
        std::string model;
        // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the zero in <=> for a pointer.
        friend auto operator<=>(const Key &, const Key &) = default;

        template <typename H>
        friend H AbslHashValue(H state, const Key &key)
        {
            return H::combine(std::move(state), key.service, key.model);
        }
    };
    struct Pool {
        TargetSubset subset;
        std::vector<RoutedTarget *> members;
    };

    [[nodiscard]] std::vector<Key> keysOf(const proto::TargetRecord &record) const;
    void withdraw(const proto::TargetRecord &record);
    void place(const proto::TargetRecord &record);

    core::InstanceId self;
    const RoutingOptions *options;
    absl::flat_hash_map<std::string, std::string> serviceOfKind;
    absl::flat_hash_map<std::string, std::unique_ptr<RoutedTarget>> targets;
    absl::flat_hash_map<Key, Pool> pools;
};

} // namespace samphirebridge::routing
