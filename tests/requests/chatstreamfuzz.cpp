// Feeds arbitrary streams, cut anywhere and resumed, to the chat stream and checks that the
// caller's stream parses and never carries more than the bound.
#include "samphirebridge/requests/chatstream.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

using namespace samphirebridge::requests;

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    constexpr int64_t MaximumOutput = 4;
    if (size < 2) {
        return 0;
    }
    static const auto request = ChatRequest::parse(
        R"({"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]})", MaximumOutput);
    ChatStream stream(*request);
    stream.beginAttempt();
    const std::string_view bytes(reinterpret_cast<const char *>(data + 2), size - 2);
    const size_t step = size_t{1} + data[0];
    const size_t resumeAt = data[1];
    std::string out;
    for (size_t at = 0, part = 0; at < bytes.size(); at += step, ++part) {
        if (part == resumeAt) {
            stream.beginAttempt();
        }
        if (stream.feed(bytes.substr(at, step), out) != ChatProgress::Going) {
            break;
        }
    }
    SseParser parser;
    std::vector<std::string> events;
    const bool parsed = parser.feed(out + stream.ending(), events).ok();
    const bool isEnded = !events.empty() && events.back() == "[DONE]" && !parser.midEvent();
    const auto valid = std::all_of(events.begin(), events.end(), [](const std::string &event) {
        return event == "[DONE]" || nlohmann::json::accept(event);
    });
    if (!parsed || !isEnded || !valid || events.size() > MaximumOutput + 2) {
        std::abort();
    }
    static_cast<void>(stream.wholeAnswer());
    return 0;
}
