/// A job and its progress are created in one write, so that the progress record
/// marks the id as used for as long as it is retained.
#include "records/job_store.hpp"

#include "common/log.hpp"
#include "records/record_keys.hpp"

#include <utility>

namespace sycamorespar {

namespace {

bool is_known_not_run(error const& why)
{
    return why.effect == outcome::not_run;
}

void write_cancellation(
    kv_store const& store, job_id const& job, kv_revision created,
    std::function<void(cancellation)> on_done)
{
    // The job's record exists until the job has ended; without it there is
    // nothing left to cancel.
    kv_write const write{
        {{job_key(job), created}}, {{cancel_key(job), "{}", {}}}, {}};
    store.write(
        write, [job, on_done = std::move(on_done)](auto const& written) {
            if (ok(written)) {
                bool const is_stored = value(written).status ==
                                       kv_write_result::write_status::written;
                on_done(
                    is_stored ? cancellation::accepted
                              : cancellation::has_ended);
                return;
            }
            log_error("cancel_not_stored", failure(written));
            on_done(
                is_known_not_run(failure(written)) ? cancellation::refused
                                                   : cancellation::unknown);
        });
}

} // namespace

char const* to_string(cancellation stored)
{
    switch (stored) {
    case cancellation::accepted:
        return "accepted";
    case cancellation::has_ended:
        return "has_ended";
    case cancellation::no_such_job:
        return "no_such_job";
    case cancellation::refused:
        return "refused";
    case cancellation::unknown:
        return "unknown";
    }
    return "unknown";
}

void store_job(
    kv_store const& store, accepted_job const& job,
    std::function<void(stored_job)> on_done)
{
    auto const& id = job.graph.id;
    kv_write const write{
        {{job_key(id), 0}, {progress_key(id), 0}},
        {{job_key(id), write_job(job), {}},
         {progress_key(id), write_progress({}), {}}},
        {}};
    store.write(
        write,
        [on_done = std::move(on_done)](result<kv_write_result> const& written) {
            if (!ok(written)) {
                log_error("job_not_stored", failure(written));
                on_done(
                    {is_known_not_run(failure(written)) ? acceptance::refused
                                                        : acceptance::unknown,
                     0});
                return;
            }
            on_done({acceptance::accepted, value(written).revision});
        });
}

void find_phase(
    kv_store const& store, job_id const& job,
    std::function<void(result<std::optional<job_phase>>)> on_done)
{
    using found_phase = std::optional<job_phase>;
    store.get(
        progress_key(job), [on_done = std::move(on_done)](
                               result<std::optional<kv_item>> const& found) {
            if (!ok(found)) {
                on_done(failure(found));
                return;
            }
            if (!value(found)) {
                on_done(found_phase{});
                return;
            }
            auto const progress = read_progress(value(found)->value);
            if (ok(progress))
                on_done(found_phase{value(progress).phase});
            else
                on_done(failure(progress));
        });
}

void store_cancellation(
    kv_store const& store, job_id const& job,
    std::function<void(cancellation)> on_done)
{
    store.get(
        progress_key(job), [&store, job, on_done = std::move(on_done)](
                               result<std::optional<kv_item>> const& found) {
            if (!ok(found)) {
                on_done(cancellation::refused);
                return;
            }
            if (!value(found)) {
                on_done(cancellation::no_such_job);
                return;
            }
            write_cancellation(store, job, value(found)->created, on_done);
        });
}

} // namespace sycamorespar
