// What a crash report says about its request.
#pragma once

#include "membership.pb.h"

namespace samphirebridge::membership
{

// Returns the report's finding. A process that knows no findings sends reports without one.
inline proto::CrashFinding findingOf(const proto::CrashReport &report)
{
    if (report.finding() != proto::CRASH_FINDING_UNSPECIFIED) {
        return report.finding();
    }
    return report.cleared() ? proto::REQUEST_CLEARED : proto::TARGET_CRASHED;
}

// Tells whether the finding counts against the request.
inline bool isIncriminating(proto::CrashFinding finding)
{
    return finding == proto::CONNECTION_BROKEN || finding == proto::TARGET_CRASHED;
}

} // namespace samphirebridge::membership
