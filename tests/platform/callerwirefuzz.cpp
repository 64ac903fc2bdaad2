// Any bytes as a caller's connection: read, decoded and written for a target, or refused.
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
        const auto read = parser.feed(rest);
        if (!read.ok()) {
            return 0;
        }
        rest.remove_prefix(*read);
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
