"""The dispatcher in memory: events that cross each other, broken executor connections, one answer each."""

import random

import pytest
from helpers import Caller, DispatcherHarness

from valeturn.admission import interface
from valeturn.admission.controller import AdmissionController
from valeturn.dispatch import messages
from valeturn.dispatch.executed_ids import ExecutedIds
from valeturn.dispatch.executor_client import REPLAY_END
from valeturn.dispatch.turn_pacing import TurnPacing
from valeturn.protocol import executor as executor_protocol
from valeturn.protocol.executor import RunResult

DELIVERED, REJECTED, FAILED = 1, 0, 9
# UNSTORED is an outcome of executions only.
CALL_OUTCOMES = [outcome for outcome in interface.Outcome if outcome is not interface.Outcome.UNSTORED]
REPLAY_ENDED = executor_protocol.GaugesReported(REPLAY_END, ())


def run_ended(call, end=RunResult.DONE, result=b"result", number=1):
    return executor_protocol.RunEnded(number, call, end, 0.1, result)


@pytest.fixture
def caller():
    return Caller()


def answer_codes(caller):
    return [code for _, code, _ in caller.answers]


def test_result_is_delivered_unchanged_and_reported_to_controller(caller):
    harness = DispatcherHarness()
    number, call = harness.arrive("read", caller, actions=[interface.Start])
    assert harness.commands == [{"t": "EXEC", "rid": call, "route": "read", "b64": "Ym9keQ=="}]
    harness.turn(run_ended(call))
    assert caller.answers == [(1, DELIVERED, b"result")] and not harness.dispatcher.pending
    assert harness.events[-1] == interface.Ended(number, interface.Outcome.DONE, 0.1)


@pytest.mark.parametrize(
    "end, outcome",
    [
        (RunResult.FAILED, interface.Outcome.ERROR),
        (RunResult.NOTHING, interface.Outcome.MOOT),
        (RunResult.STOPPED, interface.Outcome.CANCELLED),
    ],
)
def test_executions_without_result_fail_and_are_reported_to_controller(caller, end, outcome):
    harness = DispatcherHarness()
    number, call = harness.arrive("file", caller, actions=[interface.Start])
    harness.turn(run_ended(call, end))
    assert answer_codes(caller) == [FAILED] and not harness.dispatcher.pending
    assert harness.events[-1] == interface.Ended(number, outcome, 0.1)


def test_end_of_execution_crosses_fail_interrupt_and_cancellation(caller):
    """Each crosses the end of the execution: one answer at most, and the controller gets the end."""
    for ending in ("fail", "interrupt", "cancel"):
        harness, connection = DispatcherHarness(), Caller()
        number, call = harness.arrive("read", connection, actions=[interface.Start])
        if ending == "cancel":
            harness.turn(messages.SubmissionCancelled(connection, 1), actions=[interface.Interrupt(number)])
            assert harness.events[-1] == interface.CallerGone(number)
        else:
            harness.turn(
                messages.DeferredEvent(interface.TimerFired(0, None)),
                actions=[interface.Fail(number)] * (ending == "fail"),
            )
            harness.turn(
                messages.DeferredEvent(interface.TimerFired(0, None)), actions=[interface.Interrupt(number)]
            )
        harness.turn(run_ended(call))
        assert answer_codes(connection) == {"fail": [FAILED], "interrupt": [DELIVERED], "cancel": []}[ending]
        assert harness.events[-1].outcome is interface.Outcome.DONE and not harness.dispatcher.pending
        harness.turn(
            run_ended(call, number=2),
            messages.SubmissionCancelled(connection, 1),
            messages.ConnectionClosed(connection, frozenset((1,))),
        )
        assert len(connection.answers) <= 1 and harness.counts["executor.run_of_none"] == 1


