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

routing::AdmissionOptions optionsOf(core::Duration longestWait)
{
    routing::AdmissionOptions options;
    options.longestWait = longestWait;
    return options;
}

AdmissionRequest shortOf(const core::OrganisationId &organisation, int32_t priority = 0)
{
    return {organisation, priority, 200};
}

} // namespace

TEST_CASE("a wait above the limit is refused with the time that it takes to fall below it")
{
    const FairAdmission admission(optionsOf(10s));
    CHECK_FALSE(admission.refuse(shortOf(Big), 10s, Now));
    CHECK(admission.refuse(shortOf(Big), 14s, Now) == core::Duration(4s));
}

TEST_CASE("long requests are refused earlier than short ones, and better priorities later")
{
    const FairAdmission admission(optionsOf(10s));
    const AdmissionRequest letter{Big, 0, 5000};
    CHECK(admission.refuse(letter, 6s, Now));
    CHECK_FALSE(admission.refuse(shortOf(Big), 6s, Now));
    CHECK(admission.refuse(shortOf(Big, 1), 6s, Now));
    CHECK_FALSE(admission.refuse(shortOf(Big, -1), 15s, Now));
}

TEST_CASE("under load an organisation above its weighted share is refused first")
{
    FairAdmission admission(optionsOf(10s));
    for (int request = 0; request < 90; ++request) {
        admission.onAdmitted(shortOf(Big), Now);
    }
    for (int request = 0; request < 10; ++request) {
        admission.onAdmitted(shortOf(Small), Now);
    }
    CHECK(admission.refuse(shortOf(Big), 8s, Now));
    CHECK_FALSE(admission.refuse(shortOf(Small), 8s, Now));
    CHECK_FALSE(admission.refuse(shortOf(Big), 1s, Now));
    admission.setWeight(Big, 9);
    CHECK_FALSE(admission.refuse(shortOf(Big), 8s, Now));
}

TEST_CASE("an organisation that is alone has the whole capacity, and old use is forgotten")
{
    FairAdmission admission(optionsOf(10s));
    for (int request = 0; request < 1000; ++request) {
        admission.onAdmitted(shortOf(Big), Now);
    }
    CHECK_FALSE(admission.refuse(shortOf(Big), 9s, Now));
    admission.onAdmitted(shortOf(Small), Now + 5min);
    CHECK_FALSE(admission.refuse(shortOf(Big), 9s, Now + 5min));
}
