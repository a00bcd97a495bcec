/// How much filling tasks harm the tails of serving tasks beside them.
#ifndef SYCAMORESPAR_CONTENTION_MODEL_HPP
#define SYCAMORESPAR_CONTENTION_MODEL_HPP

#include "libsycamorespar/clock.hpp"
#include "libsycamorespar/job_graph.hpp"

#include <map>
#include <string>
#include <vector>

namespace sycamorespar {

/// A filling task beside a serving one.
struct backfill_neighbour
{
    /// What it runs.
    std::string image;
    /// The part of the worker's cores that it used in the span of the figure.
    double share = 0.0;
};

/// A guess with its uncertainty.
struct contention_estimate
{
    /// The load, or what a neighbour on the whole worker would add to it.
    double mean = 0.0;
    /// The variance of the mean.
    double variance = 0.0;

    bool operator==(contention_estimate const&) const = default;
};

/// What one scheduler or runner knows and another may not.
struct contention_hint
{
    /// What the serving task runs.
    std::string serving_image;
    /// What the filling task runs.
    std::string backfill_image;
    /// What is known of the pair.
    contention_estimate estimate;

    bool operator==(contention_hint const&) const = default;
};

/// What is believed before evidence, and how fast evidence ages.
struct contention_settings
{
    /// What a filler of an unknown image is thought to do.
    contention_estimate unknown{0.5, 1.0};
    /// A serving task that has shown no figure yet.
    contention_estimate initial_load{0.45, 0.04};
    /// The variance of the load that one figure shows.
    double measurement_variance = 0.0015;
    /// The variance that a serving task's own load gains each second.
    double own_load_drift = 0.008;
    /// The variance that each pair gains with each figure.
    double pair_drift = 1e-4;
    /// The time of a request alone, in parts of the least tail that an image
    /// has shown; a task is rarely seen without any load.
    double unloaded_part = 0.8;
    /// The same where no figure was seen, in parts of the target.
    double default_unloaded_part = 0.25;
};

/// Takes a serving task for a queue: its tail is the time of a request alone
/// over the part of the server that is left. Fillers take from that part in
/// proportion to the cores that they use, which makes their harm add up; in
/// the tail itself the same filler shows little at a low load and much at a
/// high one. Each task's own load moves within seconds, the harm of a pair of
/// images hardly.
class contention_model
{
public:
    explicit contention_model(contention_settings const& settings = {});

    /// Learns from the figures of one serving task.
    /// \param tail  its tail, in parts of its target.
    void observe(
        run_id const& run, std::string const& image, double tail,
        std::vector<backfill_neighbour> const& neighbours, monotonic_time now);
    /// What a filler on the whole worker adds to a serving task's load.
    contention_estimate
    pair(std::string const& serving, std::string const& backfill) const;
    /// The load of a serving task without fillers; the usual where no figure
    /// was seen.
    double own_load(run_id const& run) const;
    /// The same, but all that the last figure showed beyond what was expected
    /// counts as the task's own. To be used where acting late costs more than
    /// acting in vain: the estimate follows a rising load too slowly.
    double own_load_upper_bound(run_id const& run) const;
    /// The load at which a serving task's tail reaches this part of its target.
    double load_at(std::string const& image, double tail) const;
    /// Takes over what another knows better.
    void apply_hint(contention_hint const& hint);
    /// Forgets a serving task that has ended.
    void forget(run_id const& run);

private:
    struct own_load_state
    {
        contention_estimate estimate;
        monotonic_time seen_at{};
        /// What the last figure leaves when the fillers' part is taken off.
        double last_residual = 0.0;
    };

    contention_settings settings_;
    std::map<run_id, own_load_state> own_;
    std::map<std::string, std::map<std::string, contention_estimate>> pairs_;
    /// The least tail that an image has shown, in parts of its target.
    std::map<std::string, double> min_tails_;
};

} // namespace sycamorespar

#endif
