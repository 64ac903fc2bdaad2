// A target's announcements to the fleet.
#pragma once

#include "samphirebridge/http/client.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace samphirebridge::standins
{

// Who announces what to whom.
struct AnnouncerSettings {
    std::vector<std::string> announceTo; // URLs of instances or of one balancer; empty: nobody.
    std::string token;
    nlohmann::json announcement; // Without state and load.
};

// Announces itself every second to each address until it is destroyed.
class Announcer
{
public:
    // `load` returns the announcement's `load`.
    Announcer(AnnouncerSettings settings, std::function<nlohmann::json()> load);
    ~Announcer();
    Announcer(const Announcer &) = delete;
    Announcer &operator=(const Announcer &) = delete;

    // Announces `leaving` from now on, at once for the first time.
    void leave();

private:
    void run();
    void announce(const std::string &url, const std::string &body);

    AnnouncerSettings settings;
    std::function<nlohmann::json()> load;
    http::Client client;
    std::mutex mutex;
    std::condition_variable changed;
    bool leaving = false;
    bool stopping = false;
    std::thread thread;
};

} // namespace samphirebridge::standins
