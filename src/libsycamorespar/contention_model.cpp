/// A Kalman filter on loads that keeps only the diagonal of the covariance. A
/// measurement is one equation over the task's own load and all neighbours; the
/// prediction error is distributed by the variance that each contributes.
#include "libsycamorespar/contention_model.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace sycamorespar {

namespace {

/// A change of a pair's mean by this much is worth a line in the log.
constexpr double considerable_change = 0.25;

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

void correct(
    contention_estimate& part, double presence, double gain, double total)
{
    auto const before = part.variance;
    part.mean += presence * before * gain;
    part.variance = before * (1.0 - presence * presence * before / total);
}

} // namespace

contention_model::contention_model(contention_settings const& settings)
    : settings_(settings)
{}

contention_estimate contention_model::pair(
    std::string const& serving, std::string const& backfill) const
{
    auto const found = pairs_.find(serving);
    if (found == pairs_.end())
        return settings_.unknown;
    auto const known = found->second.find(backfill);
    return known == found->second.end() ? settings_.unknown : known->second;
}

double contention_model::own_load(run_id const& run) const
{
    auto const found = own_.find(run);
    return found == own_.end() ? settings_.initial_load.mean
                               : found->second.estimate.mean;
}

double contention_model::own_load_upper_bound(run_id const& run) const
{
    auto const found = own_.find(run);
    return found == own_.end()
               ? settings_.initial_load.mean
               : std::max(
                     found->second.estimate.mean, found->second.last_own_load);
}

double contention_model::load_at(std::string const& image, double tail) const
{
    auto const found = min_tails_.find(image);
    auto const alone = found == min_tails_.end()
                           ? settings_.default_unloaded_part
                           : found->second * settings_.unloaded_part;
    return 1.0 - std::min(alone / tail, 1.0);
}

void contention_model::apply_hint(contention_hint const& hint)
{
    auto& known = pairs_[hint.serving_image];
    auto const added =
        known.try_emplace(hint.backfill_image, settings_.unknown);
    if (hint.estimate.variance < added.first->second.variance)
        added.first->second = hint.estimate;
}

std::vector<contention_hint> contention_model::take_changed_estimates()
{
    std::vector<contention_hint> changed;
    for (auto const& [serving, backfills] : pairs_) {
        for (auto const& [backfill, estimate] : backfills) {
            auto const [told, is_new] = told_means_[serving].try_emplace(
                backfill, settings_.unknown.mean);
            bool const is_measured =
                estimate.variance < settings_.unknown.variance;
            bool const has_changed =
                is_new ||
                std::abs(told->second - estimate.mean) >= considerable_change;
            if (!is_measured || !has_changed)
                continue;
            told->second = estimate.mean;
            changed.push_back({serving, backfill, estimate});
        }
    }
    return changed;
}

void contention_model::forget(run_id const& run)
{
    own_.erase(run);
}

void contention_model::observe(
    run_id const& run, std::string const& image, double tail,
    std::vector<backfill_neighbour> const& neighbours, monotonic_time now)
{
    if (tail <= 0.0)
        return;
    auto& min_tail = min_tails_.try_emplace(image, tail).first->second;
    min_tail = std::min(min_tail, tail);
    auto const measured = load_at(image, tail);
    auto& own =
        own_.try_emplace(run, own_load_state{settings_.initial_load, now, 0.0})
            .first->second;
    own.estimate.variance +=
        settings_.own_load_drift * seconds(now - own.seen_at);
    own.seen_at = now;
    std::map<std::string, double> shares;
    for (auto const& each : neighbours)
        shares[each.image] += each.share;
    auto& known = pairs_[image];
    double predicted = own.estimate.mean;
    double total = own.estimate.variance + settings_.measurement_variance;
    for (auto const& [backfill, share] : shares) {
        auto const& pair =
            known.try_emplace(backfill, settings_.unknown).first->second;
        predicted += share * pair.mean;
        total += share * share * pair.variance;
    }
    auto const gain = (measured - predicted) / total;
    own.last_own_load = own.estimate.mean + measured - predicted;
    correct(own.estimate, 1.0, gain, total);
    own.estimate.mean = std::clamp(own.estimate.mean, 0.0, 1.0);
    for (auto const& [backfill, share] : shares) {
        auto& pair = known.at(backfill);
        correct(pair, share, gain, total);
        pair.mean = std::max(pair.mean, 0.0);
        pair.variance = std::min(
            pair.variance + settings_.pair_drift * share,
            settings_.unknown.variance);
    }
}

} // namespace sycamorespar
