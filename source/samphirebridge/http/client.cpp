#include "samphirebridge/http/client.h"

#include "samphirebridge/core/errors.h"
#include "samphirebridge/http/connector.h"

#include <fmt/format.h>

#include <utility>

namespace samphirebridge::http
{

namespace
{

constexpr size_t MaximumIdleChannels = 256;

core::ErrorCode errorCodeFor(ExchangeError error)
{
    switch (error) {
    case ExchangeError::ConnectFailed:
        return core::ErrorCode::Unreachable;
    case ExchangeError::Timeout:
        return core::ErrorCode::Timeout;
    case ExchangeError::ConnectionBroken:
    case ExchangeError::InvalidAnswer:
    case ExchangeError::WrongLength:
        return core::ErrorCode::ConnectionBroken;
    }
    return core::ErrorCode::Internal;
}

absl::Status
failureStatus(const ClientRequest &request, ExchangeError error, std::string_view message)
{
    return core::makeError(
        errorCodeFor(error),
        fmt::format(
            "{} {}: {}: {}", request.method, request.url, exchangeErrorName(error), message));
}

} // namespace

Connector::Connector()
{
    static const CURLcode initialised = ::curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(initialised);
}

Channel Connector::takeChannel(const std::string &origin)
{
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->idle.find(origin);
        if (found != this->idle.end()) {
            Channel channel = std::move(found->second.back());
            found->second.pop_back();
            --this->idleCount;
            if (found->second.empty()) {
                this->idle.erase(found);
            }
            return channel;
        }
    }
    Channel channel;
    channel.multi.reset(::curl_multi_init());
    channel.easy.reset(::curl_easy_init());
    return channel;
}

void Connector::keepIdle(const std::string &origin, Channel channel)
{
    const std::lock_guard lock(this->mutex);
    if (this->idleCount >= MaximumIdleChannels) {
        return;
    }
    this->idle[origin].push_back(std::move(channel));
    ++this->idleCount;
}

std::string originOf(const std::string &url)
{
    constexpr std::string_view Separator = "://";
    const size_t scheme = url.find(Separator);
    const size_t host = scheme == std::string::npos ? 0 : scheme + Separator.size();
    return url.substr(0, url.find('/', host));
}

Client::Client()
    : connector(std::make_shared<Connector>())
{
}

Client::~Client() = default;

Exchange Client::start(const ClientRequest &request)
{
    return Exchange(this->connector, request);
}

absl::StatusOr<Answer>
Client::fetch(const ClientRequest &request, core::Duration timeout, size_t maximumBodyBytes)
{
    ClientRequest bounded = request;
    bounded.deadline = timeout;
    bounded.connectTimeout = std::min(request.connectTimeout, timeout);
    Exchange exchange = this->start(bounded);
    Answer answer;
    while (true) {
        ExchangeEvent event = exchange.next(timeout);
        switch (event.kind) {
        case ExchangeEventKind::Headers:
            answer.status = event.status;
            answer.headers = std::move(event.headers);
            break;
        case ExchangeEventKind::Data:
            answer.body += event.bytes;
            break;
        case ExchangeEventKind::End:
            return answer;
        case ExchangeEventKind::Error:
            return failureStatus(request, event.error, event.message);
        case ExchangeEventKind::Nothing:
            break;
        }
        if (answer.body.size() > maximumBodyBytes) {
            return core::makeError(core::ErrorCode::TooLarge,
                                   fmt::format("{}: the answer has more than {} bytes",
                                               request.url,
                                               maximumBodyBytes));
        }
    }
}

} // namespace samphirebridge::http
