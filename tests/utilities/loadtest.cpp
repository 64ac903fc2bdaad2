#include "tests/utilities/machinehost.h"
#include "utilities/load/plot.h"
#include "utilities/load/runner.h"
#include "utilities/standins/engine.h"

#include "samphirebridge/core/errors.h"

#include <catch2/catch.hpp>

#include <map>

using namespace samphirebridge;
using namespace samphirebridge::load;

namespace
{

Experiment experimentAt(const std::vector<std::string> &urls)
{
    Experiment experiment;
    experiment.seed = 5;
    experiment.duration = std::chrono::milliseconds(200);
    experiment.endpoints = {{"direct", urls}};
    Mix chat;
    chat.name = "chat";
    chat.ratePerSecond = 100;
    Mix plain;
    plain.name = "plain";
    plain.kind = CallKind::Plain;
    plain.path = "/nothing";
    plain.ratePerSecond = 50;
    experiment.mixes = {chat, plain};
    return experiment;
}

} // namespace

TEST_CASE("arrivals depend only on the seed and the round and have the configured rate")
{
    Experiment experiment = experimentAt({"http://127.0.0.1:1"});
    experiment.duration = std::chrono::seconds(100);
    const auto first = arrivalsOf(experiment, 0);
    const auto repeated = arrivalsOf(experiment, 0);
    REQUIRE(first.size() == repeated.size());
    for (size_t i = 0; i < first.size(); ++i) {
        REQUIRE(first[i].at == repeated[i].at);
        REQUIRE(first[i].mix == repeated[i].mix);
        REQUIRE((i == 0 || first[i - 1].at <= first[i].at));
    }
    CHECK(first[0].at != arrivalsOf(experiment, 1)[0].at);
    const double expected = 100.0 * 150.0;
    CHECK(static_cast<double>(first.size()) == Approx(expected).epsilon(0.05));
}

TEST_CASE("an experiment is read, and an invalid one is refused with the line and the reason")
{
    const auto good = readExperiment("seed: 7\nendpoints: [{name: a, urls: [b]}]\n"
                                     "mixes: [{name: c, kind: plain, rate_per_s: 2.5}]\n");
    REQUIRE(good.ok());
    CHECK(good->seed == 7);
    CHECK(good->mixes[0].ratePerSecond == 2.5);
    const std::map<std::string, std::string> bad{
        {"seed: 7\n", "mixes"},
        {"seed: x\n", "seed"},
        {"sead: 7\n", "sead"},
        {"endpoints: [{name: a}]\nmixes: []\n", "urls"},
        {"endpoints: [{name: a, urls: [b]}]\nmixes: [{name: c, rate_per_s: 0}]\n", "rate_per_s"},
        {"- 1\n", "map"},
        {"a: [", "line"},
    };
    for (const auto &[text, mentioned] : bad) {
        CAPTURE(text);
        const auto read = readExperiment(text);
        REQUIRE(core::errorCodeOf(read.status()) == core::ErrorCode::InvalidSettings);
        CHECK(core::messageOf(read.status()).find(mentioned) != std::string_view::npos);
    }
}

TEST_CASE("every arrival is sent once and counted by its outcome")
{
    standins::EngineSettings settings;
    settings.tokenDelay = std::chrono::microseconds(10);
    const standins::ServedTarget<standins::Engine> engine(settings);
    const Experiment experiment = experimentAt({engine.url()});
    Results results;
    uint64_t samples = 0;
    Runner runner(
        experiment,
        results,
        [&samples](const Endpoint &, const Mix &, const CallId &, const Sample &) { ++samples; });
    runner.run();
    std::map<std::string, uint64_t> expected;
    for (const Arrival &arrival : arrivalsOf(experiment, 0)) {
        ++expected[experiment.mixes[arrival.mix].name];
    }
    CHECK(samples == expected["chat"] + expected["plain"]);
    const auto codes = results.codes();
    REQUIRE(codes.size() == 2);
    CHECK(codes[0].code == "ok");
    CHECK(codes[0].count == expected["chat"]);
    CHECK(codes[1].code == "http_404");
    CHECK(codes[1].count == expected["plain"]);
    CHECK(engine.target.stats()["runs"] == expected["chat"]);
    CHECK(engine.target.stats()["tokens"] == expected["chat"] * 32);
}

TEST_CASE("the latency of a request that is sent late counts from its intended start")
{
    http::Client client;
    const auto intended = Clock::now() - std::chrono::hours(1);
    const Sample sample = call(
        client, Mix{}, "http://127.0.0.1:1", {"direct", 0, 0}, intended, std::chrono::seconds(30));
    CHECK(sample.code == "connect_failed");
    CHECK(sample.lag >= std::chrono::hours(1));
    CHECK(sample.total >= std::chrono::hours(1));
}

TEST_CASE("quantiles are those of the successful samples, without the refused ones")
{
    Results results;
    Sample sample;
    sample.code = "ok";
    for (int i = 1; i <= 1000; ++i) {
        sample.total = std::chrono::milliseconds(i);
        results.add("direct", "chat", sample);
    }
    sample.code = "no_target";
    sample.total = std::chrono::hours(1);
    results.add("direct", "chat", sample);
    const auto rows = results.rows();
    const auto total = std::find_if(
        rows.begin(), rows.end(), [](const Row &row) { return row.metric == "total"; });
    REQUIRE(total != rows.end());
    CHECK(total->count == 1000);
    CHECK(total->quantiles[0] == Approx(500).margin(20));
    CHECK(total->quantiles[2] == Approx(990).margin(3));
    CHECK(total->maximum == 1000);
    const std::string plot = renderPlot(rows, "total");
    CHECK(plot.find("<polyline") != std::string::npos);
    CHECK(plot.ends_with("</svg>\n"));
    CHECK(renderPlot({}, "total").ends_with("</svg>\n"));
    CHECK(renderCsv(rows).find("direct,chat,total,1000,500.500") != std::string::npos);
}
