// Writes structured log lines to standard output: one for each decision on a request and for each
// change of the process's state or of its view of the fleet.
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

// Decides which lines are left out first when there are too many.
enum class Importance : uint8_t {
    Ordinary, // A step of a request that goes well.
    Failure, // A step of a request that fails, is refused or is retried.
    Change, // A change of the process's state or of its view of the fleet; has no rate limit.
};

// The limits of what is written. They keep the cost of logging below that of serving: a line takes
// about ten microseconds of processor time.
struct LoggerLimits {
    // Lines in one second: of ordinary importance, and of ordinary importance and failures
    // together.
    size_t ordinaryLinesPerSecond = 150;
    size_t requestLinesPerSecond = 300;
    // Bytes queued for a slow reader of the output; lines beyond them are left out.
    size_t queuedBytes = size_t{1} << 20U;
};

// Writes lines of the form `time=… instance=… event=… name="value"`. Thread-safe. A thread of its
// own does the writing, so that no call waits for the reader of the output. Lines that are left out
// are counted, and a later line gives their number for each event.
class Logger
{
public:
    explicit Logger(std::string_view instance, LoggerLimits limits = {});
    Logger(const Logger &) = delete;
    Logger &operator=(const Logger &) = delete;
    // Writes the queued lines, but gives up after a short time if the reader of the output has
    // stopped.
    ~Logger();

    // Queues a line about a change. The event is a snake_case name of what changed.
    void change(std::string_view event, std::initializer_list<Field> fields = {});

    // Queues a line about a request, unless the limit of its importance is reached.
    void request(Importance importance,
                 std::string_view event,
                 std::initializer_list<Field> fields = {});

    // Returns the number of lines left out since the start.
    [[nodiscard]] uint64_t leftOut() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
    std::thread writer;
};

} // namespace samphirebridge::telemetry
