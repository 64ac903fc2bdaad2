// Sends the announcements of a stand-in target to the instances.
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

// Where a stand-in target announces itself.
struct AnnouncerSettings {
    std::vector<std::string> announceTo; // URLs of instances or of a load balancer; may be empty.
    std::string path = "/v1/targets/announce"; // Appended to each URL.
    std::string token; // Sent as a bearer token.
};

// Posts the announcement to each URL every second from a thread of its own, until destroyed. Failed
// announcements are not reported.
class Announcer
{
public:
    // Returns the body of the next announcement of a target that is or is not leaving.
    using MakeAnnouncement = std::function<nlohmann::json(bool leaving)>;

    // `makeAnnouncement` is called from the thread.
    Announcer(AnnouncerSettings settings, MakeAnnouncement makeAnnouncement);
    ~Announcer();
    Announcer(const Announcer &) = delete;
    Announcer &operator=(const Announcer &) = delete;

    // Sets the announced state to `leaving` and wakes the thread to announce it without delay. The
    // destructor waits until it has been announced.
    void leave();

private:
    void run();
    void announce(const std::string &url, const std::string &body);

    AnnouncerSettings settings;
    MakeAnnouncement makeAnnouncement;
    http::Client client;
    std::mutex mutex;
    std::condition_variable stateChanged;
    bool leaving = false;
    bool stopping = false;
    std::thread thread;
};

} // namespace samphirebridge::standins
