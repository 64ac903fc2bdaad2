#include "samphirebridge/net/httpmessage.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>
#include <http_parser.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <vector>

namespace samphirebridge::net
{

namespace
{

constexpr std::array<std::string_view, 9> HopByHopFields{
    "Connection",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
};

std::vector<std::string> namesInConnectionFields(const http::Headers &headers)
{
    std::vector<std::string> listed;
    for (const http::Header &field : headers.fields()) {
        if (!http::equalIgnoringCase(field.name, "Connection")) {
            continue;
        }
        for (const auto part : absl::StrSplit(field.value, ',')) {
            const auto name = absl::StripAsciiWhitespace(part);
            listed.emplace_back(name.data(), name.size());
        }
    }
    return listed;
}

void appendFields(std::string &text, const http::Headers &headers)
{
    for (const http::Header &field : headers.fields()) {
        const bool isFramingField = http::equalIgnoringCase(field.name, "Content-Length")
                                    || http::equalIgnoringCase(field.name, "Transfer-Encoding");
        if (!isFramingField) {
            fmt::format_to(std::back_inserter(text), "{}: {}\r\n", field.name, field.value);
        }
    }
}

void appendFraming(std::string &text, BodyFraming framing, uint64_t contentLength)
{
    if (framing == BodyFraming::Length) {
        fmt::format_to(std::back_inserter(text), "Content-Length: {}\r\n", contentLength);
    } else if (framing == BodyFraming::Chunked) {
        text += "Transfer-Encoding: chunked\r\n";
    }
}

} // namespace

std::string_view framingName(BodyFraming framing)
{
    switch (framing) {
    case BodyFraming::None:
        return "none";
    case BodyFraming::Length:
        return "length";
    case BodyFraming::Chunked:
        return "chunked";
    case BodyFraming::UntilClosed:
        return "until_closed";
    }
    return "unknown";
}

http::Headers endToEndHeaders(const http::Headers &headers)
{
    const std::vector<std::string> listed = namesInConnectionFields(headers);
    http::Headers kept;
    for (const http::Header &field : headers.fields()) {
        const auto hasName = [&field](std::string_view name) {
            return http::equalIgnoringCase(field.name, name);
        };
        if (std::any_of(HopByHopFields.begin(), HopByHopFields.end(), hasName)
            || std::any_of(listed.begin(), listed.end(), hasName)) {
            continue;
        }
        kept.add(field.name, field.value);
    }
    return kept;
}

std::string formatHead(const RequestHead &head)
{
    std::string text = fmt::format("{} {} HTTP/1.1\r\n", head.method, head.target);
    appendFields(text, head.headers);
    appendFraming(text, head.framing, head.contentLength);
    text += "\r\n";
    return text;
}

std::string formatHead(const ResponseHead &head)
{
    const std::string_view reason = head.reason.empty() ? reasonPhrase(head.status) : head.reason;
    std::string text = fmt::format("HTTP/1.1 {} {}\r\n", head.status, reason);
    appendFields(text, head.headers);
    appendFraming(text, head.framing, head.contentLength);
    if (!head.keepAlive) {
        text += "Connection: close\r\n";
    }
    text += "\r\n";
    return text;
}

std::string formatChunk(std::string_view bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

std::string_view reasonPhrase(int status)
{
    return http_status_str(static_cast<http_status>(status));
}

} // namespace samphirebridge::net
