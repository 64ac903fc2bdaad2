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
constexpr int FirstRedirectStatus = 300;

std::string promptOf(const Mix &mix, const CallId &id)
{
    std::string prompt = mix.name;
    for (int64_t i = 1; i < mix.sharedWords; ++i) {
        prompt += fmt::format(" shared{}", i);
    }
    for (int64_t i = std::max<int64_t>(1, mix.sharedWords); i < mix.promptWords; ++i) {
        prompt += fmt::format(" {}-{}-{}", id.round, id.number, i);
    }
    return prompt;
}

std::string bodyOf(const Mix &mix, const CallId &id)
{
    if (mix.kind == CallKind::Plain) {
        return mix.body;
    }
    const nlohmann::json message{{"role", "user"}, {"content", promptOf(mix, id)}};
    nlohmann::json body{{"model", mix.model}, {"stream", mix.stream}};
    body["max_tokens"] = mix.maximumTokens;
    body["messages"] = nlohmann::json::array({message});
    return body.dump();
}

http::ClientRequest requestOf(const Mix &mix, const std::string &url, const CallId &id)
{
    http::ClientRequest request;
    const bool isChat = mix.kind == CallKind::Chat;
    request.method = isChat ? "POST" : mix.method;
    request.url = url + (isChat ? "/v1/chat/completions" : mix.path);
    request.body = bodyOf(mix, id);
    request.headers.add("Content-Type", "application/json");
    if (!mix.callerKey.empty()) {
        request.headers.add("Authorization", "Bearer " + mix.callerKey);
    }
    if (mix.keyed) {
        request.headers.add("Idempotency-Key",
                            fmt::format("{}-{}-{}-{}", id.endpoint, mix.name, id.round, id.number));
    }
    return request;
}

// Records the times and the outcome of one answer as its events arrive.
class AnswerRecorder
{
public:
    AnswerRecorder(const Mix &mix, Clock::time_point intended)
        : intended(intended)
        , isStream(mix.kind == CallKind::Chat && mix.stream)
    {
        this->sample.lag = Clock::now() - intended;
    }

    void recordHead(int status)
    {
        this->sample.status = status;
        if (!this->expectsStream()) {
            this->sample.first = Clock::now() - this->intended;
        }
    }

    void recordBytes(const std::string &bytes)
    {
        if (!this->expectsStream()) {
            this->body += bytes;
            return;
        }
        std::vector<std::string> events;
        const bool parsed = this->parser.feed(bytes, events).ok();
        this->error = parsed ? this->error : "malformed_stream";
        for (const std::string &event : events) {
            this->recordEvent(event);
        }
    }

    Sample finish(std::string_view failure)
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

    void recordEvent(const std::string &event)
    {
        if (event == "[DONE]") {
            this->terminated = true;
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
            this->sample.gaps.push_back(now - this->lastEventTime);
        }
        this->lastEventTime = now;
        ++this->sample.parts;
    }

    [[nodiscard]] std::string codeOfAnswer() const
    {
        if (!this->error.empty()) {
            return this->error;
        }
        if (this->sample.status >= StatusOk && this->sample.status < FirstRedirectStatus) {
            return this->isStream && !this->terminated ? "no_terminator" : "ok";
        }
        const auto problem = nlohmann::json::parse(this->body, nullptr, false);
        const bool hasCode
            = problem.is_object() && problem.contains("code") && problem["code"].is_string();
        return hasCode ? problem["code"].get<std::string>()
                       : fmt::format("http_{}", this->sample.status);
    }

    Clock::time_point intended;
    bool isStream;
    Sample sample;
    requests::SseParser parser;
    std::string body;
    std::string error;
    bool terminated = false;
    Clock::time_point lastEventTime;
};

} // namespace

Sample call(http::Client &client,
            const Mix &mix,
            const std::string &url,
            const CallId &id,
            Clock::time_point intended,
            std::chrono::milliseconds timeout)
{
    http::ClientRequest request = requestOf(mix, url, id);
    request.deadline = timeout;
    AnswerRecorder recorder(mix, intended);
    http::Exchange exchange = client.start(request);
    while (true) {
        const http::ExchangeEvent event = exchange.next(timeout);
        switch (event.kind) {
        case http::ExchangeEventKind::Headers:
            recorder.recordHead(event.status);
            break;
        case http::ExchangeEventKind::Data:
            recorder.recordBytes(event.bytes);
            break;
        case http::ExchangeEventKind::End:
            return recorder.finish({});
        case http::ExchangeEventKind::Error:
            return recorder.finish(http::exchangeErrorName(event.error));
        case http::ExchangeEventKind::Nothing:
            break;
        }
    }
}

} // namespace samphirebridge::load
