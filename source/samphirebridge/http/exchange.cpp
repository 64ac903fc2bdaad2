#include "samphirebridge/http/exchange.h"

#include "samphirebridge/http/connector.h"
#include "samphirebridge/http/status.h"

#include <array>
#include <atomic>
#include <charconv>
#include <deque>
#include <mutex>
#include <utility>

namespace samphirebridge::http
{

namespace
{

constexpr size_t MaximumQueuedBytes = size_t{256} << 10U;

struct SlistDeleter {
    void operator()(curl_slist *list) const
    {
        ::curl_slist_free_all(list);
    }
};

using HeaderList = std::unique_ptr<curl_slist, SlistDeleter>;

void appendLine(HeaderList &list, const std::string &line)
{
    curl_slist *extended = ::curl_slist_append(list.get(), line.c_str());
    static_cast<void>(list.release());
    list.reset(extended);
}

HeaderList headerList(const Headers &headers)
{
    HeaderList list;
    appendLine(list, "Expect:"); // Stops libcurl from waiting for 100 Continue.
    if (!headers.find("Content-Type")) {
        appendLine(list, "Content-Type:");
    }
    for (const Header &field : headers.fields()) {
        const bool splitsHead = field.name.find_first_of("\r\n:") != std::string::npos
                                || field.value.find_first_of("\r\n") != std::string::npos;
        if (splitsHead || equalIgnoringCase(field.name, "Content-Length")
            || equalIgnoringCase(field.name, "Transfer-Encoding")) {
            continue;
        }
        appendLine(list, field.value.empty() ? field.name + ";" : field.name + ": " + field.value);
    }
    return list;
}

// Tells whether the line is the empty one that ends a head. Like the parser of the other HTTP stack
// this accepts a bare LF (RFC 9112, section 2.2).
bool endsHead(std::string_view line)
{
    return line == "\r\n" || line == "\n";
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view Space = " \t\r\n";
    const size_t first = text.find_first_not_of(Space);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(Space) - first + 1);
}

// Returns the status of the line, or 0 unless it has three digits.
int statusOf(std::string_view statusLine)
{
    const size_t space = statusLine.find(' ');
    if (space == std::string_view::npos) {
        return 0;
    }
    const std::string_view code = trimmed(statusLine.substr(space + 1));
    int status = 0;
    const char *end = std::from_chars(code.data(), code.data() + code.size(), status).ptr;
    const bool isWhole = end == code.data() + code.size() || *end == ' ';
    return isWhole && end - code.data() == StatusDigits ? status : 0;
}

// Tells whether the field announces a body.
bool announcesBody(std::string_view name, std::string_view value)
{
    return equalIgnoringCase(name, "Transfer-Encoding")
           || (equalIgnoringCase(name, "Content-Length") && value != "0");
}

// Tells whether the answer is a success whose body ends with its connection.
bool isUnbounded(const ExchangeEvent &head)
{
    constexpr int NoContent = 204;
    return isSuccessStatus(head.status) && head.status != NoContent
           && !head.headers.find("Content-Length") && !head.headers.find("Transfer-Encoding");
}

long millisecondsOf(core::Duration duration)
{
    return static_cast<long>(std::chrono::ceil<std::chrono::milliseconds>(duration).count());
}

} // namespace

std::string_view exchangeErrorName(ExchangeError error)
{
    switch (error) {
    case ExchangeError::ConnectFailed:
        return "connect_failed";
    case ExchangeError::ConnectionBroken:
        return "connection_broken";
    case ExchangeError::Timeout:
        return "timeout";
    case ExchangeError::WrongLength:
        return "wrong_length";
    case ExchangeError::InvalidAnswer:
        return "invalid_answer";
    }
    return "connection_broken";
}

struct Exchange::Implementation {
    std::shared_ptr<Connector> connector;
    ClientRequest request;
    std::string origin;
    HeaderList headerLines;
    std::mutex channelMutex; // Guards `channel` against interrupt() while it is returned or closed.
    Channel channel;
    std::array<char, CURL_ERROR_SIZE> errorText{};
    std::deque<ExchangeEvent> events;
    size_t queuedBytes = 0;
    ExchangeEvent head; // Collects the status and headers until the head is complete.
    bool headComplete = false;
    bool isUnboundedSuccess = false; // The answer is a success that ends with its connection.
    bool paused = false;
    bool bytesMayBeSent = false;
    std::string_view invalidity; // What makes the answer invalid, or empty.
    bool transferEnded = false; // libcurl has finished the transfer, or it was cancelled.
    bool lastEventReturned = false; // By next(), or the exchange was cancelled.
    std::atomic<bool> interrupted{false};

