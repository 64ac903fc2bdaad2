#include "utilities/standins/announcer.h"

#include <utility>

namespace samphirebridge::standins
{

namespace
{

constexpr std::chrono::seconds Interval{1};
constexpr std::chrono::milliseconds Timeout{800};

} // namespace

Announcer::Announcer(AnnouncerSettings settings, std::function<nlohmann::json()> load)
    : settings(std::move(settings))
    , load(std::move(load))
    , thread([this] { this->run(); })
{
}

Announcer::~Announcer()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    this->thread.join();
}

void Announcer::leave()
{
    const std::lock_guard lock(this->mutex);
    this->leaving = true;
    this->changed.notify_all();
}

void Announcer::run()
{
    std::unique_lock lock(this->mutex);
    bool toldLeaving = false;
    while (!this->stopping || (this->leaving && !toldLeaving)) {
        toldLeaving = this->leaving;
        nlohmann::json body = this->settings.announcement;
        body["state"] = toldLeaving ? "leaving" : "ready";
        lock.unlock();
        body["load"] = this->load();
        for (const std::string &url : this->settings.announceTo) {
            this->announce(url, body.dump());
        }
        lock.lock();
        this->changed.wait_for(lock, Interval, [this, toldLeaving] {
            return this->stopping || this->leaving != toldLeaving;
        });
    }
}

void Announcer::announce(const std::string &url, const std::string &body)
{
    http::ClientRequest request;
    request.method = "POST";
    request.url = url + "/v1/targets/announce";
    request.headers.add("Authorization", "Bearer " + this->settings.token);
    request.headers.add("Content-Type", "application/json");
    request.body = body;
    request.connection = http::ConnectionUse::Pooled;
    // A failure is mended by the next announcement.
    static_cast<void>(this->client.fetch(request, Timeout));
}

} // namespace samphirebridge::standins
