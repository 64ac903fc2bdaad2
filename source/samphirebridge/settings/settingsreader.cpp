#include "samphirebridge/settings/settingsreader.h"

#include "samphirebridge/settings/reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <set>

namespace samphirebridge::settings
{

namespace
{

constexpr std::array<std::string_view, 19> TopKeys{
    "instance",
    "data_centre",
    "data_centre_regions",
    "roles",
    "http",
    "rpc",
    "peers",
    "discovery",
    "interface",
    "link",
    "data_folder",
    "operator_token_sha256",
    "consensus",
    "escrow",
    "retries",
    "fault_injection",
    "shutdown_grace_ms",
    "stop_within_s",
    "log_level",
};
constexpr std::array<std::string_view, 4> HttpKeys{
    "listen",
    "threads",
    "max_body_bytes",
    "max_caller_buffer_bytes",
};
constexpr std::array<std::string_view, 1> RpcKeys{"listen"};
constexpr std::array<std::string_view, 5> PeerKeys{"id", "rpc", "http", "data_centre", "roles"};
constexpr std::array<std::string_view, 2> ConsensusKeys{"heartbeat_ms", "election_timeout_ms"};
constexpr std::array<std::string_view, 1> EscrowKeys{"flush_interval_ms"};
constexpr std::array<std::string_view, 3> DiscoveryKeys{"seeds", "seed_port", "founds_fleet"};
constexpr std::array<std::string_view, 4> InterfaceKeys{
    "callers",
    "readiness",
    "control",
    "limits_known_within_ms",
};
constexpr std::array<std::string_view, 1> LinkKeys{"mbps"};
constexpr std::array<std::string_view, 2> RetryKeys{"share", "slack"};
constexpr std::array<std::string_view, 2> FaultInjectionKeys{"lose_unsynced", "sync_delay_ms"};
constexpr std::array<SettingSection, 11> Sections{{
    {"", TopKeys},
    {"http", HttpKeys},
    {"rpc", RpcKeys},
    {"peers", PeerKeys},
    {"consensus", ConsensusKeys},
    {"escrow", EscrowKeys},
    {"discovery", DiscoveryKeys},
    {"interface", InterfaceKeys},
    {"link", LinkKeys},
    {"retries", RetryKeys},
    {"fault_injection", FaultInjectionKeys},
}};
constexpr std::array<std::string_view, 4> LogLevels{"error", "warning", "info", "debug"};

constexpr std::string_view AcceptedAddress
    = "HOST:PORT with a port from 1 to 65535, IPv6 addresses in brackets";
constexpr std::string_view AcceptedRoles = "a list of entry, control or both";
constexpr size_t MaximumFolderBytes = 1024;
constexpr size_t MaximumRegionBytes = 128;
constexpr size_t MaximumPeers = 1024;

// A value's accepted range and its default.
struct Bounds {
    IntegerRange range;
    int64_t fallback;
};
constexpr Bounds HttpThreads{{1, 4096}, 512};
constexpr Bounds BodyBytes{{1024, 64 << 20}, 1 << 20};
constexpr Bounds CallerBufferBytes{{4096, 64 << 20}, 1 << 20};
constexpr Bounds SyncDelayMs{{0, 60'000}, 0};
constexpr Bounds HeartbeatMs{{10, 10'000}, 100};
constexpr Bounds ElectionTimeoutMs{{50, 60'000}, 1000};
constexpr Bounds FlushIntervalMs{{10, 10'000}, 100};
constexpr Bounds LimitsKnownWithinMs{{0, 3'600'000}, 2000};
constexpr Bounds ShutdownGraceMs{{0, 3'600'000}, 30'000};
constexpr int64_t MinimumHeartbeatsPerElectionTimeout = 3;
constexpr IntegerRange Ports{1, 65535};
constexpr DecimalRange RetryShare{0, 1};
constexpr DecimalRange LinkMbps{0, 1'000'000};
constexpr DecimalRange RetrySlack{0, 1'000'000};
constexpr DecimalRange StopWithinSeconds{0.1, 3600};

// The share of stop_within_s that becomes the shutdown's grace. The rest is left for returning
// escrow, for the leadership transfer and as a margin for a slow machine.
constexpr double ShutdownGraceShare = 0.75;

int64_t readBounded(MapReader &reader, std::string_view key, const Bounds &bounds)
{
    return reader.integer(key, bounds.range, bounds.fallback);
}

core::Duration readMilliseconds(MapReader &reader, std::string_view key, const Bounds &bounds)
{
    return std::chrono::milliseconds(readBounded(reader, key, bounds));
}

Address readAddress(MapReader &reader, std::string_view key, ProblemCollector &problems)
{
    const DocumentNode *node = reader.require(key, AcceptedAddress);
    if (node == nullptr) {
        return {};
    }
    std::optional<Address> address;
    if (node->kind == NodeKind::Scalar) {
        address = parseAddress(node->value);
    }
    if (!address) {
        problems.add(node->line, reader.placeOf(key), describeValue(*node), AcceptedAddress);
    }
    return address.value_or(Address{});
}

Roles readRoles(MapReader &reader, ProblemCollector &problems)
{
    Roles roles;
    const DocumentNode *node = reader.require("roles", AcceptedRoles);
    if (node == nullptr) {
        return roles;
    }
    const Place place = reader.placeOf("roles");
    if (node->kind != NodeKind::List || node->children.empty()) {
        const std::string found
            = node->kind == NodeKind::List ? "an empty list" : describeValue(*node);
        problems.add(node->line, place, found, AcceptedRoles);
        return roles;
    }
    for (size_t index = 0; index < node->children.size(); ++index) {
        const DocumentNode &item = node->children[index];
        const bool isEntry = item.value == "entry" && !roles.entry;
        const bool isControl = item.value == "control" && !roles.control;
        roles.entry = roles.entry || isEntry;
        roles.control = roles.control || isControl;
        if (!isEntry && !isControl) {
            problems.add(item.line,
                         Place{.parent = &place, .index = index},
                         describeValue(item),
                         "entry or control, each once");
        }
    }
    return roles;
}

std::string describeRoles(Roles roles)
{
    if (roles.entry && roles.control) {
        return "[entry, control]";
    }
    return roles.entry ? "[entry]" : "[control]";
}

// Returns the key's map, or an empty one if the key is absent, so that every value in it gets its
// default.
const DocumentNode &sectionOrEmpty(MapReader &top, std::string_view key)
{
    static const DocumentNode empty{.kind = NodeKind::Map};
    const DocumentNode *node = top.find(key);
    return node == nullptr ? empty : *node;
}

void readHttp(MapReader &top, Settings &settings, ProblemCollector &problems)
{
    const DocumentNode *node = top.require("http", "a map with listen");
    if (node == nullptr) {
        return;
    }
    const Place place = top.placeOf("http");
    MapReader reader(*node, place, HttpKeys, problems);
    settings.http.listen = readAddress(reader, "listen", problems);
    settings.http.threads = static_cast<uint32_t>(readBounded(reader, "threads", HttpThreads));
    settings.http.maxBodyBytes
        = static_cast<uint64_t>(readBounded(reader, "max_body_bytes", BodyBytes));
    settings.http.maxCallerBufferBytes
        = static_cast<uint64_t>(readBounded(reader, "max_caller_buffer_bytes", CallerBufferBytes));
}

void readRpc(MapReader &top, Settings &settings, ProblemCollector &problems)
{
    const DocumentNode *node = top.require("rpc", "a map with listen");
    if (node == nullptr) {
        return;
    }
    const Place place = top.placeOf("rpc");
    MapReader reader(*node, place, RpcKeys, problems);
    settings.rpcListen = readAddress(reader, "listen", problems);
    const bool hasAddress = settings.rpcListen.port != 0;
    if (hasAddress && settings.rpcListen == settings.http.listen) {
        problems.add(reader.line(),
                     reader.placeOf("listen"),
                     "the address of http.listen",
                     "an address other than http.listen");
    }
}

Peer readPeer(const DocumentNode &node, const Place &place, ProblemCollector &problems)
{
    MapReader reader(node, place, PeerKeys, problems);
    Peer peer;
    peer.id = core::InstanceId(reader.name("id"));
    peer.rpc = readAddress(reader, "rpc", problems);
    peer.http = readAddress(reader, "http", problems);
    peer.dataCentre = core::DataCentreId(reader.name("data_centre"));
    peer.roles = readRoles(reader, problems);
    return peer;
}

// Reads the region of one data centre. A data centre without one, by no value or an empty text, is
// in no region: a template may render a missing value as either.
std::string readRegion(const DocumentNode &node, const Place &place, ProblemCollector &problems)
{
    const bool isEmpty
        = node.kind == NodeKind::Null || (node.kind == NodeKind::Scalar && node.value.empty());
    if (isEmpty) {
        return {};
    }
    return readText(node, place, MaximumRegionBytes, problems).value_or("");
}

// Reads the regions of the data centres. A key without a value is accepted like an empty map, since
// that is what a template renders for an empty table.
void readDataCentreRegions(MapReader &top, Settings &settings, ProblemCollector &problems)
{
    const DocumentNode *node = top.find("data_centre_regions");
    if (node == nullptr || node->kind == NodeKind::Null) {
        return;
    }
    const Place place = top.placeOf("data_centre_regions");
    if (node->kind != NodeKind::Map) {
        problems.add(
            node->line, place, describeValue(*node), "a map of data centres to their regions");
        return;
    }
    for (const DocumentNode &child : node->children) {
        const Place childPlace{.parent = &place, .key = child.key};
        if (!core::checkName(child.key).ok()) {
            problems.add(child.line,
                         childPlace,
                         "a key that names no data centre",
                         "1 to 128 letters, digits, '-', '_', '.', '/'");
            continue;
        }
        const std::string region = readRegion(child, childPlace, problems);
        if (!settings.dataCentreRegions.emplace(child.key, region).second) {
            problems.add(
                child.line, childPlace, "the data centre a second time", "each data centre once");
        }
    }
}

// Reports ids and addresses that occur in more than one peer.
class DuplicatePeerCheck
{
public:
    explicit DuplicatePeerCheck(ProblemCollector &problems)
        : problems(problems)
    {
    }

    void check(const Peer &peer, const DocumentNode &node, const Place &place)
    {
        if (!peer.id.empty() && !this->ids.insert(peer.id.value).second) {
            this->add(node, Place{.parent = &place, .key = "id"}, peer.id.value);
        }
        this->checkAddress(peer.rpc, node, Place{.parent = &place, .key = "rpc"});
        this->checkAddress(peer.http, node, Place{.parent = &place, .key = "http"});
    }

private:
    void checkAddress(const Address &address, const DocumentNode &node, const Place &place)
    {
        if (address.port != 0 && !this->addresses.insert(formatAddress(address)).second) {
            this->add(node, place, formatAddress(address));
        }
    }

    void add(const DocumentNode &node, const Place &place, std::string_view value)
    {
        this->problems.add(node.line,
                           place,
                           fmt::format("'{}' a second time", value),
                           "a value that no other peer has");
    }

    ProblemCollector &problems;
    std::set<std::string> ids;
    std::set<std::string> addresses;
};

// Reads the peers, which may be absent only with discovery. At least one must have the role
// control.
void readPeers(MapReader &top, Settings &settings, ProblemCollector &problems)
{
    if (top.find("discovery") != nullptr && top.find("peers") == nullptr) {
        return;
    }
    const std::string accepted
        = fmt::format("a list of 1 to {} instances, this one included", MaximumPeers);
    const DocumentNode *node = top.require("peers", accepted);
    if (node == nullptr) {
        return;
    }
    const std::span<const DocumentNode> items = top.list("peers");
    const Place place = top.placeOf("peers");
    if (node->kind == NodeKind::List && (items.empty() || items.size() > MaximumPeers)) {
        problems.add(node->line, place, fmt::format("{} items", items.size()), accepted);
        return;
    }
    DuplicatePeerCheck duplicates(problems);
    bool hasVoter = false;
    for (size_t index = 0; index < items.size(); ++index) {
        const Place itemPlace{.parent = &place, .index = index};
        settings.peers.push_back(readPeer(items[index], itemPlace, problems));
        duplicates.check(settings.peers.back(), items[index], itemPlace);
        hasVoter = hasVoter || settings.peers.back().roles.control;
    }
    if (!items.empty() && !hasVoter) {
        problems.add(node->line, place, "no peer with the role control", "at least one");
    }
}

// Reads an address whose key may be absent; that is no problem.
std::optional<Address>
readOptionalAddress(MapReader &reader, std::string_view key, ProblemCollector &problems)
{
    if (reader.find(key) == nullptr) {
        return std::nullopt;
    }
    return readAddress(reader, key, problems);
}

// Reads the seeds' addresses. A seed_port replaces the port of each.
std::vector<Address> readSeeds(MapReader &reader, ProblemCollector &problems)
{
    std::vector<Address> seeds;
    const int64_t port = reader.integer("seed_port", Ports, 0);
    const Place place = reader.placeOf("seeds");
    const std::span<const DocumentNode> items = reader.list("seeds");
    for (size_t index = 0; index < items.size(); ++index) {
        const DocumentNode &item = items[index];
        std::optional<Address> seed;
        if (item.kind == NodeKind::Scalar) {
            seed = parseAddress(item.value);
        }
        if (!seed) {
            problems.add(item.line,
                         Place{.parent = &place, .index = index},
                         describeValue(item),
                         AcceptedAddress);
            continue;
        }
        seed->port = port > 0 ? static_cast<uint16_t>(port) : seed->port;
        seeds.push_back(*seed);
    }
    return seeds;
}

// Reads the section discovery and checks that the instance's id is its rpc address: without a list
// of peers, others reach an instance by its id alone.
void readDiscovery(MapReader &top, Settings &settings, ProblemCollector &problems)
{
    const DocumentNode *node = top.find("discovery");
    if (node == nullptr) {
        return;
    }
    const Place place = top.placeOf("discovery");
    MapReader reader(*node, place, DiscoveryKeys, problems);
    DiscoverySettings discovery;
    discovery.foundsFleet = reader.boolean("founds_fleet", false);
    discovery.seeds = readSeeds(reader, problems);
    settings.discovery = std::move(discovery);
    const std::string address = formatAddress(settings.rpcListen);
    const DocumentNode *instance = top.find("instance");
    if (instance != nullptr && settings.rpcListen.port != 0 && settings.instance.value != address) {
        problems.add(
            instance->line,
            top.placeOf("instance"),
            describeValue(*instance),
            fmt::format("'{}', the address of rpc.listen, since discovery is set", address));
    }
}

void readInterface(MapReader &top, Settings &settings, ProblemCollector &problems)
{
    const Place place = top.placeOf("interface");
    MapReader reader(sectionOrEmpty(top, "interface"), place, InterfaceKeys, problems);
    settings.interface.callers = readOptionalAddress(reader, "callers", problems);
    settings.interface.readiness = readOptionalAddress(reader, "readiness", problems);
    settings.interface.control = readOptionalAddress(reader, "control", problems);
    settings.interface.limitsKnownWithin
        = readMilliseconds(reader, "limits_known_within_ms", LimitsKnownWithinMs);
}

void readLink(MapReader &top, Settings &settings, ProblemCollector &problems)
{
    const Place place = top.placeOf("link");
    MapReader reader(sectionOrEmpty(top, "link"), place, LinkKeys, problems);
    settings.link.mbps = reader.decimal("mbps", LinkMbps, settings.link.mbps);
}

void readRetries(MapReader &top, Settings &settings, ProblemCollector &problems)
{
    const Place place = top.placeOf("retries");
    MapReader reader(sectionOrEmpty(top, "retries"), place, RetryKeys, problems);
    RetrySettings &retries = settings.retries;
    retries.share = reader.decimal("share", RetryShare, retries.share);
    retries.slack = reader.decimal("slack", RetrySlack, retries.slack);
}

void readFaultInjection(MapReader &top, Settings &settings, ProblemCollector &problems)
{
    const Place place = top.placeOf("fault_injection");
    MapReader reader(sectionOrEmpty(top, "fault_injection"), place, FaultInjectionKeys, problems);
    FaultInjectionSettings &faults = settings.faultInjection;
    faults.losesUnsynced = reader.boolean("lose_unsynced", faults.losesUnsynced);
    faults.syncDelay = readMilliseconds(reader, "sync_delay_ms", SyncDelayMs);
}

// Reads the shutdown's grace. A stop_within_s takes precedence over shutdown_grace_ms.
void readShutdown(MapReader &top, Settings &settings)
{
    settings.shutdownGrace = readMilliseconds(top, "shutdown_grace_ms", ShutdownGraceMs);
    if (top.find("stop_within_s") != nullptr) {
        const double seconds = top.decimal("stop_within_s", StopWithinSeconds, 0);
        settings.shutdownGrace = std::chrono::duration_cast<core::Duration>(
            std::chrono::duration<double>(seconds * ShutdownGraceShare));
    }
}

// Checks that the peers include this instance, with the data centre and roles that this file gives.
void checkOwnPeer(MapReader &top, const Settings &settings, ProblemCollector &problems)
{
    if (settings.instance.empty() || settings.peers.empty()) {
        return;
    }
    const auto self
        = std::find_if(settings.peers.begin(), settings.peers.end(), [&settings](const Peer &peer) {
              return peer.id == settings.instance;
          });
    if (self == settings.peers.end()) {
        problems.add(top.find("peers")->line,
                     top.placeOf("peers"),
                     fmt::format("no peer '{}'", settings.instance.value),
                     "a list that includes this instance");
        return;
    }
    const DocumentNode *dataCentre = top.find("data_centre");
    if (dataCentre != nullptr && self->dataCentre != settings.dataCentre) {
        problems.add(
            dataCentre->line,
            top.placeOf("data_centre"),
            describeValue(*dataCentre),
            fmt::format("'{}', as this instance's peers entry says", self->dataCentre.value));
    }
    const DocumentNode *roles = top.find("roles");
    if (roles != nullptr && self->roles != settings.roles) {
        problems.add(
            roles->line,
            top.placeOf("roles"),
            describeRoles(settings.roles),
            fmt::format("{}, as this instance's peers entry says", describeRoles(self->roles)));
    }
}

void readDataFolder(MapReader &top, Settings &settings, ProblemCollector &problems)
{
    const DocumentNode *node = top.find("data_folder");
    const Place place = top.placeOf("data_folder");
    if (node == nullptr) {
        if (settings.roles.control) {
            problems.add(top.line(), place, "nothing", "a folder, since the roles include control");
        }
        return;
    }
    settings.dataFolder = top.text("data_folder", MaximumFolderBytes, std::nullopt);
    if (settings.roles.entry && !settings.roles.control) {
        problems.add(
            node->line, place, describeValue(*node), "no data folder without the role control");
    }
}

void readOperatorTokens(MapReader &top, Settings &settings, ProblemCollector &problems)
{
    const std::span<const DocumentNode> items = top.list("operator_token_sha256");
    const Place place = top.placeOf("operator_token_sha256");
    for (size_t index = 0; index < items.size(); ++index) {
        const Place itemPlace{.parent = &place, .index = index};
        std::optional<std::string> digest = readDigest(items[index], itemPlace, problems);
        if (!digest) {
            continue;
        }
        std::vector<std::string> &digests = settings.operatorTokenDigests;
        if (std::find(digests.begin(), digests.end(), *digest) != digests.end()) {
            problems.add(items[index].line, itemPlace, "a digest a second time", "each once");
            continue;
        }
        digests.push_back(std::move(*digest));
    }
}

void readConsensus(MapReader &top, Settings &settings, ProblemCollector &problems)
{
    const Place place = top.placeOf("consensus");
    const DocumentNode &node = sectionOrEmpty(top, "consensus");
    MapReader reader(node, place, ConsensusKeys, problems);
    settings.consensus.heartbeat = readMilliseconds(reader, "heartbeat_ms", HeartbeatMs);
    settings.consensus.electionTimeout
        = readMilliseconds(reader, "election_timeout_ms", ElectionTimeoutMs);
    if (settings.consensus.electionTimeout
        < MinimumHeartbeatsPerElectionTimeout * settings.consensus.heartbeat) {
        problems.add(node.line,
                     reader.placeOf("election_timeout_ms"),
                     fmt::format("{}", settings.consensus.electionTimeout.count() / 1000),
                     fmt::format("at least {} times heartbeat_ms ({})",
                                 MinimumHeartbeatsPerElectionTimeout,
                                 settings.consensus.heartbeat.count() / 1000));
    }
}

void readEscrow(MapReader &top, Settings &settings, ProblemCollector &problems)
{
    const Place place = top.placeOf("escrow");
    MapReader reader(sectionOrEmpty(top, "escrow"), place, EscrowKeys, problems);
    settings.escrowFlushInterval = readMilliseconds(reader, "flush_interval_ms", FlushIntervalMs);
}

} // namespace

std::span<const SettingSection> settingSections()
{
    return Sections;
}

Settings readSettings(const DocumentNode &document, ProblemCollector &problems)
{
    Settings settings;
    const Place root;
    MapReader top(document, root, TopKeys, problems);
    if (document.kind != NodeKind::Map) {
        return settings;
    }
    settings.instance = core::InstanceId(top.name("instance"));
    settings.dataCentre = core::DataCentreId(top.name("data_centre"));
    readDataCentreRegions(top, settings, problems);
    settings.roles = readRoles(top, problems);
    readHttp(top, settings, problems);
    readRpc(top, settings, problems);
    readDiscovery(top, settings, problems);
    readInterface(top, settings, problems);
    readPeers(top, settings, problems);
    checkOwnPeer(top, settings, problems);
    readDataFolder(top, settings, problems);
    readOperatorTokens(top, settings, problems);
    readConsensus(top, settings, problems);
    readEscrow(top, settings, problems);
    readFaultInjection(top, settings, problems);
    readLink(top, settings, problems);
    readRetries(top, settings, problems);
    readShutdown(top, settings);
    const auto info = static_cast<size_t>(LogLevel::Info);
    settings.logLevel = static_cast<LogLevel>(top.choice("log_level", LogLevels, info));
    return settings;
}

} // namespace samphirebridge::settings
