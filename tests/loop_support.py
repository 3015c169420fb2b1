"""Runs functions as tasks of a scheduler until they end."""

from valeturn.transport.scheduler import Scheduler

FAILED = []  # (task name, error) of tasks that failed since the last `run`


def failing_scheduler():
    """Return a scheduler that keeps the errors of its tasks in FAILED."""
    return Scheduler(on_failure=lambda task, error: FAILED.append((task.name, error)))


def run(scheduler, *functions):
    """Run all functions to their ends and raise the first error; one that hangs is stopped after 20 s."""
    FAILED.clear()
    remaining = [len(functions)]

    def run_one(function):
        try:
            function()
        finally:
            remaining[0] -= 1
            if not remaining[0]:
                scheduler.stop()

    for function in functions:
        scheduler.spawn(run_one, function, name="test")
    scheduler.call_later(20.0, scheduler.stop)
    scheduler.run()
    assert not remaining[0], "hung"
    for _, error in FAILED:
        raise error


class Known:
    """The workloads and tenants that a gateway connection accepts, with their indices."""

    workloads, tenants = {"quote": 0}, {"acme": 0}
