// Decides under load who still gets in: every organisation its weighted share, short requests and
// those of a better priority before long ones. Nothing is queued here; a refusal is immediate.
#pragma once

#include "samphirebridge/core/ids.h"
#include "samphirebridge/core/time.h"
#include "samphirebridge/routing/routingoptions.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string>

namespace samphirebridge::routing
{

// What a request asks for, as admission sees it.
struct AdmissionRequest {
    core::OrganisationId organisation;
    int32_t priority = 0;
    uint32_t tokens = 0; // Prompt and expected output.
};

class FairAdmission
{
public:
    explicit FairAdmission(const AdmissionOptions &options);

    // Sets an organisation's weight; 0 counts as 1.
    void setWeight(const core::OrganisationId &organisation, uint32_t weight);

    // Forgets all weights.
    void clearWeights();

    // Returns nothing if the request may go ahead with such an expected wait, else the time after
    // which the wait is expected to be short enough.
    [[nodiscard]] std::optional<core::Duration>
    refuse(const AdmissionRequest &request, core::Duration expectedWait, core::TimePoint now) const;

    // Counts an admitted request as its organisation's use.
    void onAdmitted(const AdmissionRequest &request, core::TimePoint now);

    // The longest wait that the request may be admitted into while its organisation is within its
    // share.
    [[nodiscard]] core::Duration waitLimit(const AdmissionRequest &request) const;

    // Forgets organisations without recent use.
    void tick(core::TimePoint now);

private:
    struct Use {
        double tokens = 0; // Decays with useHalfLife.
        core::TimePoint at;
    };

    [[nodiscard]] double weightOf(const core::OrganisationId &organisation) const;
    [[nodiscard]] double useOf(const Use &use, core::TimePoint now) const;
    // The organisation's part of recent use over its part of the weights of those in use.
    [[nodiscard]] double overShare(const core::OrganisationId &organisation,
                                   core::TimePoint now) const;

    const AdmissionOptions options;
    absl::flat_hash_map<core::OrganisationId, uint32_t> weights;
    absl::flat_hash_map<core::OrganisationId, Use> uses;
};

} // namespace samphirebridge::routing
