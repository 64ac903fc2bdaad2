// The callback by which a handler replies to a call.
#pragma once

#include <functional>

namespace samphirebridge::transport
{

// Sends the reply of one call. Must be called exactly once, from any thread.
template <typename Reply>
using Respond = std::function<void(Reply)>;

} // namespace samphirebridge::transport
