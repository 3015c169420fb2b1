"""Functions run as tasks of a scheduler until they end."""

from valeturn.transport.scheduler import Scheduler

FAILED = []


def failing_scheduler():
    return Scheduler(on_failure=lambda task, error: FAILED.append((task.name, error)))


def run(scheduler, *functions):
    """Runs all to their ends and stops; a test that hangs is stopped after 20 s."""
    FAILED.clear()
    left = [len(functions)]

    def whole(function):
        try:
            function()
        finally:
            left[0] -= 1
            if not left[0]:
                scheduler.stop()

    for function in functions:
        scheduler.spawn(whole, function, name="test")
    scheduler.call_later(20.0, scheduler.stop)
    scheduler.run()
    assert not left[0], "hung"
    for _, error in FAILED:
        raise error


class Known:
    """The names that a submission may bear."""

    workloads, tenants = {"quote": 0}, {"acme": 0}
