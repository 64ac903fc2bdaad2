#include "tests/support/temporaryfolder.h"

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace samphirebridge::testing
{

TemporaryFolder::TemporaryFolder()
{
    std::string pattern
        = (std::filesystem::temp_directory_path() / "samphirebridge-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary folder");
    }
    this->folder = pattern;
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
}

const std::filesystem::path &TemporaryFolder::path() const
{
    return this->folder;
}

void writeFile(const std::filesystem::path &path, const std::string &text)
{
    std::ofstream(path, std::ios::binary) << text;
}

std::string readFile(const std::filesystem::path &path)
{
    std::ostringstream text;
    text << std::ifstream(path, std::ios::binary).rdbuf();
    return text.str();
}

} // namespace samphirebridge::testing
