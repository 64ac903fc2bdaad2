// Pool of a client's idle connections, each with the libcurl handles that own it.
#pragma once

#include <curl/curl.h>

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace samphirebridge::http
{

struct MultiDeleter {
    void operator()(CURLM *multi) const
    {
        ::curl_multi_cleanup(multi);
    }
};

struct EasyDeleter {
    void operator()(CURL *easy) const
    {
        ::curl_easy_cleanup(easy);
    }
};

// An easy handle, which runs one exchange at a time, and the multi handle that owns its connection.
struct Channel {
    std::unique_ptr<CURLM, MultiDeleter> multi;
    std::unique_ptr<CURL, EasyDeleter> easy;
};

// Keeps idle channels between exchanges, by origin (http://host:port). Thread-safe.
class Connector
{
public:
    Connector();

    // Removes and returns an idle channel of that origin, or makes a new one.
    Channel takeChannel(const std::string &origin);

    // Keeps a channel after a successful exchange; closes it if the pool is full.
    void keepIdle(const std::string &origin, Channel channel);

private:
    std::mutex mutex;
    std::map<std::string, std::vector<Channel>> idle;
    size_t idleCount = 0;
};

// Returns the part of a URL before its path: scheme, host and port.
std::string originOf(const std::string &url);

} // namespace samphirebridge::http
