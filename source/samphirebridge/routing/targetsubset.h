// Which of a model's targets one instance routes over, so that at thousands of targets each
// instance keeps few connections and its load estimates rest on sends of its own.
#pragma once

#include "samphirebridge/core/ids.h"
#include "samphirebridge/routing/routingoptions.h"

#include <absl/container/btree_map.h>

#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::routing
{

class TargetSubset
{
public:
    TargetSubset(const core::InstanceId &self,
                 std::string_view model,
                 const SubsetOptions &options);

    // A target that serves the model appeared or moved. Returns whether the subset changed.
    bool add(const std::string &target, std::string_view dataCentre);

    // A target is leaving, gone or no longer serves the model. Returns whether the subset changed.
    bool remove(const std::string &target);

    // The chosen targets, ordered by id.
    [[nodiscard]] const std::vector<std::string> &chosen() const
    {
        return this->members;
    }

    // All targets that serve the model.
    [[nodiscard]] size_t known() const
    {
        return this->weights.size();
    }

private:
    struct Weight {
        uint64_t weight = 0;
        bool local = false;
    };

    bool rebuild();

    const SubsetOptions *options;
    uint64_t key;
    absl::btree_map<std::string, Weight> weights;
    std::vector<std::string> members;
};

} // namespace samphirebridge::routing
