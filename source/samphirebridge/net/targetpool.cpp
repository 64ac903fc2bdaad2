#include "samphirebridge/net/targetpool.h"

#include "samphirebridge/core/errors.h"

#include <algorithm>
#include <utility>

namespace samphirebridge::net
{

namespace
{

constexpr core::Duration SweepInterval = std::chrono::milliseconds(250);

} // namespace

// An attempt to open one connection within a timeout.
class TargetPool::Pending : public std::enable_shared_from_this<Pending>
{
public:
    Pending(EventLoop &loop, OnConnection callback)
        : onConnection(std::move(callback))
        , timer(loop, [this] {
            this->finish(core::makeError(core::ErrorCode::Timeout,
                                         "the connection was not established in time"));
        })
    {
    }

    void connect(EventLoop &loop, const std::string &address, core::Duration timeout)
    {
        this->timer.start(timeout);
        const std::weak_ptr<Pending> weak = this->weak_from_this();
        this->stream = TcpStream::connect(loop, address, [weak](auto connected) {
            if (const auto pending = weak.lock()) {
                pending->onConnected(std::move(connected));
            }
        });
    }

private:
    void onConnected(absl::StatusOr<std::shared_ptr<TcpStream>> connected)
    {
        if (!connected.ok()) {
            this->finish(connected.status());
            return;
        }
        auto connection = std::make_shared<TargetConnection>(std::move(*connected));
        connection->start();
        this->finish(std::move(connection));
    }

    void finish(absl::StatusOr<Connection> result)
    {
        const auto self = this->shared_from_this();
        this->timer.stop();
        if (!result.ok() && this->stream != nullptr) {
            this->stream->close();
        }
        const auto callback = std::exchange(this->onConnection, nullptr);
        if (callback) {
            callback(std::move(result));
        }
    }

    OnConnection onConnection;
    Timer timer;
    std::shared_ptr<TcpStream> stream;
};

TargetPool::TargetPool(EventLoop &eventLoop, TargetPoolOptions poolOptions)
    : loop(eventLoop)
    , options(poolOptions)
    , sweepTimer(eventLoop, [this] {
        this->dropExpired();
        this->sweepTimer.start(SweepInterval);
    })
{
    this->sweepTimer.start(SweepInterval);
}

TargetPool::~TargetPool() = default;

std::shared_ptr<TargetPool::Pending> TargetPool::acquire(const TargetEndpoint &endpoint,
                                                         OnConnection onConnection)
{
    if (Connection ready = this->takeIdle(endpoint)) {
        onConnection(std::move(ready));
        return nullptr;
    }
    ++this->openedCount;
    auto pending = std::make_shared<Pending>(this->loop, std::move(onConnection));
    pending->connect(this->loop, endpoint.address, this->options.connectTimeout);
    return pending;
}

void TargetPool::release(const TargetEndpoint &endpoint, const Connection &connection)
{
    if (!connection->reusable()) {
        connection->close();
        return;
    }
    const core::Duration kept = connection->keepAliveTime();
    const core::Duration idleTime
        = kept > core::Duration::zero()
              ? std::chrono::duration_cast<core::Duration>(this->options.keepAliveFraction * kept)
              : this->options.defaultIdleTime;
    const core::TimePoint expiresAt
        = this->clock.now() + std::min(idleTime, this->options.maximumIdleTime);
    connection->setOnUnusable(
        [this, endpoint, raw = connection.get()] { this->removeIdle(endpoint, raw); });
    this->idle[endpoint].push_back({connection, expiresAt});
}

TargetPool::Connection TargetPool::takeIdle(const TargetEndpoint &endpoint)
{
    const auto found = this->idle.find(endpoint);
    if (found == this->idle.end()) {
        return nullptr;
    }
    const core::TimePoint now = this->clock.now();
    // The most recently used connection is the least likely to have been closed by the target.
    while (!found->second.empty()) {
        Idle last = std::move(found->second.back());
        found->second.pop_back();
        last.connection->setOnUnusable(nullptr);
        if (last.expiresAt > now && last.connection->reusable()) {
            return std::move(last.connection);
        }
        last.connection->close();
    }
    return nullptr;
}

void TargetPool::dropExpired()
{
    const core::TimePoint now = this->clock.now();
    for (auto entry = this->idle.begin(); entry != this->idle.end();) {
        std::erase_if(entry->second, [now](const Idle &kept) {
            if (kept.expiresAt > now) {
                return false;
            }
            kept.connection->close();
            return true;
        });
        const auto current = entry++;
        if (current->second.empty()) {
            this->idle.erase(current);
        }
    }
}

void TargetPool::removeIdle(const TargetEndpoint &endpoint, const TargetConnection *connection)
{
    const auto found = this->idle.find(endpoint);
    if (found != this->idle.end()) {
        std::erase_if(found->second, [connection](const Idle &kept) {
            return kept.connection.get() == connection;
        });
    }
}

} // namespace samphirebridge::net
