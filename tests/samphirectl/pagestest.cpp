#include "samphirebridge/manifest/manifestdelta.h"
#include "samphirebridge/manifest/manifestfile.h"
#include "samphirebridge/samphirectl/commandline.h"
#include "samphirebridge/settings/document.h"
#include "samphirebridge/settings/settings.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>

using namespace samphirebridge;

namespace
{

const std::filesystem::path ReferencePages
    = std::filesystem::path(SAMPHIREBRIDGE_ROOT) / "docs" / "reference";

// A complete settings file by section. A page's example replaces the sections that it contains.
constexpr auto SettingsSections = std::to_array<std::pair<std::string_view, std::string_view>>({
    {"instance", "instance: quito-1a\n"},
    {"data_centre", "data_centre: quito-1\n"},
    {"roles", "roles: [entry, control]\n"},
    {"data_folder", "data_folder: /data\n"},
    {"http", "http: {listen: \"0.0.0.0:8080\"}\n"},
    {"rpc", "rpc: {listen: \"0.0.0.0:9080\"}\n"},
    {"peers",
     "peers: [{id: quito-1a, rpc: \"10.0.0.1:9080\", http: \"10.0.0.1:8080\", "
     "data_centre: quito-1, roles: [entry, control]}]\n"},
});

std::string readPage(const std::string &folder, std::string_view name)
{
    std::ifstream stream(ReferencePages / folder / (std::string(name) + ".md"));
    INFO(folder << "/" << name);
    REQUIRE(stream);
    return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

// Returns the names of a folder's pages, without the index.
std::set<std::string> pageNames(const std::string &folder)
{
    std::set<std::string> names;
    for (const auto &entry : std::filesystem::directory_iterator(ReferencePages / folder)) {
        names.insert(entry.path().stem().string());
    }
    CHECK(names.erase("index") == 1);
    return names;
}

// Returns the contents of the page's code blocks in the given language.
std::vector<std::string> examplesOf(const std::string &page, const std::string &language)
{
    const std::string opening = "```" + language + "\n";
    std::vector<std::string> examples;
    size_t begin = page.find(opening);
    while (begin != std::string::npos) {
        begin += opening.size();
        const size_t end = page.find("```", begin);
        REQUIRE(end != std::string::npos);
        examples.push_back(page.substr(begin, end - begin));
        begin = page.find(opening, end);
    }
    return examples;
}

// Adds the sections that the example lacks to make a complete settings file.
std::string completeSettings(const std::string &example)
{
    settings::ProblemCollector problems(core::ErrorCode::InvalidSettings, "page");
    const auto document = settings::readDocument(example, settings::MaximumSettingsBytes, problems);
    REQUIRE(document);
    std::string text = example;
    for (const auto &[key, section] : SettingsSections) {
        const bool given = std::any_of(
            document->children.begin(),
            document->children.end(),
            [key = key](const settings::DocumentNode &node) { return node.key == key; });
        text += given ? "" : section;
    }
    return text;
}

// Returns the expected names of the setting pages: one for each key that is not itself a section.
std::set<std::string> expectedSettings()
{
    std::set<std::string> names;
    for (const settings::SettingSection &section : settings::settingSections()) {
        for (const std::string_view key : section.keys) {
            const std::string prefix = section.name.empty() ? "" : std::string(section.name) + ".";
            names.insert(prefix + std::string(key));
        }
    }
    for (const std::string section : {"http",
                                      "rpc",
                                      "consensus",
                                      "escrow",
                                      "discovery",
                                      "interface",
                                      "link",
                                      "retries",
                                      "fault_injection"}) {
        CHECK(names.erase(section) == 1);
    }
    return names;
}

} // namespace

TEST_CASE("every setting has a page, there is no other page, and the examples are valid settings")
{
    const std::set<std::string> expected = expectedSettings();
    CHECK(pageNames("setting") == expected);
    const std::string index = readPage("setting", "index");
    for (const std::string &name : expected) {
        INFO(name);
        const std::string page = readPage("setting", name);
        CHECK(page.starts_with("# `" + name + "`\n"));
        CHECK(index.find("(" + name + ".md)") != std::string::npos);
        const std::vector<std::string> examples = examplesOf(page, "yaml");
        REQUIRE(examples.size() == 1);
        const auto problems
            = settings::checkSettings(completeSettings(examples[0]), "page").problems;
        INFO(core::messageOf(settings::statusOf(problems)));
        CHECK(problems.empty());
    }
}

TEST_CASE("every key of the manifest is on its page, and the examples are valid manifests")
{
    std::set<std::string> expected;
    for (const manifest::DeclarationKeys &declaration : manifest::declarationKeys()) {
        const std::string name(manifest::kindName(declaration.kind));
        INFO(name);
        expected.insert(name);
        const std::string page = readPage("manifest", name);
        CHECK(page.starts_with(fmt::format("# `{}`\n", declaration.section)));
        for (const std::string_view key : declaration.keys) {
            CHECK(page.find(fmt::format("| `{}` |", key)) != std::string::npos);
        }
        const std::vector<std::string> examples = examplesOf(page, "yaml");
        REQUIRE(examples.size() == 1);
        const auto problems = manifest::checkManifest(examples[0], "page").problems;
        INFO(core::messageOf(settings::statusOf(problems)));
        CHECK(problems.empty());
    }
    CHECK(pageNames("manifest") == expected);
    const std::string service = readPage("manifest", "service");
    for (const std::string_view key : manifest::routeKeys()) {
        CHECK(service.find(fmt::format("| `{}` |", key)) != std::string::npos);
    }
}

TEST_CASE("every command has a page, and the examples are accepted command lines")
{
    std::set<std::string> expected;
    const std::string index = readPage("command", "index");
    for (const std::string_view name : samphirectl::commandNames()) {
        INFO(name);
        expected.emplace(name);
        const std::string page = readPage("command", name);
        CHECK(index.find(fmt::format("({}.md)", name)) != std::string::npos);
        for (const std::string &example : examplesOf(page, "sh")) {
            std::istringstream words(example.substr(example.find("samphirectl ")));
            std::vector<std::string> arguments{std::istream_iterator<std::string>(words), {}};
            arguments.erase(arguments.begin());
            CHECK(samphirectl::parseCommandLine(arguments).ok());
        }
    }
    CHECK(pageNames("command") == expected);
}

TEST_CASE("every usage line belongs to a listed command")
{
    std::istringstream usage{std::string(samphirectl::usageText())};
    std::string line;
    size_t lines = 0;
    while (std::getline(usage, line)) {
        if (!line.starts_with("  samphirectl ") || line.find("--help") != std::string::npos) {
            continue;
        }
        ++lines;
        std::istringstream words(line);
        std::string program;
        std::string first;
        std::string second;
        words >> program >> first >> second;
        const auto names = samphirectl::commandNames();
        const bool listed
            = std::find(names.begin(), names.end(), first) != names.end()
              || std::find(names.begin(), names.end(), fmt::format("{}-{}", first, second))
                     != names.end();
        INFO(line);
        CHECK(listed);
    }
    CHECK(lines == samphirectl::commandNames().size());
}
