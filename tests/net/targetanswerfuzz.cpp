// Feeds arbitrary bytes as the answers of a target, whole and in two pieces: the head comes before
// the body, its status is one that HTTP defines, and both ways report the same.
#include "samphirebridge/net/messageparser.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

using namespace samphirebridge;

namespace
{

constexpr int FirstFinal = 200;
constexpr int LastFinal = 599;

void require(bool holds)
{
    if (!holds) {
        std::abort();
    }
}

// What a parser reported.
struct Report {
    int status = 0;
    std::string body;
    bool complete = false;
    bool failed = false;

    bool operator==(const Report &) const = default;
};

// Reads one answer, of which the first `split` bytes come ahead of the rest.
Report reportOf(std::string_view text, size_t split)
{
    Report report;
    net::MessageParser parser(net::MessageKind::Response,
                              {},
                              {nullptr,
                               [&report](const net::ResponseHead &head) {
                                   require(report.status == 0 && head.status >= FirstFinal
                                           && head.status <= LastFinal);
                                   report.status = head.status;
                               },
                               [&report](std::string_view bytes) {
                                   require(report.status != 0);
                                   report.body += bytes;
                               },
                               [&report] {
                                   require(report.status != 0 && !report.complete);
                                   report.complete = true;
                               }});
    for (const std::string_view piece : {text.substr(0, split), text.substr(split)}) {
        if (!report.complete && !report.failed) {
            report.failed = !parser.feed(piece).ok();
        }
    }
    if (!report.failed && !report.complete) {
        report.failed = !parser.finish().ok();
    }
    return report;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const Report whole = reportOf(text, text.size());
    const size_t split = size == 0 ? 0 : data[size - 1] % size;
    require(reportOf(text, split) == whole);
    return 0;
}
