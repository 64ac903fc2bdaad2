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

// Initialises libcurl's global state, which must be done before the first handle is created.
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

// libcurl's write callback: appends a piece of the body to the answer.
size_t appendBody(const char *data, size_t size, size_t count, void *answerPointer)
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

// libcurl's header callback: stores the manifest version if the line is its header.
size_t readVersionHeader(const char *data, size_t size, size_t count, void *answerPointer)
{
    auto &answer = *static_cast<OperatorAnswer *>(answerPointer);
    const std::string line(data, size * count);
    if (absl::AsciiStrToLower(line).starts_with(VersionHeader)) {
        const std::string value(absl::StripAsciiWhitespace(line.substr(VersionHeader.size())));
        answer.manifestVersion = parseNumber(value);
    }
    return size * count;
}

// The outcome of sending a request to one endpoint.
enum class AttemptResult : uint8_t {
    Answered,
    NothingSent,
    MaybeSent,
    BadEndpoint,
};

// Returns whether the transfer failed before the connection, with TLS if used, was established, so
// that no byte of the request can have been sent.
bool nothingSent(CURL *handle, CURLcode code)
{
    if (code == CURLE_COULDNT_RESOLVE_HOST || code == CURLE_COULDNT_CONNECT
        || code == CURLE_SSL_CONNECT_ERROR || code == CURLE_PEER_FAILED_VERIFICATION) {
        return true;
    }
    curl_off_t preTransferTime = 0;
    const CURLcode infoCode
        = curl_easy_getinfo(handle, CURLINFO_PRETRANSFER_TIME_T, &preTransferTime);
    return code == CURLE_OPERATION_TIMEDOUT && infoCode == CURLE_OK && preTransferTime == 0;
}

AttemptResult classify(CURL *handle, CURLcode code)
{
    if (code == CURLE_OK) {
        return AttemptResult::Answered;
    }
    if (code == CURLE_URL_MALFORMAT || code == CURLE_UNSUPPORTED_PROTOCOL) {
        return AttemptResult::BadEndpoint;
    }
    return nothingSent(handle, code) ? AttemptResult::NothingSent : AttemptResult::MaybeSent;
}

HeaderList makeHeaders(const OperatorRequest &request, const std::string &token)
{
    const std::string authorisation = fmt::format("{}{}", AuthorisationPrefix, token);
    curl_slist *list = curl_slist_append(nullptr, authorisation.c_str());
    // Disables libcurl's "Expect: 100-continue", which would only delay the body.
    list = curl_slist_append(list, "Expect:");
    const std::string type = "Content-Type: " + request.contentType;
    if (!request.contentType.empty()) {
        list = curl_slist_append(list, type.c_str());
    }
    return {list, &curl_slist_free_all};
}

void setTransferOptions(CURL *handle, const std::string &url, std::chrono::seconds timeout)
{
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, ""); // No proxy: only the endpoint may see the token.
    curl_easy_setopt(handle, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(ConnectTimeout.count()));
    curl_easy_setopt(handle, CURLOPT_TIMEOUT, static_cast<long>(timeout.count()));
}

void setMethodAndBody(CURL *handle, const OperatorRequest &request)
{
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    if (request.kind == RequestKind::Change) {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
        curl_easy_setopt(
            handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
    }
}

// Joins the endpoint and the path; the endpoint may end in a slash.
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
            return core::makeError(core::ErrorCode::Internal, "libcurl could not be initialised");
        }
        OperatorAnswer answer;
        const HeaderList headers = makeHeaders(request, this->options.token);
        setTransferOptions(handle.get(), urlOf(endpoint, request.path), this->options.timeout);
        setMethodAndBody(handle.get(), request);
        curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers.get());
        curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, &appendBody);
        curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &answer);
        curl_easy_setopt(handle.get(), CURLOPT_HEADERFUNCTION, &readVersionHeader);
        curl_easy_setopt(handle.get(), CURLOPT_HEADERDATA, &answer);
        const CURLcode code = curl_easy_perform(handle.get());
        const AttemptResult result = classify(handle.get(), code);
        if (result == AttemptResult::Answered) {
            curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &answer.status);
            return answer;
        }
        if (result == AttemptResult::BadEndpoint) {
            return core::makeError(
                core::ErrorCode::InvalidRequest,
                fmt::format("found the endpoint '{}'; accepted: http://HOST:PORT", endpoint));
        }
        const std::string failure = fmt::format("{}: {}", endpoint, curl_easy_strerror(code));
        if (result == AttemptResult::MaybeSent && request.kind == RequestKind::Change) {
            return core::makeError(core::ErrorCode::OutcomeUnknown,
                                   fmt::format("{}; the change may have been made: repeat it with "
                                               "the same change id",
                                               failure));
        }
        failures += failures.empty() ? failure : "; " + failure;
    }
    return core::makeError(core::ErrorCode::Unreachable,
                           fmt::format("no endpoint could be reached ({})", failures));
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
