// A folder that is removed with everything in it.
#pragma once

#include <filesystem>
#include <string>

namespace samphirebridge::testing
{

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

// Writes a file, replacing what is there.
void writeFile(const std::filesystem::path &path, const std::string &text);

// Returns a file's content; empty if there is none.
std::string readFile(const std::filesystem::path &path);

} // namespace samphirebridge::testing
