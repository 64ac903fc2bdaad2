// Open connections to targets, by address and life, so that few new ones are needed.
#pragma once

#include "samphirebridge/core/ids.h"
#include "samphirebridge/core/time.h"
#include "samphirebridge/net/targetconnection.h"
#include "samphirebridge/net/timer.h"

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace samphirebridge::net
{

struct TargetPoolOptions {
    // How long a new connection may take to open: many round trips between data centres.
    core::Duration connectTimeout = std::chrono::milliseconds(300);
    // The part of the time that a target keeps idle connections for which they are used again.
    double usedPartOfKeepAlive = 0.6;
    // The same where the target did not say how long it keeps them.
    core::Duration idleWithoutKeepAlive = std::chrono::milliseconds(400);
    // No connection is kept idle for longer.
    core::Duration longestIdle = std::chrono::seconds(30);
};

// One life of a target at its address.
struct TargetEndpoint {
    std::string address;
    core::Incarnation incarnation = 0;

    friend bool operator==(const TargetEndpoint &, const TargetEndpoint &) = default;

    template <typename H>
    friend H AbslHashValue(H state, const TargetEndpoint &endpoint)
    {
        return H::combine(std::move(state), endpoint.address, endpoint.incarnation);
    }
};

class TargetPool
{
public:
    using Connection = std::shared_ptr<TargetConnection>;
    // Receives a connection that is ready for a request, or Unreachable or Timeout.
    using OnConnection = std::function<void(absl::StatusOr<Connection>)>;

    // A request for a connection; dropping it gives the request up.
    class Pending;

    TargetPool(EventLoop &loop, TargetPoolOptions options);
    ~TargetPool();

    // Calls the function inside the call where an idle connection is there.
    std::shared_ptr<Pending> acquire(const TargetEndpoint &endpoint, OnConnection onConnection);

    // Hands a connection back; it is kept if it can be used again.
    void release(const TargetEndpoint &endpoint, const Connection &connection);

    // Connections opened since the start.
    [[nodiscard]] uint64_t opened() const
    {
        return this->openedCount;
    }

private:
    struct Idle {
        Connection connection;
        core::TimePoint until;
    };

    Connection takeIdle(const TargetEndpoint &endpoint);
    void dropExpired();
    void forget(const TargetEndpoint &endpoint, const TargetConnection *connection);

    EventLoop &loop;
    TargetPoolOptions options;
    core::SteadyClock clock;
    Timer sweep;
    absl::flat_hash_map<TargetEndpoint, std::vector<Idle>> idle;
    uint64_t openedCount = 0;
};

} // namespace samphirebridge::net
