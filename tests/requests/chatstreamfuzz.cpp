// Feeds arbitrary streams, in pieces of any size and with a new attempt at any piece, to a
// ChatStream. Checks that the caller's stream is valid and never exceeds the maximum of output
// tokens.
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
    const size_t pieceSize = size_t{1} + data[0];
    const size_t resumeAtPiece = data[1];
    std::string out;
    for (size_t at = 0, piece = 0; at < bytes.size(); at += pieceSize, ++piece) {
        if (piece == resumeAtPiece) {
            stream.beginAttempt();
        }
        if (stream.feed(bytes.substr(at, pieceSize), out) != ChatProgress::Incomplete) {
            break;
        }
    }
    SseParser parser;
    std::vector<std::string> events;
    const bool parsed = parser.feed(out + stream.ending(), events).ok();
    const bool isTerminated
        = !events.empty() && events.back() == "[DONE]" && !parser.hasPartialEvent();
    const auto allEventsValid
        = std::all_of(events.begin(), events.end(), [](const std::string &event) {
              return event == "[DONE]" || nlohmann::json::accept(event);
          });
    if (!parsed || !isTerminated || !allEventsValid || events.size() > MaximumOutput + 2) {
        std::abort();
    }
    static_cast<void>(stream.wholeAnswer());
    return 0;
}
