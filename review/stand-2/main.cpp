/// Usage: review-stand-2 CASE RECORD, in the repository; TROUBLE=0 leaves out
/// the disruption.
#include "cases.hpp"

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <map>
#include <unistd.h>

using namespace review;

namespace {

class temporary_folder
{
public:
    temporary_folder()
    {
        path_ = std::filesystem::temp_directory_path() /
                ("review-stand-2-" + std::to_string(::getpid()));
        std::filesystem::create_directories(path_);
    }
    ~temporary_folder()
    {
        std::error_code ignored;
        if (std::getenv("KEEP") == nullptr)
            std::filesystem::remove_all(path_, ignored);
    }
    std::string path() const { return path_.string(); }

private:
    std::filesystem::path path_;
};

} // namespace

int main(int count, char** texts)
{
    std::map<std::string, verdict (*)(world_settings const&)> const cases = {
        {"long-watch", &run_long_watch},
        {"overdue", &run_overdue},
        {"half-answer", &run_half_answer},
        {"dark-minion", &run_dark_minion}};
    if (count != 3 || !cases.contains(texts[1])) {
        std::cerr << "usage: review-stand-2 CASE RECORD\n";
        return static_cast<int>(verdict::not_run);
    }
    temporary_folder const folder;
    char const* const trouble = std::getenv("TROUBLE");
    world_settings settings;
    settings.programs = "target";
    settings.worker_program = "target/review-stand-2/standin-platform_worker";
    settings.templates = "platform";
    settings.folder = folder.path();
    settings.record = texts[2];
    settings.has_trouble = trouble == nullptr || std::string(trouble) != "0";
    try {
        return static_cast<int>(cases.at(texts[1])(settings));
    } catch (std::exception const& fault) {
        std::cerr << "review-stand-2: " << fault.what() << "\n";
        return static_cast<int>(verdict::not_run);
    }
}
