"""Deduplication: whose idempotency key it is, how long it is kept, and duplicates that cross an end."""

import time

import pytest
from helpers import WORKLOADS, Caller, DispatcherHarness

from valeturn.admission import interface
from valeturn.admission.controller import AdmissionController
from valeturn.dispatch import messages
from valeturn.dispatch.executor_client import REPLAY_END
from valeturn.dispatch.messages import ExecutorConnected, ExecutorDisconnected
from valeturn.protocol import executor as executor_protocol
from valeturn.protocol import frames
from valeturn.protocol.executor import RunResult

STORE_KEY_AND_START = [lambda number: interface.StoreKey(number, 8.0), interface.Start]
DELIVERED, REJECTED, FAILED = 1, 0, 9


def run_ended(call, end=RunResult.DONE, result=b"result", number=1):
    return executor_protocol.RunEnded(number, call, end, 0.1, result)


def answer_codes(caller):
    return [code for _, code, _ in caller.answers]


@pytest.mark.parametrize("when", ["running", "ended"])
@pytest.mark.parametrize("other", [{"body": b"other"}, {"tenant": "b"}])
def test_key_reused_for_another_submission_gets_no_result_and_is_not_run(when, other):
    harness, caller, reuser = DispatcherHarness(), Caller(), Caller()
    _, call = harness.arrive("book", caller, actions=STORE_KEY_AND_START, idempotency_key="m")
    if when == "ended":
        harness.turn(run_ended(call))
    events_before = len(harness.events)
    harness.arrive("book", reuser, actions=[interface.Start], idempotency_key="m", **other)
    assert answer_codes(reuser) == [REJECTED] and reuser.invalid_reasons == ["mark_reused"]
    assert (
        len(harness.events) == events_before
        and len([command for command in harness.commands if command["t"] == "EXEC"]) == 1
    )
    duplicate = Caller()
    harness.arrive("book", duplicate, actions=[interface.AnswerFromOriginal], idempotency_key="m")
    if when == "running":
        harness.turn(run_ended(call))
    assert duplicate.answers[0][1:] == (DELIVERED, b"result"), (
        "a true duplicate gets the result of its original"
    )


def test_two_bodies_under_one_key_in_one_turn_do_not_both_run():
    harness, caller, reuser = DispatcherHarness(), Caller(), Caller()
    base = frames.Submission(1, "0" * 16, "book", "a", 0.0, 2.0, 0.1, 8.0, 0.5, 1, None, "m", False, b"body")
    harness.turn(
        messages.SubmissionReceived(caller, base),
        messages.SubmissionReceived(reuser, base._replace(stream=2, call_id="1" * 16, body=b"other")),
        actions=[interface.StoreKey(1, 8.0), interface.Start(1)],
    )
    assert answer_codes(reuser) == [REJECTED] and list(harness.dispatcher.pending) == [1]


def test_submission_unknown_to_executor_does_not_keep_the_key_that_it_copied():
    """The executor rejects its start, so nothing ran; the real submission with this key comes later."""
    harness, forger, caller = DispatcherHarness(), Caller(), Caller()
    _, call = harness.arrive(
        "book", forger, actions=STORE_KEY_AND_START, idempotency_key="m", body=b"made up"
    )
    harness.turn(executor_protocol.CommandRejected("EXEC", call))
    assert forger.refused == "made up" and answer_codes(forger) == [FAILED]
    number, call = harness.arrive("book", caller, actions=STORE_KEY_AND_START, idempotency_key="m")
    assert harness.events[-1].duplicate_of is None and harness.commands[-1]["rid"] == call


def test_submission_that_may_have_run_keeps_its_key():
    harness, caller, duplicate = DispatcherHarness(), Caller(), Caller()
    _, call = harness.arrive("book", caller, actions=STORE_KEY_AND_START, idempotency_key="m")
    harness.turn(run_ended(call, RunResult.FAILED, b""))
    harness.arrive("book", duplicate, actions=[interface.AnswerFromOriginal], idempotency_key="m")
    assert answer_codes(duplicate) == [FAILED]
    assert [event.duplicate_of for event in harness.events if isinstance(event, interface.Arrived)] == [
        None,
        1,
    ]


def test_coalesced_request_fails_at_once_when_its_original_is_cancelled_before_it_ran():
    harness, caller, coalesced = DispatcherHarness(), Caller(), Caller()
    number, _ = harness.arrive(
        "book", caller, actions=[lambda number: interface.StoreKey(number, 8.0)], idempotency_key="m"
    )
    harness.arrive("book", coalesced, actions=[interface.AnswerFromOriginal], idempotency_key="m")
    stream = harness.dispatcher.pending[number].stream
    harness.turn(messages.SubmissionCancelled(caller, stream), actions=[interface.Forget(number)])
    assert (
        answer_codes(coalesced) == [FAILED]
        and not harness.dispatcher.pending
        and not harness.dispatcher.deduplication.coalesced
    )


