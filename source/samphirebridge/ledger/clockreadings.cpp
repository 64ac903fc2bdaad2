#include "samphirebridge/ledger/clockreadings.h"

namespace samphirebridge::ledger
{

core::ClockReading readingOf(const proto::ClockReading &message)
{
    return {message.clock(), message.at_ms()};
}

proto::ClockReading protoOf(const core::ClockReading &reading)
{
    proto::ClockReading message;
    message.set_clock(reading.clock);
    message.set_at_ms(reading.atMs);
    return message;
}

} // namespace samphirebridge::ledger
