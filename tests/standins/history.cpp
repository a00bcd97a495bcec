/// Writes each line with a single write in append mode, so that several
/// programs can share a file without interleaving their lines.
#include "standins/history.hpp"

#include <chrono>
#include <stdexcept>
#include <utility>

namespace sycamorespar::standins {

history::history(std::string const& path, std::string who)
    : who_(std::move(who))
{
    if (path.empty())
        return;
    file_.reset(std::fopen(path.c_str(), "ae"));
    if (file_ == nullptr)
        throw std::runtime_error("can't open the history file " + path);
}

void history::write(char const* event, nlohmann::json fields)
{
    if (file_ == nullptr)
        return;
    auto const now = std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::steady_clock::now().time_since_epoch());
    fields["t_us"] = now.count();
    fields["who"] = who_;
    fields["event"] = event;
    auto const line = fields.dump() + "\n";
    std::fwrite(line.data(), 1, line.size(), file_.get());
    std::fflush(file_.get());
}

} // namespace sycamorespar::standins
