// Idle connections of a client, each with the libcurl handles that own it.
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

// A handle for one exchange at a time and the multi handle that holds its connection.
struct Channel {
    std::unique_ptr<CURLM, MultiDeleter> multi;
    std::unique_ptr<CURL, EasyDeleter> easy;
};

// Keeps channels by origin (http://host:port) between exchanges. Usable from many threads.
class Connector
{
public:
    Connector();

    // Returns an idle channel of that origin, or a new one.
    Channel take(const std::string &origin);

    // Keeps a channel whose exchange ended well; closes it if there are many already.
    void keep(const std::string &origin, Channel channel);

private:
    std::mutex mutex;
    std::map<std::string, std::vector<Channel>> idle;
    size_t idleCount = 0;
};

// Returns the URL up to its path.
std::string originOf(const std::string &url);

} // namespace samphirebridge::http
