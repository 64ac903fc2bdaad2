// Feeds arbitrary bytes as a caller's connection: each complete request is decoded and, if valid,
// encoded for a target. Malformed input must give an error, no crash.
#include "platform/callerwire.h"
#include "samphirebridge/net/messageparser.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

using namespace samphirebridge;

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    std::string_view rest(reinterpret_cast<const char *>(data), size);
    net::IncomingRequest incoming;
    bool complete = false;
    net::MessageParser parser(
        net::MessageKind::Request,
        {},
        {[&incoming](net::RequestHead head) { incoming.head = std::move(head); },
         nullptr,
         [&incoming](std::string_view bytes) { incoming.body += bytes; },
         [&complete] {
             complete = true;
         }});
    while (!rest.empty()) {
        const auto consumed = parser.feed(rest);
        if (!consumed.ok()) {
            return 0;
        }
        rest.remove_prefix(*consumed);
        if (!complete) {
            return 0;
        }
        const platform::CallerWire wire;
        const auto request = wire.decodeRequest(incoming);
        if (request.ok()) {
            (void)net::formatHead(wire.encodeAttempt(*request, {}));
        }
        incoming = {};
        complete = false;
        parser.nextMessage();
    }
    return 0;
}
