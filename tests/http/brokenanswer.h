// Answers of a target that tests cut off at each of their bytes.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::http
{

// An answer as a target sends it, and which of its beginnings make up what.
struct BreakableAnswer {
    std::string text;
    size_t headBytes = 0; // Up to the end of the final head, interim answers included.
    size_t completeBytes = 0; // The shortest beginning that is complete when the connection ends.
    size_t bodyBytes = 0; // The shortest beginning with the whole body, up to its last chunk.
    bool endsWithConnection = false; // It has no length, so a reset leaves it incomplete.
    bool toHead = false; // It answers a HEAD request.
    int status = 200;

    // Tells whether the first `bytes` of it are a complete answer if the connection then ends.
    [[nodiscard]] bool isComplete(size_t bytes, bool reset) const
    {
        return bytes >= this->completeBytes && !(reset && this->endsWithConnection);
    }
};

// How the body of an answer is delimited.
enum class BodyEnd {
    Framed, // By a length or the last chunk.
    Connection,
    Head, // There is no body.
};

inline BreakableAnswer
breakableAnswer(std::string_view head, std::string_view body, BodyEnd end, bool toHead = false)
{
    BreakableAnswer answer;
    answer.text = std::string(head) + std::string(body);
    answer.headBytes = head.size();
    answer.completeBytes = end == BodyEnd::Framed ? answer.text.size() : head.size();
    // A reader may take a body as complete once its last chunk is there (RFC 9112, section 8).
    const size_t lastChunk = answer.text.rfind("\r\n0\r\n");
    answer.bodyBytes = lastChunk == std::string::npos ? answer.completeBytes : lastChunk + 5;
    answer.endsWithConnection = end == BodyEnd::Connection;
    answer.toHead = toHead;
    answer.status = std::stoi(answer.text.substr(answer.text.rfind("HTTP/1.1 ") + 9, 3));
    return answer;
}

// Returns an answer of each form of framing.
inline std::vector<BreakableAnswer> breakableAnswers()
{
    constexpr std::string_view ChunkedBody = "5\r\nfirst\r\nA;x=1\r\nten bytes!\r\n0\r\n\r\n";
    constexpr std::string_view Events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    return {
        breakableAnswer("HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 12\r\n\r\n",
                        "twelve bytes",
                        BodyEnd::Framed),
        breakableAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: mine\r\n\r\n",
                        ChunkedBody,
                        BodyEnd::Framed),
        breakableAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: mine\r\n\r\n",
                        "4\r\nbody\r\n0\r\nX-Trailer: 1\r\n\r\n",
                        BodyEnd::Framed),
        breakableAnswer("HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\n", "to the end", BodyEnd::Connection),
        breakableAnswer("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Id: mine\r\n\r\n",
                        Events,
                        BodyEnd::Connection),
        breakableAnswer("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n"
                        "\r\nHTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 4\r\n\r\n",
                        "body",
                        BodyEnd::Framed),
        breakableAnswer("HTTP/1.1 103 Early Hints\r\nX-Id: mine\r\n\r\n"
                        "HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\n",
                        "to the end",
                        BodyEnd::Connection),
        breakableAnswer(
            "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 12\r\n\r\n", "", BodyEnd::Head, true),
        breakableAnswer("HTTP/1.1 204 No Content\r\nX-Id: mine\r\n\r\n", "", BodyEnd::Head),
        breakableAnswer("HTTP/1.1 304 Not Modified\r\nX-Id: mine\r\nContent-Length: 12\r\n\r\n",
                        "",
                        BodyEnd::Head),
        breakableAnswer(
            "HTTP/1.1 200 OK\nX-Id: mine\nContent-Length: 4\n\n", "body", BodyEnd::Framed),
        breakableAnswer("HTTP/1.1 200 OK\nX-Id: mine\n\n", "to the end", BodyEnd::Connection),
    };
}

} // namespace samphirebridge::http