def test_interrupted_unanswered_submission_can_be_started_again(caller):
    harness = DispatcherHarness()
    number, call = harness.arrive("read", caller, actions=[interface.Start])
    harness.turn(messages.DeferredEvent(interface.TimerFired(0, None)), actions=[interface.Interrupt(number)])
    harness.turn(run_ended(call, RunResult.STOPPED, b""))
    assert caller.answers == [] and number in harness.dispatcher.pending
    assert harness.turn(
        messages.DeferredEvent(interface.TimerFired(0, None)), actions=[interface.Start(number)]
    ) == [("EXEC", call)]


def test_closed_connection_means_all_its_callers_have_gone(caller):
    harness, other = DispatcherHarness(), Caller()
    first, _ = harness.arrive("read", caller, actions=[interface.Start])
    second, _ = harness.arrive("read", caller)
    third, _ = harness.arrive("read", other)
    harness.turn(messages.ConnectionClosed(caller, frozenset(range(1, 9))))
    assert [event.id for event in harness.events if isinstance(event, interface.CallerGone)] == [
        first,
        second,
    ]
    assert set(harness.dispatcher.pending) == {first, third}, "one runs on, one is another caller's"


def test_pending_call_id_from_another_connection_fails_without_the_result(caller):
    harness, other = DispatcherHarness(), Caller()
    _, call = harness.arrive("file", caller, actions=[interface.Start])
    harness.arrive("file", other, call_id=call, body=b"another")
    assert other.answers == [(2, FAILED, b"")]
    assert len([event for event in harness.events if isinstance(event, interface.Arrived)]) == 1
    harness.turn(run_ended(call))
    assert caller.answers == [(1, DELIVERED, b"result")] and len(other.answers) == 1


def test_connection_of_submission_unknown_to_executor_is_closed(caller):
    harness = DispatcherHarness()
    _, call = harness.arrive("read", caller, actions=[interface.Start])
    harness.turn(executor_protocol.CommandRejected("KILL", call))
    assert caller.refused is None
    harness.turn(executor_protocol.CommandRejected("EXEC", call))
    assert answer_codes(caller) == [FAILED] and caller.refused and not harness.dispatcher.pending
    assert harness.events[-1].outcome is interface.Outcome.MOOT


def test_calls_are_made_once_and_replies_are_passed_on_unchanged(caller):
    harness = DispatcherHarness()
    number, call = harness.arrive("file", caller, actions=[interface.Start])
    harness.turn(executor_protocol.CallRequest(1, call, b"ask"), actions=[interface.Call(number, 0.2)])
    ((_, attempt, reference, body),) = harness.calls
    assert (reference, body) == (call, b"ask")
    harness.turn(messages.CallFinished(number, attempt, interface.Outcome.DONE, 0.1, b"\x00said"))
    assert harness.commands[-1] == {"t": "RETURN", "rid": call, "b64": "AHNhaWQ="}
    harness.turn(messages.CallFinished(number, attempt, interface.Outcome.DONE, 0.1, b"again"))
    assert harness.counts["ledger.reply_of_none"] == 1 and len(harness.commands) == 2
    harness.turn(executor_protocol.CallRequest(2, call, b"ask 2"), actions=[interface.Call(number, 0.2)])
    harness.turn(run_ended(call, RunResult.STOPPED, number=3))
    harness.turn(messages.CallFinished(number, harness.calls[-1][1], interface.Outcome.DONE, 0.1, b"late"))
    assert (
        harness.cancelled_calls[-1] == number
        and [command["t"] for command in harness.commands].count("RETURN") == 1
    )


def test_bypass_names_the_notice_and_cancels_the_call(caller):
    harness = DispatcherHarness()
    number, call = harness.arrive("read", caller, actions=[interface.Start])
    harness.turn(executor_protocol.CallRequest(7, call, b"ask"), actions=[interface.Call(number, 0.2)])
    harness.turn(
        messages.DeferredEvent(interface.TimerFired(0, None)), actions=[interface.BypassCall(number)]
    )
    assert harness.commands[-1] == {"t": "BYPASS", "rid": call, "no": 7} and harness.cancelled_calls == [
        number
    ]


