// Tests the collection of one request's log lines from the logs of two instances.
#include "samphirebridge/samphirectl/requesttrail.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace samphirebridge::samphirectl;

namespace
{

// A streamed request that broke off at target t1 and continued at t2, in the logs of two instances.
// The lines of the second log have the prefix of a log collector.
constexpr const char *EntryLog = R"(
time=2026-12-04T10:00:00.000Z instance=a event=started http="0.0.0.0:80"
time=2026-12-04T10:00:51.000Z instance=a event=leader_changed leader="c" term="4"
time=2026-12-04T10:00:52.100Z instance=a event=target_chosen request="r1" detail="target=t1 attempt=1"
time=2026-12-04T10:00:52.200Z instance=a event=target_chosen request="r2" detail="target=t9 attempt=1"
time=2026-12-04T10:00:53.000Z instance=a event=attempt_failed request="r1" detail="target=t1 reason=connection_broken \"reset\""
time=2026-12-04T10:00:53.001Z instance=a event=target_chosen request="r1" detail="target=t2 attempt=2"
time=2026-12-04T10:00:54.500Z instance=a event=answered request="r1" detail="target=t2 attempts=2"
time=2026-12-04T10:00:59.000Z instance=a event=leader_changed leader="d" term="5"
panic: not a log line
)";
constexpr const char *OtherLog = R"(
17.2 other | time=2026-12-04T10:00:52.900Z instance=b event=target_changed target="t1" state="gone"
17.3 other | time=2026-12-04T10:00:52.950Z instance=b event=target_changed target="t9" state="gone"
17.4 other | time=2026-12-04T10:00:53.100Z instance=b event=leader_changed leader="c" term="4"
)";

RequestTrail readBothLogs(const std::string &request)
{
    RequestTrail trail(request);
    // The entry instance's log is read last: the order of the logs must not matter.
    std::istringstream other{std::string(OtherLog)};
    trail.readLog(other);
    std::istringstream entry{std::string(EntryLog)};
    trail.readLog(entry);
    return trail;
}

} // namespace

TEST_CASE("a request's lines are sorted by time with the events of its instances and targets")
{
    const RequestTrail trail = readBothLogs("r1");
    REQUIRE(trail.hasRequestLines());
    std::vector<std::string> events;
    for (const LogLine &line : trail.trail()) {
        events.push_back(line.instance + " " + line.event);
    }
    CHECK(events
          == std::vector<std::string>{"a leader_changed",
                                      "a target_chosen",
                                      "b target_changed",
                                      "a attempt_failed",
                                      "a target_chosen",
                                      "a answered"});
}

TEST_CASE("the text marks the request's own lines and omits the request id")
{
    const std::string text = trailText(trailObject(readBothLogs("r1").trail()));
    CHECK(text.find("10:00:52.900   b target_changed state=gone target=t1\n") != std::string::npos);
    CHECK(text.find("10:00:53.000 * a attempt_failed detail=target=t1 reason=connection_broken "
                    "\"reset\"\n")
          != std::string::npos);
    CHECK(text.find("r1") == std::string::npos);
}

TEST_CASE("lines that are not log lines are counted and skipped")
{
    const RequestTrail trail = readBothLogs("r3");
    CHECK_FALSE(trail.hasRequestLines());
    CHECK(trail.trail().empty());
    CHECK(trail.linesRead() == 14);
    CHECK(trail.linesParsed() == 11);
}

TEST_CASE("a truncated line, or one without time or event, is not a log line")
{
    CHECK(parseLogLine("time=2026-12-04T10:00:00.000Z instance=a event=e x=\"y\""));
    CHECK_FALSE(parseLogLine("time=2026-12-04T10:00:00.000Z instance=a event=e x=\"y"));
    CHECK_FALSE(parseLogLine("time=2026-12-04T10:00:00.000Z instance=a"));
    CHECK_FALSE(parseLogLine("time=yesterday instance=a event=e"));
    CHECK_FALSE(parseLogLine("time=2026-12-04T10:00:00.000Z instance=a event=e stray"));
    CHECK_FALSE(parseLogLine(""));
}
