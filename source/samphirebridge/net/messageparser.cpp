#include "samphirebridge/net/messageparser.h"

#include "samphirebridge/core/errors.h"

#include <absl/strings/ascii.h>
#include <fmt/format.h>
#include <http_parser.h>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace samphirebridge::net
{

namespace
{

constexpr int Continue = 0;
constexpr int Stop = -1;
constexpr int NoBody = 1;

// What may come besides head and body: interim answers, and the framing of chunks, of which the
// smallest take six times the space of what they hold.
constexpr size_t LeastFramingBytes = size_t{64} * 1024;
constexpr uint64_t FramingFactor = 8;

bool isTokenCharacter(char letter)
{
    constexpr std::string_view Others = "!#$%&'*+-.^_`|~";
    const auto byte = static_cast<unsigned char>(letter);
    return absl::ascii_isalnum(byte) || Others.find(letter) != std::string_view::npos;
}

bool isToken(std::string_view name)
{
    return !name.empty() && std::all_of(name.begin(), name.end(), isTokenCharacter);
}

bool isVisible(std::string_view value)
{
    return std::none_of(value.begin(), value.end(), [](char letter) {
        const auto byte = static_cast<unsigned char>(letter);
        return (byte < 0x20 && byte != '\t') || byte == 0x7f;
    });
}

bool isTarget(std::string_view target)
{
    return !target.empty() && std::none_of(target.begin(), target.end(), [](char letter) {
        const auto byte = static_cast<unsigned char>(letter);
        return byte <= 0x20 || byte == 0x7f;
    });
}

bool isDigits(std::string_view text)
{
    constexpr size_t LongestLength = 18;
    return !text.empty() && text.size() <= LongestLength
           && std::all_of(text.begin(), text.end(), [](char letter) {
                  return letter >= '0' && letter <= '9';
              });
}

} // namespace

struct MessageParser::Impl {
    Impl(MessageKind messageKind, MessageLimits messageLimits, MessageEvents messageEvents)
        : kind(messageKind)
        , limits(messageLimits)
        , events(std::move(messageEvents))
    {
        http_parser_settings_init(&this->settings);
        this->settings.on_url = [](http_parser *parser, const char *at, size_t length) {
            return self(parser).onTarget({at, length});
        };
        this->settings.on_status = [](http_parser *parser, const char *at, size_t length) {
            return self(parser).onReason({at, length});
        };
        this->settings.on_header_field = [](http_parser *parser, const char *at, size_t length) {
            return self(parser).onName({at, length});
        };
        this->settings.on_header_value = [](http_parser *parser, const char *at, size_t length) {
            return self(parser).onValue({at, length});
        };
        this->settings.on_headers_complete = [](http_parser *parser) {
            return self(parser).onHead();
        };
        this->settings.on_body = [](http_parser *parser, const char *at, size_t length) {
            return self(parser).onBody({at, length});
        };
        this->settings.on_message_complete = [](http_parser *parser) {
            return self(parser).onEnd();
        };
        this->reset(false);
    }

    static Impl &self(http_parser *parser)
    {
        return *static_cast<Impl *>(parser->data);
    }

    void reset(bool headAnswer)
    {
        const bool request = this->kind == MessageKind::Request;
        http_parser_init(&this->parser, request ? HTTP_REQUEST : HTTP_RESPONSE);
        this->parser.data = this;
        this->answersHead = headAnswer;
        this->target.clear();
        this->reason.clear();
        this->headers = {};
        this->name.clear();
        this->value.clear();
        this->readingValue = false;
        this->headBytes = 0;
        this->bodyBytes = 0;
        this->readBytes = 0;
        this->headDone = false;
        this->begun = false;
        this->done = false;
        this->error.reset();
    }

    int fail(core::ErrorCode code, std::string_view message)
    {
        this->error = core::makeError(code, message);
        return Stop;
    }

    int invalid(std::string_view message)
    {
        return this->fail(core::ErrorCode::InvalidRequest, message);
    }

    // Counts what was read. False: too much of it was neither head nor body.
    bool countRead(size_t bytes)
    {
        this->readBytes += bytes;
        const uint64_t expected = 2 * this->limits.headBytes + FramingFactor * this->bodyBytes;
        if (this->readBytes <= expected + LeastFramingBytes) {
            return true;
        }
        this->fail(core::ErrorCode::TooLarge,
                   fmt::format("{} bytes read for a body of {}", this->readBytes, this->bodyBytes));
        return false;
    }

    int countHead(size_t bytes)
    {
        this->headBytes += bytes;
        if (this->headBytes <= this->limits.headBytes) {
            return Continue;
        }
        return this->fail(core::ErrorCode::TooLarge,
                          fmt::format("a head of more than {} bytes", this->limits.headBytes));
    }

    int onTarget(std::string_view text)
    {
        this->target += text;
        return this->countHead(text.size());
    }

    int onReason(std::string_view text)
    {
        this->reason += text;
        return this->countHead(text.size());
    }

    int onName(std::string_view text)
    {
        if (this->readingValue && this->takeField() != Continue) {
            return Stop;
        }
        this->name += text;
        return this->countHead(text.size());
    }

    int onValue(std::string_view text)
    {
        this->readingValue = true;
        this->value += text;
        return this->countHead(text.size());
    }

    int takeField()
    {
        // Fields behind a chunked body are read and dropped.
        const bool trailer = this->headDone;
        if (!isToken(this->name) || !isVisible(this->value)) {
            return this->invalid("a header field with a character that it must not have");
        }
        if (!trailer) {
            const auto trimmed = absl::StripTrailingAsciiWhitespace(this->value);
            this->headers.add(this->name, {trimmed.data(), trimmed.size()});
        }
        this->name.clear();
        this->value.clear();
        this->readingValue = false;
        return Continue;
    }

    // Returns the framing, or nothing where two readers could disagree about it.
    std::optional<BodyFraming> framing()
    {
        const size_t lengths = this->headers.count("Content-Length");
        const size_t encodings = this->headers.count("Transfer-Encoding");
        if (lengths + encodings > 1) {
            return std::nullopt;
        }
        if (encodings == 1) {
            const auto encoding = *this->headers.find("Transfer-Encoding");
            return http::equalIgnoringCase(encoding, "chunked")
                       ? std::optional(BodyFraming::Chunked)
                       : std::nullopt;
        }
        if (lengths == 1) {
            const auto length = *this->headers.find("Content-Length");
            return isDigits(length) ? std::optional(BodyFraming::Length) : std::nullopt;
        }
        return this->kind == MessageKind::Request ? BodyFraming::None : BodyFraming::UntilClosed;
    }

    int onHead()
    {
        if (this->readingValue && this->takeField() != Continue) {
            return Stop;
        }
        const auto framing = this->framing();
        if (!framing) {
            return this->invalid("found a body whose length is stated twice or in an unknown way; "
                                 "accepted is one Content-Length or Transfer-Encoding: chunked");
        }
        if (this->parser.upgrade != 0) {
            return this->invalid("a request to change the protocol");
        }
        const uint64_t length = *framing == BodyFraming::Length ? this->parser.content_length : 0;
        if (length > this->limits.bodyBytes) {
            return this->tooLongBody();
        }
        this->headDone = true;
        if (this->kind == MessageKind::Request) {
            return this->tellRequest(*framing, length);
        }
        return this->tellResponse(*framing, length);
    }

    int tellRequest(BodyFraming framing, uint64_t length)
    {
        if (!isTarget(this->target)) {
            return this->invalid("a request target with a character that it must not have");
        }
        RequestHead head;
        head.method = http_method_str(static_cast<http_method>(this->parser.method));
        head.target = std::move(this->target);
        head.headers = std::move(this->headers);
        head.framing = framing;
        head.contentLength = length;
        head.keepAlive = http_should_keep_alive(&this->parser) != 0;
        const auto expects = head.headers.find("Expect");
        head.expectsContinue = expects && http::equalIgnoringCase(*expects, "100-continue");
        this->events.onRequest(std::move(head));
        return Continue;
    }

    int tellResponse(BodyFraming framing, uint64_t length)
    {
        constexpr int NoContent = 204;
        constexpr int NotModified = 304;
        constexpr int FirstFinal = 200;
        const auto status = static_cast<int>(this->parser.status_code);
        if (status < FirstFinal) {
            this->headers = {};
            this->reason.clear();
            this->headDone = false;
            this->interim = true;
            return Continue;
        }
        const bool bodiless = this->answersHead || status == NoContent || status == NotModified;
        ResponseHead head;
        head.status = status;
        head.reason = std::move(this->reason);
        head.headers = std::move(this->headers);
        head.framing = bodiless ? BodyFraming::None : framing;
        head.contentLength = bodiless ? 0 : length;
        head.keepAlive = http_should_keep_alive(&this->parser) != 0
                         && head.framing != BodyFraming::UntilClosed;
        this->events.onResponse(std::move(head));
        return bodiless ? NoBody : Continue;
    }

    int tooLongBody()
    {
        return this->fail(core::ErrorCode::TooLarge,
                          fmt::format("a body of more than {} bytes", this->limits.bodyBytes));
    }

    int onBody(std::string_view bytes)
    {
        this->bodyBytes += bytes.size();
        if (this->bodyBytes > this->limits.bodyBytes) {
            return this->tooLongBody();
        }
        this->events.onBody(bytes);
        return Continue;
    }

    int onEnd()
    {
        if (this->readingValue && this->takeField() != Continue) {
            return Stop;
        }
        if (std::exchange(this->interim, false)) {
            return Continue;
        }
        this->done = true;
        // Stops the reader at the message's last byte.
        http_parser_pause(&this->parser, 1);
        return Continue;
    }

    MessageKind kind;
    MessageLimits limits;
    MessageEvents events;
    http_parser_settings settings{};
    http_parser parser{};
    std::string target;
    std::string reason;
    http::Headers headers;
    std::string name;
    std::string value;
    bool readingValue = false;
    size_t headBytes = 0;
    uint64_t bodyBytes = 0;
    uint64_t readBytes = 0; // Of the present message, all told.
    bool answersHead = false;
    bool headDone = false;
    bool interim = false;
    bool begun = false;
    bool done = false;
    std::optional<absl::Status> error;
};

MessageParser::MessageParser(MessageKind kind, MessageLimits limits, MessageEvents events)
    : impl(std::make_unique<Impl>(kind, limits, std::move(events)))
{
}

MessageParser::~MessageParser() = default;

absl::StatusOr<size_t> MessageParser::feed(std::string_view bytes)
{
    Impl &state = *this->impl;
    if (state.done || state.error || bytes.empty()) {
        return 0;
    }
    state.begun = true;
    const size_t read
        = http_parser_execute(&state.parser, &state.settings, bytes.data(), bytes.size());
    if (state.error) {
        return *state.error;
    }
    const auto error = static_cast<http_errno>(state.parser.http_errno);
    if (error == HPE_PAUSED || (state.done && error == HPE_OK)) {
        const bool complete = state.done;
        if (complete) {
            state.events.onComplete();
        }
        return read;
    }
    if (error != HPE_OK) {
        state.error
            = core::makeError(core::ErrorCode::InvalidRequest, http_errno_description(error));
        return *state.error;
    }
    if (!state.countRead(read)) {
        return *state.error;
    }
    return read;
}

absl::Status MessageParser::finish()
{
    Impl &state = *this->impl;
    if (state.done) {
        return absl::OkStatus();
    }
    if (!state.error) {
        http_parser_execute(&state.parser, &state.settings, nullptr, 0);
    }
    if (state.done) {
        state.events.onComplete();
        return absl::OkStatus();
    }
    return core::makeError(core::ErrorCode::ConnectionBroken,
                           "the connection was closed inside a message");
}

void MessageParser::nextMessage(bool answersHead)
{
    this->impl->reset(answersHead);
}

bool MessageParser::begun() const
{
    return this->impl->begun;
}

bool MessageParser::complete() const
{
    return this->impl->done;
}

void MessageParser::setLimits(MessageLimits limits)
{
    this->impl->limits = limits;
}

} // namespace samphirebridge::net
