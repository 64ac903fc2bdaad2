// Selects the subset of a model's targets that one instance uses. With thousands of targets, a
// small subset keeps the connections of each instance few, and means that it sends to each of its
// targets often enough to estimate their load from its own requests.
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

    // Adds a target that serves the model, or updates its data centre.
    void add(const std::string &target, std::string_view dataCentre);

    // Removes a target that is LEAVING or GONE, or no longer serves the model.
    void remove(const std::string &target);

    // Brings chosen up to date by rendezvous hashing. Returns whether targets were added or removed
    // since the last call, even if the same ids are chosen: an id that was removed and added again
    // belongs to another object.
    bool refresh();

    // Returns the ids of the chosen targets in ascending order, as of the last refresh.
    [[nodiscard]] const std::vector<std::string> &chosen() const
    {
        return this->members;
    }

    // Returns the number of all targets that serve the model.
    [[nodiscard]] size_t targetCount() const
    {
        return this->weights.size();
    }

private:
    struct Weight {
        uint64_t weight = 0;
        bool local = false;
    };
    struct Ranked {
        uint64_t weight = 0;
        const std::string *id = nullptr;
    };

    static void
    takeHeaviest(std::vector<Ranked> &ranked, size_t count, std::vector<std::string> &output);

    const SubsetOptions *options;
    uint64_t key;
    bool stale = false;
    absl::btree_map<std::string, Weight> weights;
    std::vector<std::string> members;
};

} // namespace samphirebridge::routing
