#include "utilities/standins/announcer.h"

#include <utility>

namespace samphirebridge::standins
{

namespace
{

constexpr std::chrono::seconds AnnounceInterval{1};
constexpr std::chrono::milliseconds AnnounceTimeout{800};

} // namespace

Announcer::Announcer(AnnouncerSettings settings, MakeAnnouncement makeAnnouncement)
    : settings(std::move(settings))
    , makeAnnouncement(std::move(makeAnnouncement))
    , thread([this] { this->run(); })
{
}

Announcer::~Announcer()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->stateChanged.notify_all();
    this->thread.join();
}

void Announcer::leave()
{
    const std::lock_guard lock(this->mutex);
    this->leaving = true;
    this->stateChanged.notify_all();
}

void Announcer::run()
{
    std::unique_lock lock(this->mutex);
    bool announcedLeaving = false;
    while (!this->stopping || (this->leaving && !announcedLeaving)) {
        announcedLeaving = this->leaving;
        lock.unlock();
        const nlohmann::json body = this->makeAnnouncement(announcedLeaving);
        for (const std::string &url : this->settings.announceTo) {
            this->announce(url, body.dump());
        }
        lock.lock();
        this->stateChanged.wait_for(lock, AnnounceInterval, [this, announcedLeaving] {
            return this->stopping || this->leaving != announcedLeaving;
        });
    }
}

void Announcer::announce(const std::string &url, const std::string &body)
{
    http::ClientRequest request;
    request.method = "POST";
    request.url = url + this->settings.path;
    request.headers.add("Authorization", "Bearer " + this->settings.token);
    request.headers.add("Content-Type", "application/json");
    request.body = body;
    request.connection = http::ConnectionUse::Pooled;
    // A failure is ignored: the next announcement reports the state again.
    static_cast<void>(this->client.fetch(request, AnnounceTimeout));
}

} // namespace samphirebridge::standins
