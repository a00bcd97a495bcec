/// Names and categories of job states.
#include "libsycamorespar/job.hpp"

namespace sycamorespar {

char const* to_string(job_state state)
{
    switch (state) {
    case job_state::queued:
        return "queued";
    case job_state::placed:
        return "placed";
    case job_state::running:
        return "running";
    case job_state::stopping:
        return "stopping";
    case job_state::finished:
        return "finished";
    case job_state::failed:
        return "failed";
    case job_state::cancelled:
        return "cancelled";
    case job_state::parked:
        return "parked";
    case job_state::refused:
        return "refused";
    }
    return "unknown";
}

bool is_final(job_state state)
{
    return state == job_state::finished || state == job_state::failed ||
           state == job_state::cancelled || state == job_state::refused;
}

bool is_held(job_state state)
{
    return state == job_state::placed || state == job_state::running ||
           state == job_state::stopping;
}

} // namespace sycamorespar
