// A state machine for tests. Each command changes a digest that covers all earlier commands, so
// that equal states prove equal histories.
#pragma once

#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/errors.h"

#include "consensus.pb.h"

#include <absl/status/status.h>

#include <cstdint>
#include <cstring>
#include <functional>
#include <string>
#include <string_view>

namespace samphirebridge::consensus::tests
{

// The version is the number of commands applied.
class ChainMachine
{
public:
    struct Result {
        uint64_t version = 0;
        uint64_t digest = 0;
    };

    Result apply(const proto::LogEntry &entry)
    {
        ++this->state.version;
        const std::string_view previous(reinterpret_cast<const char *>(&this->state.digest),
                                        sizeof(this->state.digest));
        this->state.digest = core::checksumOf(std::string(previous) + entry.data());
        if (this->onApplied) {
            this->onApplied(entry.index(), this->state);
        }
        return this->state;
    }

    std::string snapshot()
    {
        return {reinterpret_cast<const char *>(&this->state), sizeof(this->state)};
    }

    absl::Status restore(std::string_view bytes)
    {
        if (bytes.size() != sizeof(this->state)) {
            return core::makeError(core::ErrorCode::StorageCorrupt,
                                   "found bytes that are not a digest with its version");
        }
        std::memcpy(&this->state, bytes.data(), sizeof(this->state));
        return absl::OkStatus();
    }

    Result state;
    // Called after each applied command, unless empty.
    std::function<void(uint64_t index, const Result &state)> onApplied;
};

} // namespace samphirebridge::consensus::tests
