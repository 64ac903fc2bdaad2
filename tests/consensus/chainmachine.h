// A state machine for tests: it chains the digests of its commands, so that equal states prove
// equal histories.
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

// Counts the commands as versions.
class ChainMachine
{
public:
    struct Result {
        uint64_t version = 0;
        uint64_t chain = 0;
    };

    Result apply(const proto::LogEntry &entry)
    {
        ++this->state.version;
        const std::string_view link(reinterpret_cast<const char *>(&this->state.chain),
                                    sizeof(this->state.chain));
        this->state.chain = core::checksumOf(std::string(link) + entry.data());
        if (this->observer) {
            this->observer(entry.index(), this->state);
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
            return core::makeError(core::ErrorCode::StorageCorrupt, "found no chain");
        }
        std::memcpy(&this->state, bytes.data(), sizeof(this->state));
        return absl::OkStatus();
    }

    Result state;
    std::function<void(uint64_t index, const Result &state)> observer;
};

} // namespace samphirebridge::consensus::tests
