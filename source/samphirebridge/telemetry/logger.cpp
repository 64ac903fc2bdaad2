#include "samphirebridge/telemetry/logger.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <iterator>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace samphirebridge::telemetry
{

namespace
{

using Clock = std::chrono::steady_clock;

// How long the destructor waits for the queued lines to be written.
constexpr std::chrono::milliseconds FlushTimeout{300};

std::string timestamp()
{
    const auto now = std::chrono::system_clock::now();
    const auto sinceEpoch = now.time_since_epoch();
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                       fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                       millis % 1000);
}

void appendQuoted(std::string &line, std::string_view value)
{
    line += '"';
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            line += '\\';
        }
        line += static_cast<unsigned char>(character) < 0x20 ? ' ' : character;
    }
    line += '"';
}

} // namespace

struct Logger::Impl {
    Impl(std::string_view instanceId, LoggerLimits loggerLimits)
        : instance(instanceId)
        , limits(loggerLimits)
    {
    }

    // Returns whether the rate limits allow one more line of this importance in the current second,
    // and counts the line if so. Changes are always allowed.
    bool admit(Importance importance)
    {
        const auto second
            = std::chrono::duration_cast<std::chrono::seconds>(Clock::now().time_since_epoch());
        if (second != this->countedSecond) {
            this->countedSecond = second;
            this->ordinaryLines = 0;
            this->requestLines = 0;
        }
        if (importance == Importance::Change) {
            return true;
        }
        if (this->requestLines >= this->limits.requestLinesPerSecond) {
            return false;
        }
        if (importance == Importance::Ordinary) {
            if (this->ordinaryLines >= this->limits.ordinaryLinesPerSecond) {
                return false;
            }
            ++this->ordinaryLines;
        }
        ++this->requestLines;
        return true;
    }

    void add(Importance importance, std::string_view event, std::initializer_list<Field> fields)
    {
        const std::lock_guard lock(this->mutex);
        if (!this->admit(importance) || this->queue.size() >= this->limits.queuedBytes) {
            ++this->leftOut;
            this->countLeftOut(event);
            return;
        }
        if (!this->leftOutByEvent.empty()) {
            this->appendLeftOutCounts();
        }
        this->append(event, fields);
        this->linesQueued.notify_one();
    }

    void countLeftOut(std::string_view event)
    {
        const auto entry = this->leftOutByEvent.find(event);
        if (entry != this->leftOutByEvent.end()) {
            ++entry->second;
        } else {
            this->leftOutByEvent.emplace(event, 1);
        }
    }

    // Appends the line that counts what was left out, and resets the counts.
    void appendLeftOutCounts()
    {
        uint64_t count = 0;
        std::string events;
        for (const auto &[event, lines] : this->leftOutByEvent) {
            count += lines;
            events += fmt::format("{}{}={}", events.empty() ? "" : " ", event, lines);
        }
        this->leftOutByEvent.clear();
        this->append("log_lines_left_out",
                     {{"count", std::to_string(count)}, {"events", std::move(events)}});
    }

    void append(std::string_view event, std::initializer_list<Field> fields)
    {
        fmt::format_to(std::back_inserter(this->queue),
                       "time={} instance={} event={}",
                       timestamp(),
                       this->instance,
                       event);
        for (const Field &field : fields) {
            fmt::format_to(std::back_inserter(this->queue), " {}=", field.name);
            appendQuoted(this->queue, field.value);
        }
        this->queue += '\n';
    }

    // The writer thread: writes queued lines, without holding the lock, until the logger stops.
    void runWriter()
    {
        std::unique_lock lock(this->mutex);
        while (!this->stopping || !this->queue.empty()) {
            this->linesQueued.wait(lock, [this] { return this->stopping || !this->queue.empty(); });
            const std::string lines = std::exchange(this->queue, {});
            lock.unlock();
            Impl::writeAll(lines);
            lock.lock();
        }
        this->finished = true;
        this->writerFinished.notify_all();
    }

    static void writeAll(std::string_view lines)
    {
        while (!lines.empty()) {
            const ssize_t count = ::write(STDOUT_FILENO, lines.data(), lines.size());
            if (count <= 0) {
                // The output is closed or fails, and there is nowhere to report that.
                return;
            }
            lines.remove_prefix(static_cast<size_t>(count));
        }
    }

    std::string instance;
    LoggerLimits limits;
    std::mutex mutex;
    std::condition_variable linesQueued;
    std::condition_variable writerFinished;
    std::string queue;
    std::chrono::seconds countedSecond{};
    size_t ordinaryLines = 0;
    size_t requestLines = 0;
    std::atomic<uint64_t> leftOut = 0;
    // Since the last log_lines_left_out line. Events are names in the code, so the map stays small.
    std::map<std::string, uint64_t, std::less<>> leftOutByEvent;
    bool stopping = false;
    bool finished = false;
};

Logger::Logger(std::string_view instance, LoggerLimits limits)
    : impl(std::make_shared<Impl>(instance, limits))
    , writer([state = this->impl] { state->runWriter(); })
{
}

Logger::~Logger()
{
    std::unique_lock lock(this->impl->mutex);
    this->impl->stopping = true;
    this->impl->linesQueued.notify_all();
    const bool finished = this->impl->writerFinished.wait_for(
        lock, FlushTimeout, [this] { return this->impl->finished; });
    lock.unlock();
    if (finished) {
        this->writer.join();
        return;
    }
    // Joining would block for ever if the reader has stopped. The thread shares ownership of the
    // state, so it may outlive the logger.
    this->writer.detach();
}

void Logger::change(std::string_view event, std::initializer_list<Field> fields)
{
    this->impl->add(Importance::Change, event, fields);
}

void Logger::request(Importance importance,
                     std::string_view event,
                     std::initializer_list<Field> fields)
{
    this->impl->add(importance, event, fields);
}

uint64_t Logger::leftOut() const
{
    return this->impl->leftOut;
}

} // namespace samphirebridge::telemetry
