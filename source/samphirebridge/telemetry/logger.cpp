#include "samphirebridge/telemetry/logger.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <chrono>
#include <cstdio>

namespace samphirebridge::telemetry
{

namespace
{

std::string timestamp()
{
    const auto now = std::chrono::system_clock::now();
    const auto sinceEpoch = now.time_since_epoch();
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                       fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                       millis % 1000);
}

std::string quoted(std::string_view value)
{
    std::string result = "\"";
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            result += '\\';
        }
        result += static_cast<unsigned char>(character) < 0x20 ? ' ' : character;
    }
    result += '"';
    return result;
}

} // namespace

Logger::Logger(std::string_view instanceId)
    : instance(instanceId)
{
}

void Logger::change(std::string_view event, std::initializer_list<Field> fields)
{
    std::string line
        = fmt::format("time={} instance={} event={}", timestamp(), this->instance, event);
    for (const Field &field : fields) {
        line += fmt::format(" {}={}", field.name, quoted(field.value));
    }
    line += '\n';
    const std::lock_guard lock(this->mutex);
    fmt::print(stderr, "{}", line);
}

} // namespace samphirebridge::telemetry
