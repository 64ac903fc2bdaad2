#include "samphirebridge/membership/crashdirectory.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace std::chrono_literals;
using membership::CrashDirectory;

TEST_CASE("a crash report is told to every peer once and clearing wins")
{
    const std::vector<core::InstanceId> peers{core::InstanceId("b"), core::InstanceId("c")};
    CrashDirectory here(core::InstanceId("a"), {});
    proto::CrashReport report;
    report.set_fingerprint(std::string(16, 'f'));
    report.set_target("t");
    report.set_target_incarnation(1);
    const std::vector reports{report};
    const auto outgoing = here.report(reports, peers, {});
    REQUIRE(outgoing.size() == 2);
    CHECK(here.report(reports, peers, {}).empty());

    CrashDirectory there(core::InstanceId("b"), {});
    std::vector<membership::Outgoing> toldOn;
    CHECK(there.merge(outgoing[0].update, peers, {}, toldOn).size() == 1);
    CHECK(there.merge(outgoing[0].update, peers, {}, toldOn).empty());
    CHECK(toldOn.empty());
    report.set_cleared(true);
    const auto cleared = here.report(std::vector{report}, peers, {});
    CHECK(there.merge(cleared.at(0).update, peers, {}, toldOn).size() == 1);
    CHECK(there.merge(outgoing[0].update, peers, {}, toldOn).empty());
    CHECK(there.all().crashes(0).cleared());
    there.tick(core::TimePoint(2h));
    CHECK(there.all().crashes_size() == 0);
}
