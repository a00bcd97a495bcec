/// MessagePack encoding of runners' reports and the scheduler's replies.
#ifndef SYCAMORESPAR_RUNNERS_RUNNER_CODEC_HPP
#define SYCAMORESPAR_RUNNERS_RUNNER_CODEC_HPP

#include "libsycamorespar/result.hpp"
#include "libsycamorespar/runner_messages.hpp"

#include <string>

namespace sycamorespar {

/// The path that runners send their reports to.
inline constexpr char const* report_path = "/runner/report";

/// Encodes a report.
std::string write_report(runner_report const& report);
/// Decodes a report; an error of step "runner.report" where it is malformed.
result<runner_report> read_report(std::string const& bytes);

/// Encodes a reply.
std::string write_reply(runner_reply const& reply);
/// Decodes a reply; an error of step "runner.reply" where it is malformed.
result<runner_reply> read_reply(std::string const& bytes);

} // namespace sycamorespar

#endif
