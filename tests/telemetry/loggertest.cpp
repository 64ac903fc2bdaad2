// Tests of the log lines that a process writes to its standard output.
#include "samphirebridge/telemetry/logger.h"

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <string>

using namespace samphirebridge;

namespace
{

// Redirects standard output into a pipe until text() is called or the object is destroyed.
class CapturedOutput
{
public:
    CapturedOutput()
    {
        std::fflush(stdout);
        REQUIRE(::pipe(this->ends.data()) == 0);
        this->original = ::dup(STDOUT_FILENO);
        ::dup2(this->ends[1], STDOUT_FILENO);
    }
    CapturedOutput(const CapturedOutput &) = delete;
    CapturedOutput &operator=(const CapturedOutput &) = delete;
    ~CapturedOutput()
    {
        this->restore();
        ::close(this->ends[0]);
    }

    // Ends the redirection and returns what was written. A test must write no more than the pipe
    // buffers.
    std::string text()
    {
        this->restore();
        std::string text;
        std::array<char, 4096> buffer{};
        ssize_t count = 0;
        while ((count = ::read(this->ends[0], buffer.data(), buffer.size())) > 0) {
            text.append(buffer.data(), static_cast<size_t>(count));
        }
        return text;
    }

private:
    void restore()
    {
        if (this->original < 0) {
            return;
        }
        ::dup2(this->original, STDOUT_FILENO);
        ::close(this->original);
        ::close(this->ends[1]);
        this->original = -1;
    }

    std::array<int, 2> ends{};
    int original = -1;
};

} // namespace

// Guards against lines that are left out of the log without a trace.
TEST_CASE("lines that are left out are counted by event")
{
    CapturedOutput output;
    {
        // With limits of 0 no line about a request is written, so that the result does not depend
        // on when a second of the rate limit begins.
        telemetry::Logger logger(
            "a", {.ordinaryLinesPerSecond = 0, .requestLinesPerSecond = 0, .queuedBytes = 4096});
        logger.request(telemetry::Importance::Ordinary, "answered");
        logger.request(telemetry::Importance::Failure, "refused");
        logger.request(telemetry::Importance::Ordinary, "answered");
        logger.change("leader_changed");
        logger.change("serving");
        CHECK(logger.leftOut() == 3);
    }
    const std::string text = output.text();
    CHECK(text.find("event=log_lines_left_out count=\"3\" events=\"answered=2 refused=1\"")
          != std::string::npos);
    CHECK(text.find("log_lines_left_out") == text.rfind("log_lines_left_out"));
    CHECK(text.find("event=leader_changed") != std::string::npos);
}