    template <typename Value>
    void set(CURLoption option, Value value)
    {
        ::curl_easy_setopt(this->channel.easy.get(), option, value);
    }

    void configure();
    void configureBody();
    void configureCallbacks();
    int beforeRequest();
    // Returns false if the line makes the answer invalid.
    bool takeHeaderLine(std::string_view line);
    bool takeStatusLine(std::string_view line);
    size_t takeBody(std::string_view bytes);
    void runTransfer();
    void finishTransfer(CURLcode result);
    // Tells whether libcurl has finished without the whole answer.
    [[nodiscard]] bool isCutOff() const;
    [[nodiscard]] ExchangeError errorOf(CURLcode result) const;
    [[nodiscard]] std::string describeError(CURLcode result) const;
    ExchangeEvent popEvent();
    void close();
};

void Exchange::Implementation::configure()
{
    ::curl_easy_reset(this->channel.easy.get());
    this->set(CURLOPT_URL, this->request.url.c_str());
    this->set(CURLOPT_PROTOCOLS_STR, "http,https");
    this->set(CURLOPT_PROXY, "");
    this->set(CURLOPT_NOSIGNAL, 1L);
    this->set(CURLOPT_TCP_NODELAY, 1L);
    this->set(CURLOPT_PATH_AS_IS, 1L);
    this->set(CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    this->set(CURLOPT_CONNECTTIMEOUT_MS, millisecondsOf(this->request.connectTimeout));
    this->set(CURLOPT_TIMEOUT_MS, millisecondsOf(this->request.deadline));
    const long isFresh = this->request.connection == ConnectionUse::Fresh ? 1 : 0;
    this->set(CURLOPT_FRESH_CONNECT, isFresh);
    this->set(CURLOPT_FORBID_REUSE, isFresh);
    this->set(CURLOPT_HTTPHEADER, this->headerLines.get());
    this->set(CURLOPT_ERRORBUFFER, this->errorText.data());
    this->configureBody();
    this->configureCallbacks();
}

void Exchange::Implementation::configureBody()
{
    const std::string &method = this->request.method;
    const bool hasBody
        = !this->request.body.empty() || method == "POST" || method == "PUT" || method == "PATCH";
    if (method == "HEAD") {
        this->set(CURLOPT_NOBODY, 1L);
        return;
    }
    if (hasBody) {
        this->set(CURLOPT_POST, 1L);
        const auto size = static_cast<curl_off_t>(this->request.body.size());
        this->set(CURLOPT_POSTFIELDSIZE_LARGE, size);
        this->set(CURLOPT_POSTFIELDS, this->request.body.c_str());
    }
    this->set(CURLOPT_CUSTOMREQUEST, method.c_str());
}

void Exchange::Implementation::configureCallbacks()
{
    using Prerequest = int (*)(void *, char *, char *, int, int);
    using Take = size_t (*)(char *, size_t, size_t, void *);
    const Prerequest prerequest = [](void *self, char *, char *, int, int) {
        return static_cast<Implementation *>(self)->beforeRequest();
    };
    const Take takeHeader = [](char *bytes, size_t size, size_t count, void *self) {
        const bool isValid
            = static_cast<Implementation *>(self)->takeHeaderLine({bytes, size * count});
        return isValid ? size * count : 0;
    };
    const Take takeData = [](char *bytes, size_t size, size_t count, void *self) {
        return static_cast<Implementation *>(self)->takeBody({bytes, size * count});
    };
    this->set(CURLOPT_PREREQFUNCTION, prerequest);
    this->set(CURLOPT_PREREQDATA, this);
    this->set(CURLOPT_HEADERFUNCTION, takeHeader);
    this->set(CURLOPT_HEADERDATA, this);
    this->set(CURLOPT_WRITEFUNCTION, takeData);
    this->set(CURLOPT_WRITEDATA, this);
}

// libcurl calls this when it has a connection and before it sends the request, also before it
// resends a request because a reused connection turned out to be closed.
int Exchange::Implementation::beforeRequest()
{
    if (this->bytesMayBeSent && this->request.connection == ConnectionUse::Fresh) {
        return CURL_PREREQFUNC_ABORT;
    }
    this->bytesMayBeSent = true;
    return CURL_PREREQFUNC_OK;
}

bool Exchange::Implementation::takeHeaderLine(std::string_view line)
{
    if (this->headComplete) {
        return true; // A trailer field.
    }
    if (endsHead(line)) {
        this->headComplete = isFinalStatus(this->head.status);
        if (this->headComplete) {
            this->head.kind = ExchangeEventKind::Headers;
            this->isUnboundedSuccess = isUnbounded(this->head);
            this->events.push_back(std::move(this->head));
        }
        return true;
    }
    if (line.starts_with("HTTP/")) {
        return this->takeStatusLine(line);
    }
    const size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
        return true;
    }
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = trimmed(line.substr(colon + 1));
    // Readers differ on whether such a length counts; the other HTTP stack refuses it too.
    if (isInterimStatus(this->head.status) && announcesBody(name, value)) {
        this->invalidity = "found an interim answer with a body";
        return false;
    }
    this->head.headers.add(name, value);
    return true;
}

