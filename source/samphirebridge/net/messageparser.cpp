#include "samphirebridge/net/messageparser.h"

#include "samphirebridge/core/errors.h"
#include "samphirebridge/http/status.h"

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

// Return values of http_parser callbacks.
constexpr int ContinueParsing = 0;
constexpr int StopParsing = -1;
constexpr int SkipBody = 1; // Of on_headers_complete only.

// Bounds for the bytes read besides head and body: interim responses and the framing of chunks. A
// chunk of one byte takes six bytes on the connection.
constexpr size_t FramingAllowanceBytes = size_t{64} * 1024;
constexpr uint64_t FramingFactor = 8;

bool isTokenCharacter(char letter)
{
    constexpr std::string_view Symbols = "!#$%&'*+-.^_`|~";
    const auto byte = static_cast<unsigned char>(letter);
    return absl::ascii_isalnum(byte) || Symbols.find(letter) != std::string_view::npos;
}

bool isToken(std::string_view name)
{
    return !name.empty() && std::all_of(name.begin(), name.end(), isTokenCharacter);
}

bool isFieldValue(std::string_view value)
{
    return std::none_of(value.begin(), value.end(), [](char letter) {
        const auto byte = static_cast<unsigned char>(letter);
        return (byte < 0x20 && byte != '\t') || byte == 0x7f;
    });
}

bool isRequestTarget(std::string_view target)
{
    return !target.empty() && std::none_of(target.begin(), target.end(), [](char letter) {
        const auto byte = static_cast<unsigned char>(letter);
        return byte <= 0x20 || byte == 0x7f;
    });
}

bool isDigits(std::string_view text)
{
    constexpr size_t MaximumDigits = 18;
    return !text.empty() && text.size() <= MaximumDigits
           && std::all_of(text.begin(), text.end(), [](char letter) {
                  return letter >= '0' && letter <= '9';
              });
}

// Counts the digits of the status code in the status line of a response, which http_parser reads as
// a number of any length.
class StatusDigits
{
public:
    // Reads bytes of a message, from its first one on.
    void read(std::string_view bytes)
    {
        for (const char letter : bytes) {
            if (this->part == Part::Rest) {
                return;
            }
            this->readLetter(letter);
        }
    }

    [[nodiscard]] int count() const
    {
        return this->digits;
    }

private:
    enum class Part : uint8_t {
        EmptyLines,
        Version,
        Code,
        Rest,
    };

    void readLetter(char letter)
    {
        const bool endsLine = letter == '\r' || letter == '\n';
        if (this->part == Part::EmptyLines) {
            this->part = endsLine ? Part::EmptyLines : Part::Version;
        } else if (this->part == Part::Version) {
            this->part = letter == ' ' ? Part::Code : Part::Version;
        } else if (absl::ascii_isdigit(static_cast<unsigned char>(letter))) {
            ++this->digits;
        } else if (letter != ' ' || this->digits > 0) {
            this->part = Part::Rest;
        }
    }