# ---- broken executor connections


def reconnect(harness, *replayed):
    harness.connected = False
    harness.turn(messages.ExecutorDisconnected(harness.now))
    harness.connected = True
    return harness.turn(messages.ExecutorConnected(False, 9.0), *replayed, REPLAY_ENDED)


@pytest.mark.parametrize("workload, again", [("read", True), ("file", False), ("book", False)])
def test_start_in_doubt_is_sent_again_only_where_it_may_run_twice(caller, workload, again):
    harness = DispatcherHarness()
    _, call = harness.arrive(workload, caller, actions=[interface.Start])
    assert reconnect(harness) == [("EXEC", call)] * again
    harness.turn(run_ended(call))
    assert answer_codes(caller) == [DELIVERED]


def test_start_known_to_have_arrived_is_not_sent_again(caller):
    harness = DispatcherHarness()
    _, call = harness.arrive("read", caller, actions=[interface.Start])
    harness.report_gauges()
    assert reconnect(harness) == []


def test_start_sent_well_before_the_break_has_arrived(caller):
    harness = DispatcherHarness()
    _, call = harness.arrive("file", caller, actions=[interface.Start])
    harness.turn(messages.ExecutorDisconnected(harness.now + 0.01))
    assert harness.turn(messages.ExecutorConnected(False, 9.0), REPLAY_ENDED) == [] and not harness.scheduled


def execution_in_doubt(harness, caller):
    number, call = harness.arrive("file", caller, actions=[interface.Start], cost_hint=0.2)
    assert reconnect(harness) == []
    ((delay, push, (check_due,)),) = harness.scheduled
    assert 0.6 < delay < 1.0 and push == harness.dispatcher.mailbox.push
    return number, call, check_due


def test_execution_in_doubt_that_never_began_is_started_again_long_before_it_is_due(caller):
    harness = DispatcherHarness()
    number, call, check_due = execution_in_doubt(harness, caller)
    assert harness.turn(check_due) == [("KILL", call)]
    harness.report_gauges()
    assert (
        harness.events[-1] == interface.Ended(number, interface.Outcome.CANCELLED, 0.0)
        and caller.answers == []
    )
    assert harness.turn(
        messages.DeferredEvent(interface.TimerFired(0, None)), actions=[interface.Start(number)]
    ) == [("EXEC", call)]


def test_suspended_unrepeatable_execution_whose_next_start_is_lost_is_not_rejected(caller):
    """Guards against a rejection, which promises that nothing ran, of a run with progress."""
    harness = DispatcherHarness(interruption=interface.Interruption.SUSPEND)
    number, call = harness.arrive("file", caller, actions=[interface.Start], cost_hint=0.2)
    harness.turn(messages.DeferredEvent(interface.TimerFired(0, None)), actions=[interface.Interrupt(number)])
    harness.turn(run_ended(call, RunResult.STOPPED, b""))
    harness.turn(messages.DeferredEvent(interface.TimerFired(0, None)), actions=[interface.Start(number)])
    assert reconnect(harness) == []
    harness.turn(messages.InDoubtCheckDue(number))
    harness.report_gauges()
    assert harness.events[-1] == interface.Ended(number, interface.Outcome.CANCELLED, 0.0)
    harness.turn(messages.StopRequested())
    assert answer_codes(caller) == [FAILED]


def test_execution_in_doubt_that_asks_for_its_call_is_not_interrupted(caller):
    harness = DispatcherHarness()
    _, call, check_due = execution_in_doubt(harness, caller)
    assert harness.turn(executor_protocol.CallRequest(1, call, b"ask")) == harness.turn(check_due) == []
    harness.report_gauges()
    harness.turn(run_ended(call, number=2))
    assert answer_codes(caller) == [DELIVERED]