bool Exchange::Implementation::takeStatusLine(std::string_view line)
{
    this->head = ExchangeEvent{};
    this->head.status = statusOf(line);
    if (isFinalStatus(this->head.status) || isInterimStatus(this->head.status)) {
        return true;
    }
    this->invalidity = "found a status that HTTP does not define for this answer; accepted are "
                       "three digits from 100 to 599 without 101";
    return false;
}

// libcurl calls this also for what follows a head that it takes as complete and takeHeaderLine
// doesn't. Such bytes are no body: the transfer fails.
size_t Exchange::Implementation::takeBody(std::string_view bytes)
{
    if (!this->headComplete) {
        this->invalidity = "found a body without a complete head";
        return 0;
    }
    if (this->queuedBytes >= MaximumQueuedBytes) {
        this->paused = true;
        return CURL_WRITEFUNC_PAUSE;
    }
    if (this->events.empty() || this->events.back().kind != ExchangeEventKind::Data) {
        this->events.emplace_back();
        this->events.back().kind = ExchangeEventKind::Data;
    }
    this->events.back().bytes.append(bytes);
    this->queuedBytes += bytes.size();
    return bytes.size();
}

void Exchange::Implementation::runTransfer()
{
    if (this->paused) {
        this->paused = false;
        ::curl_easy_pause(this->channel.easy.get(), CURLPAUSE_CONT);
    }
    int running = 0;
    ::curl_multi_perform(this->channel.multi.get(), &running);
    int waiting = 0;
    while (const CURLMsg *message = ::curl_multi_info_read(this->channel.multi.get(), &waiting)) {
        if (message->msg == CURLMSG_DONE) {
            this->finishTransfer(message->data.result);
            return;
        }
    }
}

// The connection's end delimits an answer only if the target meant it so. One that stopped in an
// upload leaves an orderly end too, if it had read what had arrived. An early error is accepted:
// targets refuse a request that is too long by it.
bool Exchange::Implementation::isCutOff() const
{
    curl_off_t sent = 0;
    ::curl_easy_getinfo(this->channel.easy.get(), CURLINFO_SIZE_UPLOAD_T, &sent);
    return this->isUnboundedSuccess && static_cast<uint64_t>(sent) < this->request.body.size();
}

ExchangeError Exchange::Implementation::errorOf(CURLcode result) const
{
    if (!this->bytesMayBeSent) {
        return ExchangeError::ConnectFailed;
    }
    if (result == CURLE_OK && this->headComplete) {
        return ExchangeError::ConnectionBroken; // It was cut off.
    }
    if (result == CURLE_OPERATION_TIMEDOUT) {
        return ExchangeError::Timeout;
    }
    // libcurl itself refuses status lines and heads of some forms.
    const bool isMalformed = result == CURLE_WEIRD_SERVER_REPLY
                             || result == CURLE_UNSUPPORTED_PROTOCOL || result == CURLE_OK;
    if (isMalformed || !this->invalidity.empty()) {
        return ExchangeError::InvalidAnswer;
    }
    return result == CURLE_PARTIAL_FILE ? ExchangeError::WrongLength
                                        : ExchangeError::ConnectionBroken;
}

