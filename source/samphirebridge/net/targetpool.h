// Pool of idle connections to targets, by address and incarnation, for reuse.
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
    // Timeout for opening a connection: many round trips between data centres.
    core::Duration connectTimeout = std::chrono::milliseconds(300);
    // Fraction of the target's keep-alive timeout during which an idle connection is reused.
    double keepAliveFraction = 0.6;
    // How long an idle connection is reused if the target announced no keep-alive timeout.
    core::Duration defaultIdleTime = std::chrono::milliseconds(400);
    // Upper bound for the time that any connection is kept idle.
    core::Duration maximumIdleTime = std::chrono::seconds(30);
};

// One incarnation of a target and its address.
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

// Opens connections to targets and keeps idle ones for reuse. Belongs to the loop's thread.
class TargetPool
{
public:
    using Connection = std::shared_ptr<TargetConnection>;
    // Receives a connection that is ready for a request, or Unreachable or Timeout.
    using OnConnection = std::function<void(absl::StatusOr<Connection>)>;

    // An attempt to open a connection; dropping it cancels the attempt.
    class Pending;

    TargetPool(EventLoop &loop, TargetPoolOptions options);
    ~TargetPool();

    // If there is an idle connection, passes it to the callback within this call and returns null;
    // else starts to open a connection and returns the attempt.
    std::shared_ptr<Pending> acquire(const TargetEndpoint &endpoint, OnConnection onConnection);

    // Returns a connection to the pool, which keeps it if it is reusable and else closes it.
    void release(const TargetEndpoint &endpoint, const Connection &connection);

    // Returns how many connections the pool has begun to open.
    [[nodiscard]] uint64_t opened() const
    {
        return this->openedCount;
    }

private:
    struct Idle {
        Connection connection;
        core::TimePoint expiresAt;
    };

    Connection takeIdle(const TargetEndpoint &endpoint);
    void dropExpired();
    void removeIdle(const TargetEndpoint &endpoint, const TargetConnection *connection);

    EventLoop &loop;
    TargetPoolOptions options;
    core::SteadyClock clock;
    Timer sweepTimer;
    absl::flat_hash_map<TargetEndpoint, std::vector<Idle>> idle;
    uint64_t openedCount = 0;
};

} // namespace samphirebridge::net
