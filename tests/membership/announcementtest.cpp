#include "samphirebridge/membership/announcement.h"
#include "samphirebridge/core/errors.h"
#include "tests/membership/simulatedfleet.h"

#include <catch2/catch.hpp>

#include <functional>
#include <limits>

using namespace samphirebridge;

TEST_CASE("an announcement with an invalid field is refused with InvalidAnnouncement")
{
    const std::string nameWithSpace = "a b";
    using Change = std::function<void(proto::TargetRecord &)>;
    const std::vector<Change> invalidChanges{
        [&](auto &record) { record.clear_id(); },
        [&](auto &record) { record.set_id(nameWithSpace); },
        [&](auto &record) { record.clear_kind(); },
        [&](auto &record) { record.set_data_centre(nameWithSpace); },
        [&](auto &record) { record.set_incarnation(0); },
        [&](auto &record) { record.set_address("host"); },
        [&](auto &record) { record.set_address("host:0"); },
        [&](auto &record) { record.set_address("host:70000"); },
        [&](auto &record) { record.set_address("a/b:80"); },
        [&](auto &record) { record.set_address("host:+80"); },
        [&](auto &record) { record.set_state(proto::GONE); },
        [&](auto &record) { record.set_state(proto::TARGET_STATE_UNSPECIFIED); },
        [&](auto &record) { record.add_models(nameWithSpace); },
        [&](auto &record) { record.mutable_load()->set_running(2'000'000); },
        [&](auto &record) { record.mutable_load()->set_tokens_per_s(-1); },
        [&](auto &record) {
            record.mutable_load()->set_tokens_per_s(std::numeric_limits<double>::quiet_NaN());
        },
    };
    CHECK(membership::checkTarget(makeTarget("t", 1)).ok());
    for (const Change &invalidate : invalidChanges) {
        proto::TargetRecord record = makeTarget("t", 1);
        invalidate(record);
        CHECK(core::errorCodeOf(membership::checkTarget(record))
              == core::ErrorCode::InvalidAnnouncement);
    }
}

TEST_CASE("IPv6 addresses in brackets are accepted")
{
    proto::TargetRecord record = makeTarget("t", 1);
    record.set_address("[2001:db8::1]:9001");
    CHECK(membership::checkTarget(record).ok());
}
