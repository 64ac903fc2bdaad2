#include "samphirebridge/samphirectl/operatorclient.h"

#include <absl/strings/ascii.h>
#include <curl/curl.h>
#include <fmt/format.h>

#include <charconv>
#include <memory>
#include <utility>

namespace samphirebridge::samphirectl
{

namespace
{

using Handle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using HeaderList = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

constexpr std::chrono::milliseconds ConnectTimeout{3000};
constexpr std::string_view VersionHeader = "samphirebridge-manifest-version:";
constexpr std::string_view AuthorisationPrefix = "Authorization: Bearer ";

// libcurl's global state must be there before the first handle.
class CurlLibrary
{
public:
    CurlLibrary()
        : code(curl_global_init(CURL_GLOBAL_DEFAULT))
    {
    }

    CurlLibrary(const CurlLibrary &) = delete;
    CurlLibrary &operator=(const CurlLibrary &) = delete;

    ~CurlLibrary()
    {
        curl_global_cleanup();
    }

    [[nodiscard]] bool ok() const
    {
        return this->code == CURLE_OK;
    }

private:
    CURLcode code;
};

size_t takeBody(const char *data, size_t size, size_t count, void *answerPointer)
{
    auto &answer = *static_cast<OperatorAnswer *>(answerPointer);
    const size_t length = size * count;
    if (answer.body.size() + length > MaximumAnswerBytes) {
        return 0; // Ends the transfer with an error.
    }
    answer.body.append(data, length);
    return length;
}

std::optional<uint64_t> parseNumber(std::string_view text)
{
    uint64_t value = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, value);
    return error == std::errc() && rest == end ? std::optional(value) : std::nullopt;
}

size_t takeHeader(const char *data, size_t size, size_t count, void *answerPointer)
{
    auto &answer = *static_cast<OperatorAnswer *>(answerPointer);
    const std::string line(data, size * count);
    if (absl::AsciiStrToLower(line).starts_with(VersionHeader)) {
        const std::string value(absl::StripAsciiWhitespace(line.substr(VersionHeader.size())));
        answer.manifestVersion = parseNumber(value);
    }
    return size * count;
}

// What became of one try.
enum class TryResult : uint8_t {
    Answered,
    NothingSent,
    MaybeSent,
    BadEndpoint,
};

// Whether the connection was never there, so that no byte can have left.
bool nothingSent(CURL *handle, CURLcode code)
{
    if (code == CURLE_COULDNT_RESOLVE_HOST || code == CURLE_COULDNT_CONNECT
        || code == CURLE_SSL_CONNECT_ERROR || code == CURLE_PEER_FAILED_VERIFICATION) {
        return true;
    }
    curl_off_t untilConnected = 0;
    const CURLcode known = curl_easy_getinfo(handle, CURLINFO_PRETRANSFER_TIME_T, &untilConnected);
    return code == CURLE_OPERATION_TIMEDOUT && known == CURLE_OK && untilConnected == 0;
}

TryResult classify(CURL *handle, CURLcode code)
{
    if (code == CURLE_OK) {
        return TryResult::Answered;
    }
    if (code == CURLE_URL_MALFORMAT || code == CURLE_UNSUPPORTED_PROTOCOL) {
        return TryResult::BadEndpoint;
    }
    return nothingSent(handle, code) ? TryResult::NothingSent : TryResult::MaybeSent;
}

HeaderList makeHeaders(const OperatorRequest &request, const std::string &token)
{
    const std::string authorisation = fmt::format("{}{}", AuthorisationPrefix, token);
    curl_slist *list = curl_slist_append(nullptr, authorisation.c_str());
    // No "Expect: 100-continue": its wait would only delay the body.
    list = curl_slist_append(list, "Expect:");
    const std::string type = "Content-Type: " + request.contentType;
    if (!request.contentType.empty()) {
        list = curl_slist_append(list, type.c_str());
    }
    return {list, &curl_slist_free_all};
}

void configure(CURL *handle, const std::string &url, std::chrono::seconds timeout)
{
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, ""); // The token goes to the endpoint alone.
    curl_easy_setopt(handle, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(ConnectTimeout.count()));
    curl_easy_setopt(handle, CURLOPT_TIMEOUT, static_cast<long>(timeout.count()));
}

void setBody(CURL *handle, const OperatorRequest &request)
{
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    if (request.kind == RequestKind::Change) {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
        curl_easy_setopt(
            handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
    }
}

// Returns the URL of a path; an endpoint may end in a slash.
std::string urlOf(std::string_view endpoint, std::string_view path)
{
    while (endpoint.ends_with('/')) {
        endpoint.remove_suffix(1);
    }
    return fmt::format("{}{}", endpoint, path);
}

} // namespace

OperatorClient::OperatorClient(OperatorClientOptions options)
    : options(std::move(options))
{
}

absl::StatusOr<OperatorAnswer> OperatorClient::send(const OperatorRequest &request)
{
    static const CurlLibrary library;
    std::string failures;
    for (const std::string &endpoint : this->options.endpoints) {
        const Handle handle(curl_easy_init(), &curl_easy_cleanup);
        if (!library.ok() || handle == nullptr) {
            return core::makeError(core::ErrorCode::Internal, "found no working libcurl");
        }
        OperatorAnswer answer;
        const HeaderList headers = makeHeaders(request, this->options.token);
        configure(handle.get(), urlOf(endpoint, request.path), this->options.timeout);
        setBody(handle.get(), request);
        curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers.get());
        curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, &takeBody);
        curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &answer);
        curl_easy_setopt(handle.get(), CURLOPT_HEADERFUNCTION, &takeHeader);
        curl_easy_setopt(handle.get(), CURLOPT_HEADERDATA, &answer);
        const CURLcode code = curl_easy_perform(handle.get());
        const TryResult result = classify(handle.get(), code);
        if (result == TryResult::Answered) {
            curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &answer.status);
            return answer;
        }
        if (result == TryResult::BadEndpoint) {
            return core::makeError(
                core::ErrorCode::InvalidRequest,
                fmt::format("found the endpoint '{}'; accepted: http://HOST:PORT", endpoint));
        }
        const std::string failure = fmt::format("{}: {}", endpoint, curl_easy_strerror(code));
        if (result == TryResult::MaybeSent && request.kind == RequestKind::Change) {
            return core::makeError(core::ErrorCode::OutcomeUnknown,
                                   fmt::format("{}; the change may have been made: repeat it with "
                                               "the same change id",
                                               failure));
        }
        failures += failures.empty() ? failure : "; " + failure;
    }
    return core::makeError(core::ErrorCode::Unreachable,
                           fmt::format("found no endpoint in reach ({})", failures));
}

std::string escapePath(std::string_view text)
{
    std::string escaped;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        const bool plain
            = absl::ascii_isalnum(byte) || byte == '-' || byte == '_' || byte == '.' || byte == '~';
        escaped += plain ? std::string(1, character) : fmt::format("%{:02X}", byte);
    }
    return escaped;
}

} // namespace samphirebridge::samphirectl