def test_execution_in_doubt_that_does_run_fails_and_never_runs_again(caller):
    harness = DispatcherHarness()
    number, call, check_due = execution_in_doubt(harness, caller)
    harness.turn(check_due)
    harness.turn(run_ended(call, RunResult.STOPPED, b""))
    assert harness.events[-1] == interface.Ended(number, interface.Outcome.ERROR, 0.1) and answer_codes(
        caller
    ) == [FAILED]
    assert (
        harness.turn(messages.DeferredEvent(interface.TimerFired(0, None)), actions=[interface.Start(number)])
        == []
    )


def test_start_whose_end_is_replayed_is_not_sent_again(caller):
    harness = DispatcherHarness()
    _, call = harness.arrive("read", caller, actions=[interface.Start])
    assert reconnect(harness, run_ended(call)) == [] and answer_codes(caller) == [DELIVERED]


def test_start_without_connection_is_sent_after_connecting_unless_interrupted(caller):
    harness = DispatcherHarness()
    harness.connected = False
    harness.turn(messages.ExecutorDisconnected(harness.now))
    first, call = harness.arrive("file", caller, actions=[interface.Start])
    second, _ = harness.arrive("read", caller, actions=[interface.Start])
    harness.turn(messages.DeferredEvent(interface.TimerFired(0, None)), actions=[interface.Interrupt(second)])
    harness.turn()
    assert harness.events[-1] == interface.Ended(second, interface.Outcome.CANCELLED, 0.0)
    harness.connected = True
    assert harness.turn(messages.ExecutorConnected(False, 9.0), REPLAY_ENDED) == [("EXEC", call)]


def test_interrupt_is_sent_again_and_execution_that_never_began_ends(caller):
    harness = DispatcherHarness()
    number, call = harness.arrive("file", caller, actions=[interface.Start])
    assert reconnect(harness) == []
    harness.turn(
        messages.DeferredEvent(interface.TimerFired(0, None)),
        actions=[interface.Fail(number), interface.Interrupt(number)],
    )
    assert reconnect(harness) == [("KILL", call)]
    harness.report_gauges()
    assert (
        harness.events[-1] == interface.Ended(number, interface.Outcome.CANCELLED, 0.0)
        and not harness.dispatcher.pending
    )


@pytest.mark.parametrize("workload, command", [("read", "BYPASS"), ("file", "RETURN")])
def test_reply_in_doubt_is_replaced_by_bypass_where_the_workload_allows(caller, workload, command):
    harness = DispatcherHarness()
    number, call = harness.arrive(workload, caller, actions=[interface.Start])
    harness.turn(executor_protocol.CallRequest(1, call, b"ask"), actions=[interface.Call(number, 0.2)])
    harness.turn(messages.CallFinished(number, harness.calls[0][1], interface.Outcome.DONE, 0.1, b"said"))
    assert reconnect(harness) == [(command, call)]
    harness.report_gauges()
    assert reconnect(harness) == [], "known to have arrived"


def test_reply_made_without_connection_is_sent_unchanged_after_connecting(caller):
    harness = DispatcherHarness()
    number, call = harness.arrive("read", caller, actions=[interface.Start])
    harness.turn(executor_protocol.CallRequest(1, call, b"ask"), actions=[interface.Call(number, 0.2)])
    harness.connected = False
    harness.turn(messages.ExecutorDisconnected(harness.now))
    harness.turn(messages.CallFinished(number, harness.calls[0][1], interface.Outcome.DONE, 0.1, b"said"))
    assert reconnect(harness) == [("RETURN", call)]


def test_after_lost_notices_only_idempotent_work_is_started_again(caller):
    harness = DispatcherHarness()
    calls = [harness.arrive(workload, caller, actions=[interface.Start])[1] for workload in ("read", "file")]
    harness.report_gauges()
    assert reconnect(harness, messages.NoticesLost()) == [("EXEC", calls[0])]


