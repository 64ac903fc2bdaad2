#include "samphirebridge/membership/crashdirectory.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace std::chrono_literals;
using membership::CrashDirectory;

TEST_CASE(
    "a crash report is sent to every peer once, and a cleared report replaces one that is not")
{
    const std::vector<core::InstanceId> peers{core::InstanceId("b"), core::InstanceId("c")};
    CrashDirectory local(core::InstanceId("a"), {});
    proto::CrashReport report;
    report.set_fingerprint(std::string(16, 'f'));
    report.set_target("t");
    report.set_target_incarnation(1);
    const std::vector reports{report};
    const auto outgoing = local.addLocalReports(reports, peers, {});
    REQUIRE(outgoing.size() == 2);
    CHECK(local.addLocalReports(reports, peers, {}).empty());

    CrashDirectory remote(core::InstanceId("b"), {});
    std::vector<membership::Outgoing> relayed;
    CHECK(remote.merge(outgoing[0].update, peers, {}, relayed).size() == 1);
    CHECK(remote.merge(outgoing[0].update, peers, {}, relayed).empty());
    CHECK(relayed.empty());
    report.set_cleared(true);
    const auto cleared = local.addLocalReports(std::vector{report}, peers, {});
    CHECK(remote.merge(cleared.at(0).update, peers, {}, relayed).size() == 1);
    CHECK(remote.merge(outgoing[0].update, peers, {}, relayed).empty());
    CHECK(remote.allReports().crashes(0).cleared());
    remote.tick(core::TimePoint(2h));
    CHECK(remote.allReports().crashes_size() == 0);
}
