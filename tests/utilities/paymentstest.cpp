#include "utilities/standins/payments.h"
#include "tests/utilities/machinehost.h"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>

using namespace samphirebridge;
using namespace samphirebridge::standins;

namespace
{

requests::RequestSpecification payment(proto::RepeatRule rule, const std::string &body)
{
    requests::RequestSpecification specification;
    specification.requestKey = "order-1";
    specification.attemptPrefix = "entry";
    specification.repeat = rule;
    specification.path = "/v1/payments";
    specification.body = body;
    specification.price = core::Tokens{9};
    specification.reservation = core::Tokens{9};
    specification.deadline = core::SteadyClock().now() + std::chrono::seconds(60);
    return specification;
}

int64_t runsOf(const Served<Payments> &payments)
{
    return payments.target.stats()["runs"];
}

} // namespace

TEST_CASE("a payment whose answer breaks runs once and its outcome is told as unknown")
{
    const std::string fault
        = GENERATE(as<std::string>{}, "[break]", "[wrong-length]", "[wrong-attempt]");
    const Served<Payments> payments(PaymentsSettings{});
    const HostedEnd end = host(payment(proto::NEVER, fault), {payments.url()});
    CHECK(runsOf(payments) == 1);
    REQUIRE(end.refuse);
    CHECK(end.refuse->outcome == core::Outcome::Unknown);
    CHECK(end.settle->outcome == core::Outcome::Unknown);
}

TEST_CASE("a payment finds its target after others refused the connection and runs once")
{
    const Served<Payments> payments(PaymentsSettings{});
    const std::string gone = "http://127.0.0.1:1";
    const HostedEnd end = host(payment(proto::NEVER, "{}"), {gone, gone, payments.url()});
    CHECK(end.status == 201);
    CHECK(runsOf(payments) == 1);
    CHECK(end.settle->used == core::Tokens{9});
}

TEST_CASE("a service that deduplicates is sent a broken payment again and runs it once")
{
    PaymentsSettings settings;
    settings.deduplicates = true;
    const Served<Payments> payments(settings);
    requests::RequestSpecification specification
        = payment(proto::TARGET_DEDUPLICATES, "[break@payments-1]");
    specification.maximumAttempts = 3;
    const HostedEnd end = host(specification, {payments.url()});
    CHECK(end.retries.size() == 2);
    CHECK(runsOf(payments) == 1);
}

TEST_CASE("the run log tells each run even if the service is no more")
{
    const auto path = std::filesystem::temp_directory_path()
                      / ("samphirebridge-runs-" + std::to_string(::getpid()));
    {
        PaymentsSettings settings;
        settings.runLog = path.string();
        const Served<Payments> payments(settings);
        host(payment(proto::NEVER, "{}"), {payments.url()});
    }
    std::ifstream file(path);
    std::string line;
    REQUIRE(std::getline(file, line));
    CHECK(nlohmann::json::parse(line)["key"] == "order-1");
    CHECK_FALSE(std::getline(file, line));
    std::filesystem::remove(path);
}
