/// Validation of job graphs, and the text format of task ids.
#include "libsycamorespar/job_graph.hpp"

#include <catch2/catch.hpp>

using namespace sycamorespar;

namespace {

job_graph two_steps()
{
    job_graph graph;
    graph.id = job_id{"0123456789abcdef"};
    graph.queue = queue_id{"pricing"};
    graph.steps.resize(2);
    graph.steps[1].after = {0};
    return graph;
}

} // namespace

TEST_CASE("a valid graph has no fault")
{
    CHECK_FALSE(find_fault(two_steps()));
}

TEST_CASE("a step that depends on itself or a later one is a fault")
{
    auto graph = two_steps();
    graph.steps[1].after = {1};
    CHECK(
        find_fault(graph) ==
        "step 1: after names a step that is not before it");
    graph.steps[0].after = {1};
    CHECK(find_fault(graph));
}

TEST_CASE("counts, resources and sizes out of bounds are faults")
{
    auto graph = two_steps();
    graph.steps[0].count = 0;
    CHECK(find_fault(graph));
    graph = two_steps();
    graph.steps[0].need.memory_mib = -1;
    CHECK(find_fault(graph));
    graph = two_steps();
    graph.payload.assign(4001, 'x');
    CHECK(find_fault(graph));
    graph = two_steps();
    graph.steps.clear();
    CHECK(find_fault(graph));
}

TEST_CASE("a task id is parsed back from its text")
{
    task_id const task{job_id{"5c0e7a21d94b36f8"}, 3, 1, 17};
    CHECK(to_string(task) == "5c0e7a21d94b36f8.3.1.17");
    CHECK(parse_task(to_string(task)) == task);
}

TEST_CASE("malformed text is not parsed as a task id")
{
    for (auto const* text :
         {"", "a", ".0.0.0", "a.0.0", "a.0.0.0.0", "a.0.0.x", "a.0.0.",
          "a.-1.0.0", "a.0.0.99999999999"})
        CHECK_FALSE(parse_task(text));
}
