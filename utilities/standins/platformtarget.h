// A stand-in for a plain target of the users' platform.
#pragma once

#include "samphirebridge/http/server.h"
#include "utilities/standins/faults.h"
#include "utilities/standins/runlog.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>

namespace samphirebridge::standins
{

struct PlatformTargetSettings {
    std::string id = "target-1";
    std::string runLog; // Path of the run log; empty: none is written.
    std::chrono::milliseconds delay{0}; // The time before an answer begins.
    // The id of a part, in hexadecimal, that crashes the process when an answer to a prompt that
    // holds it is to begin; the last part of a prompt is no such part. Empty: none does.
    std::string crashPart;
    // The number of the announcement from which on it is cold; 0: it never is.
    uint64_t coldFrom = 0;
};

// Runs every request that is meant for it and answers with a signature, like a plain service of the
// platform, or with a stream of events. Faults, in the path or the body of a request: `crash` (the
// process ends), `crash-in=N` (after N milliseconds), `break` (the connection ends within the
// answer, the process goes on), `error` (500), `stream=N` (a stream of N events, or of those after
// Last-Event-Id), `silent=N` (nothing is sent for N milliseconds after the first event), `body=N`
// (a body of N bytes), `hang` (after which the answer doesn't end).
class PlatformTarget
{
public:
    explicit PlatformTarget(const PlatformTargetSettings &settings);

    // Serves one request, as the handler of an http::Server. Called from many threads.
    void serve(const http::Request &request, http::ResponseWriter &writer);

    // Returns the body of an announcement in the platform's format, without where the target
    // listens.
    nlohmann::json heartbeat(bool leaving);

private:
    // Tells whether the prompt holds PlatformTargetSettings::crashPart before its last part.
    [[nodiscard]] bool crashesOn(const http::Request &request) const;

    // Answers with a body of that many bytes, which has no length and doesn't end if `hangs`.
    static void
    sendBody(http::ResponseWriter &writer, const http::Headers &headers, int64_t bytes, bool hangs);

    // Answers with the events up to the given number.
    static void sendEvents(const http::Request &request,
                           http::ResponseWriter &writer,
                           const http::Headers &headers,
                           int64_t count,
                           std::chrono::milliseconds silence);

    PlatformTargetSettings settings;
    Faults faults;
    RunLog log;
    std::atomic<uint64_t> sequence{0};
};

} // namespace samphirebridge::standins