std::string Exchange::Implementation::describeError(CURLcode result) const
{
    if (!this->invalidity.empty()) {
        return std::string(this->invalidity);
    }
    if (result == CURLE_OK) {
        return this->headComplete ? "the target ended its answer before it had the request"
                                  : "found no final status";
    }
    return this->errorText[0] == '\0' ? ::curl_easy_strerror(result) : this->errorText.data();
}

void Exchange::Implementation::finishTransfer(CURLcode result)
{
    this->transferEnded = true;
    ExchangeEvent last;
    last.kind = result == CURLE_OK && this->headComplete && !this->isCutOff()
                    ? ExchangeEventKind::End
                    : ExchangeEventKind::Error;
    if (last.kind == ExchangeEventKind::Error) {
        last.error = this->errorOf(result);
        last.message = this->describeError(result);
    }
    const bool isReusable
        = last.kind == ExchangeEventKind::End && this->request.connection == ConnectionUse::Pooled;
    this->events.push_back(std::move(last));
    ::curl_multi_remove_handle(this->channel.multi.get(), this->channel.easy.get());
    if (isReusable) {
        ::curl_easy_reset(this->channel.easy.get()); // Clears the pointers to this exchange.
        std::unique_lock lock(this->channelMutex);
        Channel kept = std::exchange(this->channel, Channel{});
        lock.unlock();
        this->connector->keepIdle(this->origin, std::move(kept));
    }
}

ExchangeEvent Exchange::Implementation::popEvent()
{
    ExchangeEvent event = std::move(this->events.front());
    this->events.pop_front();
    this->queuedBytes -= event.bytes.size();
    this->lastEventReturned
        = event.kind == ExchangeEventKind::End || event.kind == ExchangeEventKind::Error;
    return event;
}

void Exchange::Implementation::close()
{
    if (this->channel.multi != nullptr && this->channel.easy != nullptr && !this->transferEnded) {
        ::curl_multi_remove_handle(this->channel.multi.get(), this->channel.easy.get());
    }
    this->transferEnded = true;
    const std::lock_guard lock(this->channelMutex);
    this->channel.easy.reset();
    this->channel.multi.reset(); // Closes the connection.
}

Exchange::Exchange(std::shared_ptr<Connector> connector, const ClientRequest &request)
    : implementation(std::make_unique<Implementation>())
{
    Implementation &self = *this->implementation;
    self.connector = std::move(connector);
    self.request = request;
    self.origin = originOf(request.url);
    self.headerLines = headerList(request.headers);
    self.channel = self.connector->takeChannel(self.origin);
    self.configure();
    ::curl_multi_add_handle(self.channel.multi.get(), self.channel.easy.get());
}

Exchange::~Exchange()
{
    if (this->implementation != nullptr) {
        this->implementation->close();
    }
}

Exchange::Exchange(Exchange &&other) noexcept = default;

Exchange &Exchange::operator=(Exchange &&other) noexcept
{
    std::swap(this->implementation, other.implementation);
    return *this;
}

ExchangeEvent Exchange::next(core::Duration timeout)
{
    Implementation &self = *this->implementation;
    const auto until = std::chrono::steady_clock::now() + timeout;
    while (!self.lastEventReturned) {
        if (self.events.empty() && !self.transferEnded) {
            self.runTransfer();
        }
        if (!self.events.empty()) {
            return self.popEvent();
        }
        if (self.interrupted.exchange(false) || self.transferEnded) {
            break;
        }
        const auto left = until - std::chrono::steady_clock::now();
        if (left <= left.zero()) {
            break;
        }
        const long wait = millisecondsOf(std::chrono::ceil<core::Duration>(left));
        ::curl_multi_poll(self.channel.multi.get(), nullptr, 0, static_cast<int>(wait), nullptr);
    }
    return {};
}

bool Exchange::bytesMayHaveLeft() const
{
    return this->implementation->bytesMayBeSent;
}

void Exchange::cancel()
{
    this->implementation->lastEventReturned = true;
    this->implementation->close();
}

void Exchange::interrupt()
{
    this->implementation->interrupted = true;
    const std::lock_guard lock(this->implementation->channelMutex);
    CURLM *multi = this->implementation->channel.multi.get();
    if (multi != nullptr) {
        ::curl_multi_wakeup(multi);
    }
}

bool Exchange::finished() const
{
    return this->implementation->lastEventReturned;
}

} // namespace samphirebridge::http
