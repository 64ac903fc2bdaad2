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

    // A target that serves the model appeared or moved.
    void add(const std::string &target, std::string_view dataCentre);

    // A target is leaving, gone or no longer serves the model.
    void remove(const std::string &target);

    // Brings chosen up to date. Returns whether targets came or went since the last call, even if
    // the same ones are chosen: a name may stand for another object by now.
    bool refresh();

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
    struct Ranked {
        uint64_t weight = 0;
        const std::string *id = nullptr;
    };

    static void
    takeHeaviest(std::vector<Ranked> &ranked, size_t count, std::vector<std::string> &into);

    const SubsetOptions *options;
    uint64_t key;
    bool stale = false;
    absl::btree_map<std::string, Weight> weights;
    std::vector<std::string> members;
};

} // namespace samphirebridge::routing
