#include "utilities/load/caller.h"

#include "samphirebridge/requests/sseparser.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace samphirebridge::load
{

namespace
{

constexpr int StatusOk = 200;
constexpr int StatusRedirect = 300;

std::string promptOf(const Mix &mix, const CallName &name)
{
    std::string prompt = mix.name;
    for (int64_t i = 1; i < mix.sharedWords; ++i) {
        prompt += fmt::format(" shared{}", i);
    }
    for (int64_t i = std::max<int64_t>(1, mix.sharedWords); i < mix.promptWords; ++i) {
        prompt += fmt::format(" {}-{}-{}", name.round, name.number, i);
    }
    return prompt;
}

std::string bodyOf(const Mix &mix, const CallName &name)
{
    if (mix.kind == CallKind::Plain) {
        return mix.body;
    }
    const nlohmann::json message{{"role", "user"}, {"content", promptOf(mix, name)}};
    nlohmann::json body{{"model", mix.model}, {"stream", mix.stream}};
    body["max_tokens"] = mix.maximumTokens;
    body["messages"] = nlohmann::json::array({message});
    return body.dump();
}

http::ClientRequest requestOf(const Mix &mix, const std::string &url, const CallName &name)
{
    http::ClientRequest request;
    const bool isChat = mix.kind == CallKind::Chat;
    request.method = isChat ? "POST" : mix.method;
    request.url = url + (isChat ? "/v1/chat/completions" : mix.path);
    request.body = bodyOf(mix, name);
    request.headers.add("Content-Type", "application/json");
    if (!mix.callerKey.empty()) {
        request.headers.add("Authorization", "Bearer " + mix.callerKey);
    }
    if (mix.keyed) {
        request.headers.add(
            "Idempotency-Key",
            fmt::format("{}-{}-{}-{}", name.endpoint, mix.name, name.round, name.number));
    }
    return request;
}

// Follows one answer.
class Measurement
{
public:
    Measurement(const Mix &mix, Clock::time_point intended)
        : intended(intended)
        , isStream(mix.kind == CallKind::Chat && mix.stream)
    {
        this->sample.lag = Clock::now() - intended;
    }

    void takeHead(int status)
    {
        this->sample.status = status;
        if (!this->expectsStream()) {
            this->sample.first = Clock::now() - this->intended;
        }
    }

    void takeBytes(const std::string &bytes)
    {
        if (!this->expectsStream()) {
            this->body += bytes;
            return;
        }
        std::vector<std::string> events;
        const bool parsed = this->parser.feed(bytes, events).ok();
        this->error = parsed ? this->error : "malformed_stream";
        for (const std::string &event : events) {
            this->takeEvent(event);
        }
    }

    Sample end(std::string_view failure)
    {
        this->sample.total = Clock::now() - this->intended;
        this->sample.code = failure.empty() ? this->codeOfAnswer() : std::string(failure);
        return std::move(this->sample);
    }

private:
    [[nodiscard]] bool expectsStream() const
    {
        return this->isStream && this->sample.status == StatusOk;
    }

    void takeEvent(const std::string &event)
    {
        if (event == "[DONE]") {
            this->done = true;
            return;
        }
        const auto chunk = nlohmann::json::parse(event, nullptr, false);
        if (chunk.is_object() && chunk.contains("error")) {
            this->error = chunk["error"].value("code", "error");
            return;
        }
        const Clock::time_point now = Clock::now();
        if (this->sample.parts == 0) {
            this->sample.first = now - this->intended;
        } else {
            this->sample.gaps.push_back(now - this->last);
        }
        this->last = now;
        ++this->sample.parts;
    }

    [[nodiscard]] std::string codeOfAnswer() const
    {
        if (!this->error.empty()) {
            return this->error;
        }
        if (this->sample.status >= StatusOk && this->sample.status < StatusRedirect) {
            return this->isStream && !this->done ? "no_terminator" : "ok";
        }
        const auto problem = nlohmann::json::parse(this->body, nullptr, false);
        const bool isTyped
            = problem.is_object() && problem.contains("code") && problem["code"].is_string();
        return isTyped ? problem["code"].get<std::string>()
                       : fmt::format("http_{}", this->sample.status);
    }

    Clock::time_point intended;
    bool isStream;
    Sample sample;
    requests::SseParser parser;
    std::string body;
    std::string error;
    bool done = false;
    Clock::time_point last;
};

} // namespace

Sample call(http::Client &client,
            const Mix &mix,
            const std::string &url,
            const CallName &name,
            Clock::time_point intended,
            std::chrono::milliseconds timeout)
{
    http::ClientRequest request = requestOf(mix, url, name);
    request.deadline = timeout;
    Measurement measurement(mix, intended);
    http::Exchange exchange = client.start(request);
    while (true) {
        const http::ExchangeEvent event = exchange.next(timeout);
        switch (event.kind) {
        case http::ExchangeEventKind::Headers:
            measurement.takeHead(event.status);
            break;
        case http::ExchangeEventKind::Data:
            measurement.takeBytes(event.bytes);
            break;
        case http::ExchangeEventKind::End:
            return measurement.end({});
        case http::ExchangeEventKind::Error:
            return measurement.end(http::exchangeErrorName(event.error));
        case http::ExchangeEventKind::Nothing:
            break;
        }
    }
}

} // namespace samphirebridge::load