@pytest.mark.parametrize("order", ["end first", "duplicate first"])
def test_duplicate_in_the_turn_in_which_the_execution_ends_gets_its_result(order):
    harness, caller, duplicate = DispatcherHarness(), Caller(), Caller()
    harness.dispatcher.controller = AdmissionController(harness.settings, 1, harness.now)
    _, call = harness.arrive("book", caller, idempotency_key="m")
    assert harness.commands[-1]["t"] == "EXEC"
    received = []
    harness.turn, turn = lambda *messages, actions=(): received.extend(messages), harness.turn
    harness.arrive("book", duplicate, idempotency_key="m")
    harness.turn = turn
    end = [run_ended(call)]
    turn(*(end + received if order == "end first" else received + end))
    assert duplicate.answers and duplicate.answers[0][1:] == (DELIVERED, b"result")
    assert len([command for command in harness.commands if command["t"] == "EXEC"]) == 1


def test_duplicate_whose_connection_closes_as_the_original_ends_leaves_nothing_behind():
    harness, caller, duplicate = DispatcherHarness(), Caller(), Caller()
    harness.dispatcher.controller = AdmissionController(harness.settings, 1, harness.now)
    _, call = harness.arrive("book", caller, idempotency_key="m")
    harness.arrive("book", duplicate, idempotency_key="m")
    harness.turn(messages.ConnectionClosed(duplicate, frozenset([harness.last_number])), run_ended(call))
    assert answer_codes(caller) == [DELIVERED] and answer_codes(duplicate) == []
    harness.turn(*[messages.DeferredEvent(interface.TimerFired(0, interface.Gauges()))])
    assert not harness.dispatcher.pending and not harness.dispatcher.deduplication.coalesced


@pytest.mark.parametrize("late", [0.0, 9.0])
def test_duplicate_that_is_read_after_the_window_is_still_recognised(late):
    """The longest timeout is 12 seconds, the window 2 seconds.

    A duplicate that reached the machine within the window is recognised for as long as it may be read.
    """
    workloads = tuple(workload._replace(timeout=12.0, deduplication_window=2.0) for workload in WORKLOADS)
    harness, caller, duplicate = DispatcherHarness(workloads=workloads), Caller(), Caller()
    _, call = harness.arrive(
        "book",
        caller,
        actions=[lambda number: interface.StoreKey(number, 2.0), interface.Start],
        idempotency_key="m",
    )
    harness.turn(run_ended(call))
    harness.now += 1.0 + late
    harness.dispatcher.deduplication.expire(harness.now)
    harness.arrive(
        "book",
        duplicate,
        actions=[interface.AnswerFromOriginal],
        idempotency_key="m",
        arrived_at=time.time() - late,
    )
    assert duplicate.answers[0][1:] == (DELIVERED, b"result")
    harness.now += 30.0
    harness.dispatcher.deduplication.expire(harness.now)
    assert (
        harness.dispatcher.deduplication.table.size_bytes == 0
        and not harness.dispatcher.deduplication.table.by_key
    )


def test_entry_that_expires_during_its_execution_leaves_the_execution_one_end():
    harness, caller = DispatcherHarness(), Caller()
    number, call = harness.arrive(
        "book",
        caller,
        actions=[lambda number: interface.StoreKey(number, 1.0), interface.Start],
        idempotency_key="m",
    )
    harness.turn(ExecutorDisconnected(harness.now - 1.0))
    harness.now += 30.0
    harness.dispatcher.deduplication.expire(harness.now)
    harness.turn(
        ExecutorConnected(False, 0.0), executor_protocol.GaugesReported(REPLAY_END, ()), run_ended(call)
    )
    assert answer_codes(caller) == [DELIVERED] and not harness.dispatcher.pending


def test_reply_sent_on_this_connection_is_not_sent_again_after_the_replay():
    """Sent before the replay of notices ended: sent twice it would be taken for the next call's reply."""
    harness, caller = DispatcherHarness(), Caller()
    number, call = harness.arrive("file", caller, actions=[interface.Start])
    harness.turn(ExecutorDisconnected(harness.now))
    harness.turn(
        ExecutorConnected(False, 0.0),
        executor_protocol.CallRequest(1, call, b"ask"),
        actions=[interface.Call(number, 1.0)],
    )
    harness.turn(messages.CallFinished(number, harness.calls[-1][1], interface.Outcome.DONE, 0.1, b"said"))
    harness.turn(executor_protocol.GaugesReported(REPLAY_END, ()))
    assert [command["t"] for command in harness.commands].count("RETURN") == 1


def test_submission_whose_handling_fails_half_way_is_answered_once_and_removed(monkeypatch):
    harness, caller = DispatcherHarness(), Caller()
    monkeypatch.setattr(interface, "Arrived", lambda **_: 1 / 0)
    harness.arrive("read", caller)
    assert (
        answer_codes(caller) == [REJECTED]
        and not harness.dispatcher.pending
        and not harness.dispatcher.by_stream
    )
    assert harness.counts["errors.core"] == 1


def test_deep_health_checks_beyond_the_limit_are_answered_at_once():
    harness, caller = DispatcherHarness(), Caller()
    harness.turn(actions=[])
    harness.dispatcher.healthy, harness.dispatcher.shallow = True, False
    for stream in range(1, 200):
        harness.turn(messages.HealthCheckRequested(caller, stream, True))
    assert len(harness.dispatcher.health_checks) == 64 and len(caller.answers) == 135
