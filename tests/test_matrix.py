"""A sample of the fault matrix with fixed seeds."""

import pytest

from bench import faults
from bench import matrix
from tests import support

PLANS = matrix.make_plans(1, 60)
SAMPLE = PLANS[::14] + PLANS[-12:]


@pytest.mark.parametrize(
    "plan", SAMPLE, ids=lambda plan: matrix.MatrixRow(plan, 1).name
)
def test_row_holds(plan):
    row = matrix.run_row(plan, 1)
    assert row.steps_reached == len(plan)
    assert not row.violations


def test_every_step_and_fault_is_drawn():
    plans = [row for plan in PLANS for row in plan]
    assert {step for step, _ in plans} == set(matrix.STEPS)
    assert {fault for _, fault in plans} == set(faults.FAULTS)


def test_download_on_an_unresponsive_connection_resumes_elsewhere():
    world = support.make_world()
    results = []
    for worker in world.workers.values():
        worker.unresponsive_to = set(world.simulated_nodes)
    for number in range(6):
        entry = world.list_running_nodes()[number % 5]
        label = "file-%d" % number
        results.append(
            world.send_request(entry, "prices", label, class_name="downloads")
        )
    world.run_for(60.0)
    assert [t.outcome.value for t in results] == ["ran"] * 6
