// Structured log lines on standard output, one for each decision and each change of belief.
#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

namespace samphirebridge::telemetry
{

// One named value of a log line.
struct Field {
    std::string_view name;
    std::string value;
};

// What is left out first when there is too much to write.
enum class Importance : uint8_t {
    Ordinary, // A step of a request that goes well.
    Failure, // A step of a request that fails, is refused or is tried again.
    Change, // What the process believes has changed.
};

// How much is written. The bounds hold the cost of logging below that of serving: a line takes some
// ten microseconds of processor time.
struct LoggerLimits {
    // Lines of ordinary importance in one second, and of ordinary importance and failures together.
    size_t ordinaryLinesPerSecond = 150;
    size_t requestLinesPerSecond = 300;
    // Bytes that wait for a reader that does not keep up; further lines are left out.
    size_t queuedBytes = size_t{1} << 20U;
};

// Writes lines of the form `time=… instance=… event=… name="value"`. Thread-safe; no call waits for
// the reader of the output. Lines left out are counted in a line of their own.
class Logger
{
public:
    explicit Logger(std::string_view instance, LoggerLimits limits = {});
    Logger(const Logger &) = delete;
    Logger &operator=(const Logger &) = delete;
    // Writes what is queued, unless the reader has stopped.
    ~Logger();

    // Writes one line. The event is a snake_case name of what changed.
    void change(std::string_view event, std::initializer_list<Field> fields = {});

    // Writes one line about a request.
    void request(Importance importance,
                 std::string_view event,
                 std::initializer_list<Field> fields = {});

    // Lines left out since the start.
    [[nodiscard]] uint64_t leftOut() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
    std::thread writer;
};

} // namespace samphirebridge::telemetry