@pytest.mark.parametrize("workload", ["file", "book"])
def test_execution_whose_end_was_lost_fails_and_is_never_started_again(caller, workload):
    """No end after the interrupt does not prove that it never ran: its end was among the lost notices."""
    harness = DispatcherHarness()
    harness.dispatcher.controller = AdmissionController(harness.settings, 1, harness.now)
    number, call = harness.arrive(workload, caller, idempotency_key="m")
    harness.report_gauges()
    reconnect(harness, messages.NoticesLost())
    ((delay, push, (check_due,)),) = harness.scheduled
    assert harness.turn(check_due) == [("KILL", call)]
    harness.report_gauges()
    assert answer_codes(caller) == [FAILED] and harness.counts["executor.end_unheard"] == 1
    assert [command["t"] for command in harness.commands].count(
        "EXEC"
    ) == 1 and not harness.dispatcher.pending


def test_without_interruption_an_execution_in_doubt_ends_as_one_that_may_have_run(caller):
    harness = DispatcherHarness(interruption=interface.Interruption.UNSUPPORTED)
    number, call = harness.arrive("file", caller, actions=[interface.Start])
    reconnect(harness)
    harness.turn(messages.DeferredEvent(interface.TimerFired(0, None)), actions=[interface.Fail(number)])
    harness.report_gauges()
    assert (
        harness.events[-1] == interface.Ended(number, interface.Outcome.ERROR, 0.0)
        and not harness.dispatcher.pending
    )


def test_execution_that_asks_for_a_call_after_lost_notices_has_not_ended_among_them(caller):
    harness = DispatcherHarness()
    number, call = harness.arrive("file", caller, actions=[interface.Start])
    harness.report_gauges()
    reconnect(harness, messages.NoticesLost(), executor_protocol.CallRequest(9, call, b"ask"))
    assert not harness.dispatcher.pending[number].end_may_be_lost
    harness.turn(run_ended(call, number=10))
    assert answer_codes(caller) == [DELIVERED]


# ---- turns


def test_turns_are_paced_only_while_little_cpu_is_left():
    now, used, pauses = [0.0], [0.0], []
    pacing = TurnPacing(lambda: now[0], 0.5, lambda: used[0])
    for share in [0.3] * 10 + [0.5] * 10 + [0.1] * 10:
        now[0], used[0] = now[0] + 0.1, used[0] + 0.1 * share
        pauses.append(pacing.pause_s())
    assert max(pauses[:10]) == 0.0 and 0.005 < pauses[19] < 0.01 and pauses[10] < pauses[12] < pauses[19]
    assert pauses[-1] == 0.0


def test_late_timers_fire_once_each_and_stale_gauges_are_left_out(caller):
    harness = DispatcherHarness()
    harness.turn(
        messages.DeferredEvent(interface.TimerFired(9, None)),
        actions=[interface.SetTimer(0.1, 5), interface.SetTimer(0.2, 5), interface.SetTimer(0.2, 6)],
    )
    harness.turn(executor_protocol.GaugesReported("1", (0.5, 3, 0.1, 2)))
    harness.events, harness.now = [], harness.now + 0.21
    harness.turn()
    assert harness.events == [
        interface.TimerFired(5, interface.Gauges(0.5, 3, 0.1, 2)),
        interface.TimerFired(6, interface.Gauges(0.5, 3, 0.1, 2)),
    ]
    harness.turn(messages.DeferredEvent(interface.TimerFired(9, None)), actions=[interface.SetTimer(1.0, 5)])
    harness.now += 1.0
    harness.turn()
    assert harness.events[-1] == interface.TimerFired(5, interface.Gauges())