    Part part = Part::EmptyLines;
    int digits = 0;
};

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
            return self(parser).onFieldName({at, length});
        };
        this->settings.on_header_value = [](http_parser *parser, const char *at, size_t length) {
            return self(parser).onFieldValue({at, length});
        };
        this->settings.on_headers_complete = [](http_parser *parser) {
            return self(parser).onHead();
        };
        this->settings.on_body = [](http_parser *parser, const char *at, size_t length) {
            return self(parser).onBody({at, length});
        };
        this->settings.on_message_complete = [](http_parser *parser) {
            return self(parser).onMessageComplete();
        };
        this->reset(false);
    }

    static Impl &self(http_parser *parser)
    {
        return *static_cast<Impl *>(parser->data);
    }

    void reset(bool responseToHead)
    {
        const bool request = this->kind == MessageKind::Request;
        http_parser_init(&this->parser, request ? HTTP_REQUEST : HTTP_RESPONSE);
        this->parser.data = this;
        this->isResponseToHead = responseToHead;
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
        this->anyByteRead = false;
        this->messageComplete = false;
        this->statusDigits = {};
        this->interim = false;
        this->error.reset();
    }

    int fail(core::ErrorCode code, std::string_view message)
    {
        this->error = core::makeError(code, message);
        return StopParsing;
    }

    int failInvalid(std::string_view message)
    {
        return this->fail(core::ErrorCode::InvalidRequest, message);
    }

    // Adds to the bytes read. Fails with TooLarge and returns false if too many of them belong to
    // neither head nor body.
    bool addReadBytes(size_t bytes)
    {
        this->readBytes += bytes;
        const uint64_t expected = 2 * this->limits.headBytes + FramingFactor * this->bodyBytes;
        if (this->readBytes <= expected + FramingAllowanceBytes) {
            return true;
        }
        this->fail(
            core::ErrorCode::TooLarge,
            fmt::format("{} bytes read for a body of {} bytes", this->readBytes, this->bodyBytes));
        return false;
    }

    int addHeadBytes(size_t bytes)
    {
        this->headBytes += bytes;
        if (this->headBytes <= this->limits.headBytes) {
            return ContinueParsing;
        }
        return this->fail(core::ErrorCode::TooLarge,
                          fmt::format("a head of more than {} bytes", this->limits.headBytes));
    }

    int onTarget(std::string_view text)
    {
        this->target += text;
        return this->addHeadBytes(text.size());
    }

    int onReason(std::string_view text)
    {
        this->reason += text;
        return this->addHeadBytes(text.size());
    }

    int onFieldName(std::string_view text)
    {
        if (this->readingValue && this->finishField() != ContinueParsing) {
            return StopParsing;
        }
        this->name += text;
        return this->addHeadBytes(text.size());
    }

    int onFieldValue(std::string_view text)
    {
        this->readingValue = true;
        this->value += text;
        return this->addHeadBytes(text.size());
    }

    int finishField()
    {
        // Trailer fields, after a chunked body, are checked and dropped.
        const bool trailer = this->headDone;
        if (!isToken(this->name) || !isFieldValue(this->value)) {
            return this->failInvalid(
                "found a header field with a character that is not allowed there");
        }
        if (!trailer) {
            const auto trimmed = absl::StripTrailingAsciiWhitespace(this->value);
            this->headers.add(this->name, {trimmed.data(), trimmed.size()});
        }
        this->name.clear();
        this->value.clear();
        this->readingValue = false;
        return ContinueParsing;
    }

    // Returns the framing, or nothing where two parsers could disagree about it.
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
        if (this->readingValue && this->finishField() != ContinueParsing) {
            return StopParsing;
        }
        if (this->kind == MessageKind::Response && !this->hasValidStatus()) {
            return this->failInvalid(
                "found a status that HTTP does not define for this answer; accepted are three "
                "digits from 100 to 599 without 101");
        }
        const auto framing = this->framing();
        if (!framing) {
            return this->failInvalid(
                "found a body whose length is given twice or in an unknown form; "
                "accepted is one Content-Length or Transfer-Encoding: chunked");
        }
        if (this->parser.upgrade != 0) {
            return this->failInvalid("found a request to switch protocols, which is not supported");
        }
        const uint64_t length = *framing == BodyFraming::Length ? this->parser.content_length : 0;
        this->headDone = true;
        const bool isTooLong = length > this->limits.bodyBytes;
        if (this->kind == MessageKind::Request) {
            const int result = this->reportRequest(*framing, length);
            return isTooLong && result == ContinueParsing ? this->failBodyTooLong() : result;
        }
        return isTooLong ? this->failBodyTooLong() : this->reportResponse(*framing, length);
    }

    // Tells whether the status of the response, which may be interim, is one of HTTP's.
    [[nodiscard]] bool hasValidStatus() const
    {
        const auto status = static_cast<int>(this->parser.status_code);
        return this->statusDigits.count() == http::StatusDigits
               && (http::isFinalStatus(status) || http::isInterimStatus(status));
    }

    int reportRequest(BodyFraming framing, uint64_t length)
    {
        if (!isRequestTarget(this->target)) {
            return this->failInvalid(
                "found a request target with a character that is not allowed there");
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
        return ContinueParsing;
    }

    int reportResponse(BodyFraming framing, uint64_t length)
    {
        constexpr int NoContent = 204;
        constexpr int NotModified = 304;
        const auto status = static_cast<int>(this->parser.status_code);
        if (!http::isFinalStatus(status)) {
            if (framing == BodyFraming::Chunked || length > 0) {
                return this->failInvalid("found an interim response with a body");
            }
            this->headers = {};
            this->reason.clear();
            this->headDone = false;
            this->interim = true;
            return SkipBody; // http_parser takes some unknown fields for framing.
        }
        const bool hasNoBody
            = this->isResponseToHead || status == NoContent || status == NotModified;
        ResponseHead head;
        head.status = status;
        head.reason = std::move(this->reason);
        head.headers = std::move(this->headers);
        head.framing = hasNoBody ? BodyFraming::None : framing;
        head.contentLength = hasNoBody ? 0 : length;
        head.keepAlive = http_should_keep_alive(&this->parser) != 0
                         && head.framing != BodyFraming::UntilClosed;
        this->events.onResponse(std::move(head));
        return hasNoBody ? SkipBody : ContinueParsing;
    }

    int failBodyTooLong()
    {
        return this->fail(core::ErrorCode::TooLarge,
                          fmt::format("a body of more than {} bytes", this->limits.bodyBytes));
    }

    int onBody(std::string_view bytes)
    {
        this->bodyBytes += bytes.size();
        if (this->bodyBytes > this->limits.bodyBytes) {
            return this->failBodyTooLong();
        }
        this->events.onBody(bytes);
        return ContinueParsing;
    }

    int onMessageComplete()
    {
        if (this->readingValue && this->finishField() != ContinueParsing) {
            return StopParsing;
        }
        this->messageComplete = !this->interim;
        // Makes http_parser_execute return at the last byte of the message.
        http_parser_pause(&this->parser, 1);
        return ContinueParsing;
    }

    // Parses up to the end of the bytes, of the message or of an interim response in front of it.
    // Returns how many bytes that took.
    absl::StatusOr<size_t> execute(std::string_view bytes)
    {
        this->anyByteRead = true;
        if (this->kind == MessageKind::Response) {
            this->statusDigits.read(bytes);
        }
        const size_t read
            = http_parser_execute(&this->parser, &this->settings, bytes.data(), bytes.size());
        if (this->error) {
            return *this->error;
        }
        const auto result = static_cast<http_errno>(this->parser.http_errno);
        if (this->messageComplete && (result == HPE_PAUSED || result == HPE_OK)) {
            return read;
        }
        if (result == HPE_PAUSED) {
            http_parser_pause(&this->parser, 0);
            this->interim = false;
            this->statusDigits = {};
        } else if (result != HPE_OK) {
            this->error
                = core::makeError(core::ErrorCode::InvalidRequest, http_errno_description(result));
            return *this->error;
        }
        if (!this->addReadBytes(read)) {
            return *this->error;
        }
        return read;
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
    uint64_t readBytes = 0; // Of the current message, framing and interim responses included.
    bool isResponseToHead = false;
    bool headDone = false;
    bool interim = false; // The message being read is a 1xx response.
    StatusDigits statusDigits; // Of the response being read, which may be interim.
    bool anyByteRead = false;
    bool messageComplete = false;
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
    size_t read = 0;
    while (read < bytes.size() && !state.messageComplete && !state.error) {
        const absl::StatusOr<size_t> consumed = state.execute(bytes.substr(read));
        if (!consumed.ok()) {
            return consumed.status();
        }
        read += *consumed;
        if (state.messageComplete) {
            state.events.onComplete(); // May begin the next message.
            return read;
        }
    }
    return read;
}

absl::Status MessageParser::finish()
{
    Impl &state = *this->impl;
    if (state.messageComplete) {
        return absl::OkStatus();
    }
    if (!state.error) {
        http_parser_execute(&state.parser, &state.settings, nullptr, 0);
    }
    if (state.messageComplete) {
        state.events.onComplete();
        return absl::OkStatus();
    }
    return core::makeError(core::ErrorCode::ConnectionBroken,
                           "the connection was closed inside a message");
}

void MessageParser::nextMessage(bool isResponseToHead)
{
    this->impl->reset(isResponseToHead);
}

bool MessageParser::started() const
{
    return this->impl->anyByteRead;
}

bool MessageParser::complete() const
{
    return this->impl->messageComplete;
}

void MessageParser::applyLimits(MessageLimits limits)
{
    MessageLimits &applied = this->impl->limits;
    if (this->started()) {
        limits.headBytes = std::max(limits.headBytes, applied.headBytes);
        limits.bodyBytes = std::max(limits.bodyBytes, applied.bodyBytes);
    }
    applied = limits;
}

} // namespace samphirebridge::net
