// Temporary folders and small file helpers for tests.
#pragma once

#include <filesystem>
#include <string>

namespace samphirebridge::testing
{

// Creates an empty folder; the destructor removes it with its content.
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    [[nodiscard]] const std::filesystem::path &path() const;

private:
    std::filesystem::path folder;
};

// Writes a file and replaces its previous content.
void writeFile(const std::filesystem::path &path, const std::string &text);

// Returns a file's content, or an empty string if the file cannot be read.
std::string readFile(const std::filesystem::path &path);

} // namespace samphirebridge::testing