def test_health_checks_report_the_state_at_the_time_of_the_answer(caller):
    harness = DispatcherHarness()
    for healthy, actions in (
        (True, ()),
        (False, [interface.Health(False, True)]),
        (True, [interface.Health(True, True)]),
    ):
        harness.turn(messages.DeferredEvent(interface.TimerFired(0, None)), actions=actions)
        harness.turn(messages.HealthCheckRequested(caller, 1, True))
        assert caller.answers[-1][1] == healthy
    harness.turn(
        messages.DeferredEvent(interface.TimerFired(0, None)), actions=[interface.Health(True, False)]
    )
    assert (
        harness.turn(messages.HealthCheckRequested(caller, 2, True))[0][0] == "DIAG"
        and len(caller.answers) == 3
    )
    harness.turn(executor_protocol.DiagnosisReported(harness.commands[-1]["mark"], False))
    assert caller.answers[-1][:2] == (2, 0)
    harness.dispatcher.controller = None
    harness.dispatcher.healthy = False
    harness.turn(messages.HealthCheckRequested(caller, 3, False))
    assert caller.answers[-1][:2] == (3, 0) and len(caller.answers) == 5


def test_submission_whose_caller_left_before_it_was_taken_up_is_not_started(caller):
    """Guards against requests that are read from the queue after their client has closed its connection."""
    harness = DispatcherHarness()
    caller.has_left = True
    harness.arrive("file", caller, actions=[interface.Start])
    assert not harness.commands and not harness.dispatcher.pending and not caller.answers
    assert harness.counts["in.callers_gone"] == 1


@pytest.mark.parametrize("end", [RunResult.DONE, RunResult.FAILED, RunResult.STOPPED])
@pytest.mark.parametrize("workload", ["file", "book"])
def test_id_that_comes_again_after_its_caller_left_is_not_run_again(caller, workload, end):
    """Guards against a second run of one id whose first run ended while nobody waited for it."""
    harness, again = DispatcherHarness(), Caller()
    number, call = harness.arrive(workload, caller, actions=[interface.Start])
    stream = harness.dispatcher.pending[number].stream
    harness.turn(messages.SubmissionCancelled(caller, stream))
    harness.turn(run_ended(call, end, b""))
    assert not harness.dispatcher.pending
    harness.arrive(workload, again, actions=[interface.Start], call_id=call)
    assert [command["t"] for command in harness.commands] == ["EXEC"] and answer_codes(again) == [FAILED]
    harness.now += 100.0
    harness.dispatcher.executed_ids.expire(harness.now)
    assert len(harness.dispatcher.executed_ids) == 0


def test_id_that_never_ran_or_may_run_twice_may_come_again(caller):
    harness = DispatcherHarness()
    _, rejected = harness.arrive("file", caller, actions=[interface.Reject])
    _, moot = harness.arrive("file", caller, actions=[interface.Start])
    harness.turn(run_ended(moot, RunResult.NOTHING, b""))
    _, read = harness.arrive("read", caller, actions=[interface.Start])
    harness.turn(run_ended(read, number=2))
    harness.commands.clear()
    for workload, call in (("file", rejected), ("file", moot), ("read", read)):
        harness.arrive(workload, caller, actions=[interface.Start], call_id=call)
    assert [command["rid"] for command in harness.commands] == [rejected, moot, read]


def test_executed_ids_are_kept_within_their_limit():
    ids = ExecutedIds(3, 10.0)
    for number in range(5):
        ids.add(float(number), f"{number:016x}")
    assert [ids.contains(f"{number:016x}") for number in range(5)] == [False, False, True, True, True]
    ids.expire(13.0)
    assert [ids.contains(f"{number:016x}") for number in range(5)] == [False, False, False, False, True]


def test_failing_controller_leaves_true_answers_and_serving_goes_on(caller):
    harness = DispatcherHarness()
    harness.arrive("read", caller)
    harness.arrive("file", caller, actions=[interface.Start])
    _, call = harness.arrive("file", caller, actions=[interface.Start])
    # Stopped without an interrupt: its caller has gone, and if it has not, one answer does no harm.
    harness.turn(run_ended(call, RunResult.STOPPED))
    harness.fail_next_decision()
    harness.turn(
        messages.DeferredEvent(interface.TimerFired(0, None)), actions=[interface.Health(True, True)]
    )
    assert [answer[:2] for answer in caller.answers] == [(3, FAILED), (1, REJECTED), (2, FAILED)]
    assert not harness.dispatcher.pending and "module_failed" in harness.logged
    _, call = harness.arrive("read", caller, actions=[interface.Start])
    harness.turn(run_ended(call))
    assert caller.answers[-1][:2] == (4, DELIVERED)


