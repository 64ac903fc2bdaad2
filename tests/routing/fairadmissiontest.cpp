#include "samphirebridge/routing/fairadmission.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace std::chrono_literals;
using routing::AdmissionRequest;
using routing::FairAdmission;

namespace
{

const core::OrganisationId Big("big");
const core::OrganisationId Small("small");
const core::TimePoint Now;

routing::AdmissionOptions optionsWithWait(core::Duration longestWait)
{
    routing::AdmissionOptions options;
    options.longestWait = longestWait;
    return options;
}

AdmissionRequest shortRequest(const core::OrganisationId &organisation, int32_t priority = 0)
{
    return {organisation, priority, 200};
}

} // namespace

TEST_CASE("a request whose expected wait exceeds the limit is refused until the wait is down to it")
{
    const FairAdmission admission(optionsWithWait(10s));
    CHECK_FALSE(admission.retryAfterIfRefused(shortRequest(Big), 10s, Now));
    CHECK(admission.retryAfterIfRefused(shortRequest(Big), 14s, Now) == core::Duration(4s));
}

TEST_CASE("the wait limit is lower for long requests and for lower priorities")
{
    const FairAdmission admission(optionsWithWait(10s));
    const AdmissionRequest longRequest{Big, 0, 5000};
    CHECK(admission.retryAfterIfRefused(longRequest, 6s, Now));
    CHECK_FALSE(admission.retryAfterIfRefused(shortRequest(Big), 6s, Now));
    CHECK(admission.retryAfterIfRefused(shortRequest(Big, 1), 6s, Now));
    CHECK_FALSE(admission.retryAfterIfRefused(shortRequest(Big, -1), 15s, Now));
}

TEST_CASE("under load only organisations above their weighted share are refused")
{
    FairAdmission admission(optionsWithWait(10s));
    for (int request = 0; request < 90; ++request) {
        admission.onAdmitted(shortRequest(Big), Now);
    }
    for (int request = 0; request < 10; ++request) {
        admission.onAdmitted(shortRequest(Small), Now);
    }
    CHECK(admission.retryAfterIfRefused(shortRequest(Big), 8s, Now));
    CHECK_FALSE(admission.retryAfterIfRefused(shortRequest(Small), 8s, Now));
    CHECK_FALSE(admission.retryAfterIfRefused(shortRequest(Big), 1s, Now));
    admission.setWeight(Big, 9);
    CHECK_FALSE(admission.retryAfterIfRefused(shortRequest(Big), 8s, Now));
}

TEST_CASE("an organisation without competitors may use the whole capacity, and old use decays")
{
    FairAdmission admission(optionsWithWait(10s));
    for (int request = 0; request < 1000; ++request) {
        admission.onAdmitted(shortRequest(Big), Now);
    }
    CHECK_FALSE(admission.retryAfterIfRefused(shortRequest(Big), 9s, Now));
    admission.onAdmitted(shortRequest(Small), Now + 5min);
    CHECK_FALSE(admission.retryAfterIfRefused(shortRequest(Big), 9s, Now + 5min));
}
