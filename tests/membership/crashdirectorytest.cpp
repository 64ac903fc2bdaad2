#include "samphirebridge/membership/crashdirectory.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <vector>

using namespace samphirebridge;
using namespace std::chrono_literals;
using membership::CrashDirectory;

namespace
{

const std::vector<core::InstanceId> Peers{core::InstanceId("b")};

// Returns a report about a request and a target of that number.
proto::CrashReport reportOf(int number, proto::CrashFinding finding)
{
    proto::CrashReport report;
    report.set_fingerprint(fmt::format("{:016}", number));
    report.set_target("t");
    report.set_target_incarnation(1);
    report.set_finding(finding);
    return report;
}

} // namespace

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
    const auto changed = remote.merge(cleared.at(0).update, peers, {}, relayed);
    REQUIRE(changed.size() == 1);
    CHECK(changed[0].cleared());
    CHECK(remote.merge(outgoing[0].update, peers, {}, relayed).empty());
    proto::MembershipDigest ofEmpty;
    CrashDirectory(core::InstanceId("c"), {}).addChecksums(ofEmpty);
    CHECK(remote.size() == 1);
    CHECK_FALSE(remote.answer(ofEmpty, {}));
    remote.tick(core::TimePoint(2h));
    CHECK(remote.size() == 0);
}

// Guards against an instance that is never told what happened before its start, or while it was out
// of contact.
TEST_CASE("the answer to a digest brings all crash reports that the asking instance lacks")
{
    constexpr int Reports = 1'000;
    CrashDirectory informed(core::InstanceId("a"), {});
    CrashDirectory started(core::InstanceId("b"), {});
    for (int index = 0; index < Reports; ++index) {
        const auto finding = index % 2 == 0 ? proto::CONNECTION_BROKEN : proto::TARGET_CRASHED;
        informed.addLocalReports(std::vector{reportOf(index, finding)}, {}, core::TimePoint(1s));
    }
    std::vector<membership::Outgoing> relayed;
    int answers = 0;
    while (started.size() < Reports
           && answers < 2 * Reports / CrashDirectory::MaximumReportsPerAnswer) {
        proto::MembershipDigest digest;
        started.addChecksums(digest);
        const auto answer = informed.answer(digest, core::TimePoint(2s));
        REQUIRE(answer);
        started.merge(*answer, {}, core::TimePoint(2s), relayed);
        ++answers;
    }
    CHECK(started.size() == Reports);
    proto::MembershipDigest digest;
    started.addChecksums(digest);
    CHECK_FALSE(informed.answer(digest, core::TimePoint(2s)));
}

// Guards against a late report that takes back what is known better.
TEST_CASE("of two findings about one request and one target the higher one is kept in any order")
{
    const std::array findings{proto::CONNECTION_BROKEN,
                              proto::TARGET_ANSWERED,
                              proto::TARGET_CRASHED,
                              proto::REQUEST_CLEARED};
    for (const proto::CrashFinding first : findings) {
        for (const proto::CrashFinding second : findings) {
            CrashDirectory directory(core::InstanceId("a"), {});
            CHECK(directory.addLocalReports(std::vector{reportOf(1, first)}, Peers, {}).size()
                  == 1);
            const auto sent
                = directory.addLocalReports(std::vector{reportOf(1, second)}, Peers, {});
            CHECK(sent.size() == (second > first ? 1 : 0));
        }
    }
}

// Guards against reports that instances hand to each other for ever.
TEST_CASE("a crash report keeps its age on its way and expires everywhere at the same time")
{
    CrashDirectory first(core::InstanceId("a"), {});
    CrashDirectory second(core::InstanceId("b"), {});
    first.addLocalReports(std::vector{reportOf(1, proto::TARGET_CRASHED)}, {}, core::TimePoint(0s));
    proto::MembershipDigest digest;
    second.addChecksums(digest);
    const auto answer = first.answer(digest, core::TimePoint(50min));
    REQUIRE(answer);
    std::vector<membership::Outgoing> relayed;
    CHECK(second.merge(*answer, {}, core::TimePoint(50min), relayed).size() == 1);
    second.tick(core::TimePoint(61min));
    CHECK(second.size() == 0);
    CHECK_FALSE(first.answer(digest, core::TimePoint(61min)));
}