def test_fault_in_the_dispatcher_s_turn_answers_all_pending_and_serving_goes_on(caller):
    """Otherwise the dispatcher's task ends, and with it the process and all that is pending."""
    harness = DispatcherHarness()
    harness.arrive("file", caller, actions=[interface.Start])
    original, harness.dispatcher.fire_timers = harness.dispatcher.fire_timers, lambda now: 1 / 0
    harness.arrive("read", caller)
    harness.dispatcher.fire_timers = original
    assert [answer[:2] for answer in caller.answers] == [(1, FAILED), (2, REJECTED)]
    assert not harness.dispatcher.pending and harness.logged.count("module_failed") == 1
    _, call = harness.arrive("read", caller, actions=[interface.Start])
    harness.turn(run_ended(call))
    assert caller.answers[-1][:2] == (3, DELIVERED)


def test_new_controller_during_a_drain_gets_the_drain(caller):
    harness = DispatcherHarness()
    harness.turn(messages.DrainRequested(3.0))
    assert harness.events[-1] == interface.DrainStarted(3.0) and harness.serving_reports[-1] is False
    harness.fail_next_decision()
    harness.now += 1.0
    harness.turn(messages.DeferredEvent(interface.TimerFired(0, None)))
    assert harness.events.count(interface.DrainStarted(3.0)) == 2


def test_drain_requested_before_the_controller_starts_counts_from_the_request(caller):
    harness = DispatcherHarness()
    harness.dispatcher.controller, harness.dispatcher.healthy, times = None, False, []
    harness.turn(messages.DrainRequested(3.0))
    harness.decide = lambda now, events: times.append((now, list(events))) or []
    harness.now += 1.0
    harness.turn(messages.ExecutorConnected(True, 0.0))
    assert times[0] == (100.0, [interface.DrainStarted(3.0)])


def test_without_controller_all_is_rejected_and_the_server_is_unhealthy(caller):
    harness = DispatcherHarness()
    harness.decide = lambda *_: 1 / 0
    harness.arrive("read", caller)
    harness.arrive("read", caller)
    harness.turn(messages.HealthCheckRequested(caller, 9, False))
    assert caller.answers == [(1, REJECTED, b""), (2, REJECTED, b""), (9, 0, b"")]
    assert harness.logged.count("module_failed") == 2


def test_fault_with_one_message_does_not_stop_the_others(caller):
    harness = DispatcherHarness()
    harness.dispatcher.decoded_settings.tenants = None
    harness.arrive("read", caller)
    assert answer_codes(caller) == [REJECTED] and harness.logged == ["welcome", "core_fault"]


def test_reads_of_one_subject_share_a_result(caller):
    harness = DispatcherHarness(result_lifetime=2.0)
    first, call = harness.arrive(
        "read", caller, actions=[lambda number: interface.StoreKey(number, 9.0), interface.Start], subject="s"
    )
    second, _ = harness.arrive("read", caller, actions=[interface.AnswerFromOriginal], subject="s")
    assert harness.events[-1].duplicate_of == first and caller.answers == []
    harness.turn(run_ended(call))
    third, _ = harness.arrive("read", caller, actions=[interface.AnswerFromOriginal], subject="s")
    assert [answer[1:] for answer in caller.answers] == [
        (DELIVERED, b"result")
    ] * 3 and not harness.dispatcher.pending
    harness.turn()
    assert harness.events[-1] == interface.Ended(third, interface.Outcome.DONE, 0.0)
    harness.turn(messages.DeferredEvent(interface.TimerFired(0, None)), actions=[interface.Forget(first)])
    harness.arrive("read", caller, subject="s")
    assert harness.events[-1].duplicate_of is None


