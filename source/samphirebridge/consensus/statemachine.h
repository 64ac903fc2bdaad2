// The state machine concept: what a group replicates.
#pragma once

#include "consensus.pb.h"

#include <absl/status/status.h>

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace samphirebridge::consensus
{

// A deterministic state machine.
//   Result      the type that applying a command returns to the host
//   apply       applies a committed entry of kind COMMAND; each index once, in ascending order
//   snapshot    returns the whole state, serialised
//   restore     replaces the whole state by a snapshot; an error if the bytes are none
template <typename T>
concept StateMachine = requires(T machine, const proto::LogEntry &entry, std::string_view bytes)
{
    typename T::Result;
    {
        machine.apply(entry)
        } -> std::same_as<typename T::Result>;
    {
        machine.snapshot()
        } -> std::same_as<std::string>;
    {
        machine.restore(bytes)
        } -> std::same_as<absl::Status>;
};

} // namespace samphirebridge::consensus
