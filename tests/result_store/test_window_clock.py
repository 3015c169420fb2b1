"""Deduplication windows while clocks are set and the machine is rebooted."""

import pytest


@pytest.mark.parametrize(
    "step, reboot, down, still",
    [
        (0, False, 5, True),
        (0, False, 40, False),  # the window ends while the server is down
        (3600, False, 5, True),
        (-3600, False, 5, True),
        (-3600, False, 40, False),  # the wall clock is set
        (0, True, 5, True),
        (0, True, 40, False),
        (-3600, True, 40, True),
    ],
)  # the last case: set back during a reboot, which lengthens the window
def test_windows_survive_restart_with_stepped_wall_clock(machine, step, reboot, down, still):
    machine.start()
    machine.complete("a", 1)
    machine.kill()
    machine.pass_time(down)
    machine.wall += step
    if reboot:
        machine.boot, machine.boot_id = 3.0, "second"
    machine.start()
    assert (machine.ask("a")[0] == "answer") is still


def test_stepped_wall_clock_moves_no_window_while_server_runs(machine):
    machine.start()
    machine.complete("a", 1)
    machine.wall += 1e6
    assert machine.ask("a")[0] == "answer"
    machine.wall -= 2e6
    machine.pass_time(40)
    assert machine.ask("a")[0] == "execute"


def test_extended_window_does_not_end_at_its_old_second(machine):
    machine.start()
    machine.complete("a", 1, window=2.0)
    machine.pass_time(3)
    machine.complete("a", 2, b"second", window=60.0)
    machine.run_maintenance(450)
    assert machine.ask("a") == ("answer", b"second")