@pytest.mark.parametrize("seed", range(12))
def test_each_submission_has_one_answer_under_any_order_of_events(seed):
    """With the real controller and a random executor whose connection breaks; counts answers and runs."""
    random_source, caller = random.Random(seed), Caller()
    harness = DispatcherHarness()
    harness.dispatcher.controller = AdmissionController(harness.settings, seed, harness.now)
    # call id -> [workload, state of its run, stream, how often it was started]
    runs, seen, due = {}, 0, {}
    notices, number = [], 0
    for step in range(700):
        harness.now += 0.01
        if step < 450 and random_source.random() < 0.25:
            workload = random_source.choice(("read", "book", "file"))
            _, call = harness.arrive(workload, caller, caller=1)
            due[harness.last_number], runs[call] = (
                harness.now + 2.0,
                [workload, "queued", harness.last_number, 0],
            )
        events, connection_roll = [], random_source.random()
        if connection_roll < 0.02 and harness.connected:
            harness.connected = False
            events.append(messages.ExecutorDisconnected(harness.now))
        elif connection_roll < 0.1 and not harness.connected:
            harness.connected = True
            events += [messages.ExecutorConnected(False, 9.0), *notices, REPLAY_ENDED]
            notices = []
        for call, run in runs.items():
            reported, roll = [], random_source.random()
            if run[1] == "running" and roll < 0.06:
                number += 1
                if run[0] != "book" and roll < 0.02:
                    run[1], reported = "awaiting_call", [executor_protocol.CallRequest(number, call, b"ask")]
                else:
                    run[1], reported = (
                        "finished",
                        [
                            run_ended(
                                call, random_source.choice((RunResult.DONE, RunResult.FAILED)), b"r", number
                            )
                        ],
                    )
            elif run[1] == "awaiting_call" and roll < 0.02:
                run[1], reported = "finished", [run_ended(call, RunResult.STOPPED, b"", number)]
            elif roll > 0.999:
                events.append(messages.SubmissionCancelled(caller, run[2]))
            (events if harness.connected else notices).extend(reported)
        for _, push, args in harness.scheduled:
            push(*args)
        harness.scheduled.clear()
        while harness.calls and random_source.random() < 0.5:
            submission, attempt, *_ = harness.calls.pop()
            events.append(
                messages.CallFinished(submission, attempt, random_source.choice(CALL_OUTCOMES), 0.1, b"said")
            )
        harness.turn(*events)
        if step % 10 == 9 and harness.connected:
            harness.report_gauges()
        for command in harness.commands[seen:]:
            run = runs.get(command.get("rid"))
            if command["t"] == "EXEC" and run[1] != "running":
                if run[1] == "finished" and run[3]:
                    assert run[0] == "read", "an effect ran twice"
                run[1], run[3] = "running", run[3] + 1
            elif command["t"] in ("RETURN", "BYPASS") and run[1] == "awaiting_call":
                run[1] = "running"
            elif command["t"] == "KILL" and run[1] in ("running", "awaiting_call"):
                number += 1
                run[1] = "finished"
                notices.append(run_ended(command["rid"], RunResult.STOPPED, b"", number))
        seen = len(harness.commands)
        if harness.connected and notices:
            harness.turn(*notices)
            notices = []
        answered = [stream for stream, _, _ in caller.answers]
        assert len(answered) == len(set(answered)), "two answers"
        late = {stream for stream, at in due.items() if harness.now > at + harness.settings.answer_slack}
        unanswered = {
            pending.stream for pending in harness.dispatcher.pending.values() if not pending.answered
        }
        assert not unanswered & late, "an answer overdue"
    assert harness.counts["out.delivered"] > 5 and harness.counts.get("errors.core", 0) == 0
    assert all(pending.answered for pending in harness.dispatcher.pending.values()), "lost"
