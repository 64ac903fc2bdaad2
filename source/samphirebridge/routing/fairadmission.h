// Admission control under load. Limits the expected wait into which a request is admitted: lower
// for long requests, for a lower priority, and for organisations above their weighted share of
// recent use. Nothing is queued here; a refusal is immediate.
#pragma once

#include "samphirebridge/core/ids.h"
#include "samphirebridge/core/time.h"
#include "samphirebridge/routing/routingoptions.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string>

namespace samphirebridge::routing
{

// The properties of a request that decide on its admission.
struct AdmissionRequest {
    core::OrganisationId organisation;
    int32_t priority = 0;
    uint32_t tokens = 0; // Prompt and expected output together.
};

class FairAdmission
{
public:
    explicit FairAdmission(const AdmissionOptions &options);

    // Sets an organisation's weight; 0 counts as 1.
    void setWeight(const core::OrganisationId &organisation, uint32_t weight);

    // Resets all weights to 1.
    void clearWeights();

    // Returns nothing if the request is admitted at this expected wait, else the time after which
    // the wait is expected to be short enough.
    [[nodiscard]] std::optional<core::Duration> retryAfterIfRefused(const AdmissionRequest &request,
                                                                    core::Duration expectedWait,
                                                                    core::TimePoint now) const;

    // Adds an admitted request's tokens to its organisation's recent use.
    void onAdmitted(const AdmissionRequest &request, core::TimePoint now);

    // Returns the longest expected wait at which the request is admitted while its organisation is
    // within its share.
    [[nodiscard]] core::Duration waitLimit(const AdmissionRequest &request) const;

    // Drops the records of organisations without recent use.
    void tick(core::TimePoint now);

private:
    struct Usage {
        double tokens = 0; // As of updatedAt; decays with usageHalfLife.
        core::TimePoint updatedAt;
    };

    [[nodiscard]] double weightOf(const core::OrganisationId &organisation) const;
    [[nodiscard]] double decayedTokens(const Usage &usage, core::TimePoint now) const;
    // Returns the organisation's share of recent use divided by its share of the weights of all
    // organisations with recent use; above 1 it uses more than its share.
    [[nodiscard]] double shareRatio(const core::OrganisationId &organisation,
                                    core::TimePoint now) const;

    const AdmissionOptions options;
    absl::flat_hash_map<core::OrganisationId, uint32_t> weights;
    absl::flat_hash_map<core::OrganisationId, Usage> usageByOrganisation;
};

} // namespace samphirebridge::routing
