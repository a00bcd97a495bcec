/// Estimates how much backfill tasks raise the tail latency of serving tasks on
/// the same worker.
#ifndef SYCAMORESPAR_CONTENTION_MODEL_HPP
#define SYCAMORESPAR_CONTENTION_MODEL_HPP

#include "libsycamorespar/clock.hpp"
#include "libsycamorespar/job_graph.hpp"

#include <map>
#include <string>
#include <vector>

namespace sycamorespar {

/// A backfill task on the worker of a serving task.
struct backfill_neighbour
{
    /// Image that it runs.
    std::string image;
    /// Part of the worker's processors that it used during the measurement.
    double share = 0.0;
};

/// An estimate of a load or of contention, with its uncertainty.
struct contention_estimate
{
    /// Load of a serving task, or the load that a neighbour would add if it
    /// used all processors of the worker; a part of the server's capacity.
    double mean = 0.0;
    /// Variance of the mean.
    double variance = 0.0;

    bool operator==(contention_estimate const&) const = default;
};

/// An estimate that a scheduler sends to a runner.
struct contention_hint
{
    /// Image of the serving task.
    std::string serving_image;
    /// Image of the backfill task.
    std::string backfill_image;
    /// Estimated contention of the pair.
    contention_estimate estimate;

    bool operator==(contention_hint const&) const = default;
};

/// Prior estimates and noise parameters of the model.
struct contention_settings
{
    /// Prior for a pair of images without measurements.
    contention_estimate unknown{0.5, 1.0};
    /// Prior for the own load of a serving task without measurements.
    contention_estimate initial_load{0.45, 0.04};
    /// Variance of the load that is derived from one measurement.
    double measurement_variance = 0.0015;
    /// Variance that is added to a serving task's own load each second.
    double own_load_drift = 0.008;
    /// Variance that is added to a pair with each measurement, for a neighbour
    /// on the whole worker.
    double pair_drift = 1e-4;
    /// Latency without load as a part of the lowest tail latency measured for
    /// the image. Below 1 since a task is rarely measured without any load.
    double unloaded_part = 0.8;
    /// Latency without load as a part of the target, for an image without
    /// measurements.
    double default_unloaded_part = 0.25;
};

/// Models a serving task as a queue: its tail latency is the latency without
/// load divided by the server's free part. Backfill tasks reduce the free part
/// in proportion to the processors that they use, so that their contention is
/// additive in load. It is not additive in the tail latency itself, where the
/// same backfill task has little effect at a low load and much at a high one.
/// The own load of a task changes within seconds, while the contention of a
/// pair of images is nearly constant.
class contention_model
{
public:
    explicit contention_model(contention_settings const& settings = {});

    /// Updates the estimates with a measurement of one serving task.
    /// \param tail  its tail latency, as a part of its target; ignored if it is
    /// not positive.
    void observe(
        run_id const& run, std::string const& image, double tail,
        std::vector<backfill_neighbour> const& neighbours, monotonic_time now);
    /// Load that a backfill image adds to a serving image when it uses all
    /// processors of the worker; the prior for an unknown pair.
    contention_estimate
    pair(std::string const& serving, std::string const& backfill) const;
    /// Load of a serving task without backfill tasks; the prior if there is no
    /// measurement.
    double own_load(run_id const& run) const;
    /// Like `own_load()`, but attributes everything above the prediction in the
    /// last measurement to the task itself. Use it where a late reaction costs
    /// more than a needless one: the estimate follows a rising load too slowly.
    double own_load_upper_bound(run_id const& run) const;
    /// Load at which the tail latency of a serving image is this part of its
    /// target.
    double load_at(std::string const& image, double tail) const;
    /// Adopts an estimate if its variance is lower than that of the own one.
    void apply_hint(contention_hint const& hint);
    /// Moves out the estimates of pairs that have been measured and have
    /// changed considerably since the last call.
    std::vector<contention_hint> take_changed_estimates();
    /// All estimates of pairs that have been measured, by the serving image and
    /// the backfill image.
    std::map<std::string, std::map<std::string, contention_estimate>> const&
    pairs() const
    {
        return pairs_;
    }
    /// Removes the own load of a serving task that has ended.
    void forget(run_id const& run);

private:
    struct own_load_state
    {
        contention_estimate estimate;
        monotonic_time seen_at{};
        /// Last measured load less the predicted load of the backfill tasks.
        double last_own_load = 0.0;
    };

    contention_settings settings_;
    std::map<run_id, own_load_state> own_;
    std::map<std::string, std::map<std::string, contention_estimate>> pairs_;
    /// The means that take_changed_estimates() returned last.
    std::map<std::string, std::map<std::string, double>> told_means_;
    /// Lowest tail latency measured for each image, as a part of its target.
    std::map<std::string, double> min_tails_;
};

} // namespace sycamorespar

#endif
