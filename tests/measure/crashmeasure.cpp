// Measures what evidence of crashes costs in bytes, memory and processor time.
#include "samphirebridge/membership/crashdirectory.h"
#include "samphirebridge/routing/suspectlist.h"
#include "tests/measure/processusage.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <unistd.h>

#include <chrono>

using namespace samphirebridge;
using namespace samphirebridge::testing;

namespace
{

proto::CrashReport reportOf(size_t number)
{
    proto::CrashReport report;
    report.set_fingerprint(fmt::format("{:016}", number));
    report.set_target(fmt::format("i-{:010}", number / 36));
    report.set_target_incarnation(1'796'398'541'290);
    report.set_finding(proto::CONNECTION_BROKEN);
    report.set_age_ms(50);
    return report;
}

} // namespace

TEST_CASE("crash reports")
{
    const membership::MembershipOptions options;
    const core::TimePoint now(std::chrono::seconds(1));
    const int64_t before = readProcessUsage(::getpid()).residentKilobytes;
    membership::CrashDirectory directory(core::InstanceId("a"), options);
    routing::SuspectList suspects{{}};
    proto::MembershipUpdate update;
    for (size_t number = 0; number < options.requestReports.limit; ++number) {
        const proto::CrashReport report = reportOf(number);
        directory.addLocalReports({&report, 1}, {}, now);
        suspects.onReports({&report, 1}, now);
        if (number < 100) {
            *update.add_suspicions() = report;
        }
    }
    const int64_t after = readProcessUsage(::getpid()).residentKilobytes;
    const auto begin = std::chrono::steady_clock::now();
    proto::MembershipDigest digest;
    directory.addChecksums(digest);
    const auto taken = std::chrono::steady_clock::now() - begin;
    fmt::print("{} bytes a report; {} reports kept: {} KB resident in directory and list together, "
               "{} us for the checksums of a digest\n",
               update.ByteSizeLong() / 100,
               directory.size(),
               after - before,
               std::chrono::duration_cast<std::chrono::microseconds>(taken).count());
}
