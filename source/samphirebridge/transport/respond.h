// How handlers answer calls.
#pragma once

#include <functional>

namespace samphirebridge::transport
{

// Answers one call; to be called exactly once, from any thread.
template <typename Reply>
using Respond = std::function<void(Reply)>;

} // namespace samphirebridge::transport
