"""One server's drain: which instructions it carries out, and when it stops waiting."""

import pytest

from valeturn.maintenance.local_drain import LocalDrain, LocalDrainEffect, LocalDrainInput, LocalDrainState


def make_drain():
    return LocalDrain(0.0, response_validity=1.5, leader_timeout=10.0)


def test_late_or_outdated_instruction_is_rejected_right_before_its_effect():
    drain = make_drain()
    report_time = drain.record_report(1.0)
    assert drain.receive_instruction(2.6, report_time, "out", 3) is None
    assert drain.rejected_count == 1
    assert drain.state == LocalDrainState.SERVING
    assert drain.receive_instruction(1.2, 0.7, "out", 3) is None, "it answers no report of this server"
    assert drain.receive_instruction(1.2, report_time, "out", 3) is LocalDrainEffect.START_DRAIN
    assert drain.fencing_token == 3
    assert drain.complete_drain(2.0) is LocalDrainEffect.REPORT_DRAINED
    assert drain.state == LocalDrainState.DRAINED
    report_time = drain.record_report(2.1)
    assert drain.receive_instruction(2.2, report_time, "work", 2) is None
    assert drain.receive_instruction(2.2, report_time, "work", 4) is None
    assert drain.receive_instruction(2.2, report_time, "work", 3) is LocalDrainEffect.START_MAINTENANCE
    assert drain.state == LocalDrainState.IN_MAINTENANCE


@pytest.mark.parametrize(
    "earlier_inputs",
    [
        [],
        [LocalDrainInput.DRAIN_GRANTED],
        [LocalDrainInput.DRAIN_GRANTED, LocalDrainInput.DRAIN_COMPLETED],
    ],
)
def test_termination_signal_takes_precedence_over_maintenance(earlier_inputs):
    drain = make_drain()
    for received in earlier_inputs:
        drain.step(0.0, received)
    effect = drain.receive_termination_signal(1.0)
    assert effect in (LocalDrainEffect.SHUT_DOWN, LocalDrainEffect.EXIT)
    assert drain.state == LocalDrainState.SHUTTING_DOWN
    assert drain.receive_instruction(1.0, drain.record_report(1.0), "out", 9) is None


def test_drained_server_exits_when_no_leader_answers_for_too_long():
    drain = make_drain()
    drain.step(0.0, LocalDrainInput.DRAIN_GRANTED)
    drain.complete_drain(1.0)
    drain.record_leader_contact(5.0)
    assert drain.tick(14.0) is None
    assert drain.tick(15.1) is LocalDrainEffect.EXIT