// Guards against reports of cleared requests that leave no room for those of harmful ones.
TEST_CASE("crash reports that speak against no request make room for new ones")
{
    membership::MembershipOptions options;
    options.requestReports.limit = 100;
    CrashDirectory directory(core::InstanceId("a"), options);
    std::vector<proto::CrashReport> reports(100);
    int number = 0;
    std::generate(reports.begin(), reports.end(), [&] {
        const bool cleared = number >= 10;
        return reportOf(number++, cleared ? proto::REQUEST_CLEARED : proto::CONNECTION_BROKEN);
    });
    directory.addLocalReports(reports, {}, core::TimePoint(1s));
    directory.tick(core::TimePoint(2s));
    CHECK(directory.size() == 100);
    directory.tick(core::TimePoint(30s));
    CHECK(directory.size() == 10);
}

// Guards against a flood of messages and unbounded memory when very many targets end at once.
TEST_CASE("crash reports beyond the limits are neither pushed nor stored")
{
    membership::MembershipOptions options;
    options.requestReports.limit = 100;
    options.requestReports.pushBurst = 10;
    options.requestReports.pushesPerSecond = 5;
    CrashDirectory directory(core::InstanceId("a"), options);
    std::vector<proto::CrashReport> reports(200);
    int number = 0;
    std::generate(reports.begin(), reports.end(), [&] {
        return reportOf(number++, proto::CONNECTION_BROKEN);
    });
    const auto sent = directory.addLocalReports(reports, Peers, core::TimePoint(1s));
    CHECK(sent.at(0).update.suspicions_size() == 10);
    CHECK(directory.size() == 100);
    CHECK(directory.droppedReports() == 100);
    CHECK(directory.withheldReports() == 90);
    const auto later = directory.addLocalReports(
        std::vector(10, reportOf(0, proto::TARGET_CRASHED)), Peers, core::TimePoint(2s));
    CHECK(later.at(0).update.crashes_size() == 1);
}

// Guards against evidence about a prompt part that is lost among that about requests, or forgotten
// while requests with the part still come.
TEST_CASE("crash reports about prompt parts go first, within limits of their own, and last a day")
{
    membership::MembershipOptions options;
    options.requestReports.pushBurst = 10;
    options.partReports.limit = 4;
    CrashDirectory directory(core::InstanceId("a"), options);
    std::vector<proto::CrashReport> reports(303);
    int count = 0;
    std::generate(reports.begin(), reports.end(), [&count] {
        proto::CrashReport report = reportOf(count++, proto::TARGET_CRASHED);
        if (count > 300) {
            report.set_subject(proto::PROMPT_PART);
            report.set_request(count - 1);
        }
        return report;
    });
    const auto sent = directory.addLocalReports(reports, Peers, core::TimePoint(1s));
    REQUIRE(sent.at(0).update.crashes_size() == 13);
    CHECK(sent.at(0).update.crashes(2).subject() == proto::PROMPT_PART);
    CHECK(sent.at(0).update.crashes(2).request() == 302);

    proto::MembershipDigest ofEmpty;
    CrashDirectory(core::InstanceId("b"), {}).addChecksums(ofEmpty);
    const auto answer = directory.answer(ofEmpty, core::TimePoint(1s));
    REQUIRE(answer);
    CHECK(answer->crashes_size() == CrashDirectory::MaximumReportsPerAnswer);
    CHECK(answer->crashes(0).subject() == proto::PROMPT_PART);
    CHECK(directory.partReports(core::TimePoint(1s)).size() == 3);

    // Crowded: the three parts have one report each.
    directory.tick(core::TimePoint(10s));
    CHECK(directory.partReports(core::TimePoint(10s)).size() == 3);
    auto again = reports.back();
    again.set_target("another");
    directory.addLocalReports(std::vector{again}, Peers, core::TimePoint(10s));
    directory.tick(core::TimePoint(22s));
    CHECK(directory.partReports(core::TimePoint(22s)).size() == 2);
    directory.tick(core::TimePoint(23h));
    CHECK(directory.size() == 2);
    directory.tick(core::TimePoint(25h));
    CHECK(directory.size() == 0);
}
