"""Deduplication: whose mark it is, how long it is known, and repeats that cross an end."""

import time

import pytest
from helpers import WORKLOADS, Caller, Ends

from valeturn.admission import interface
from valeturn.admission.controller import AdmissionController
from valeturn.dispatch import messages
from valeturn.dispatch.executor_client import REPLAY_END
from valeturn.dispatch.messages import ExecutorConnected, ExecutorDisconnected
from valeturn.protocol import executor as executor_protocol
from valeturn.protocol import frames
from valeturn.protocol.executor import RunResult

KEPT = [lambda n: interface.StoreKey(n, 8.0), interface.Start]
DELIVERED, TURNED_BACK, WRITTEN_OFF = 1, 0, 9


def over(call, end=RunResult.DONE, result=b"result", number=1):
    return executor_protocol.RunEnded(number, call, end, 0.1, result)


def codes(caller):
    return [code for _, code, _ in caller.answers]


@pytest.mark.parametrize("when", ["running", "ended"])
@pytest.mark.parametrize("other", [{"body": b"other"}, {"tenant": "b"}])
def test_a_mark_under_which_something_else_comes_gets_no_other_s_result_and_is_not_run(when, other):
    ends, caller, copier = Ends(), Caller(), Caller()
    _, call = ends.arrive("book", caller, do=KEPT, idempotency_key="m")
    if when == "ended":
        ends.turn(over(call))
    heard = len(ends.heard)
    ends.arrive("book", copier, do=[interface.Start], idempotency_key="m", **other)
    assert codes(copier) == [TURNED_BACK] and copier.unread == ["mark_reused"]
    assert len(ends.heard) == heard and len([m for m in ends.lines if m["t"] == "EXEC"]) == 1
    again = Caller()
    ends.arrive("book", again, do=[interface.AnswerFromOriginal], idempotency_key="m")
    if when == "running":
        ends.turn(over(call))
    assert again.answers[0][1:] == (DELIVERED, b"result"), "a true repeat has what it repeats"


def test_two_of_one_mark_and_another_body_in_one_turn_do_not_both_run():
    ends, caller, copier = Ends(), Caller(), Caller()
    base = frames.Submission(1, "0" * 16, "book", "a", 0.0, 2.0, 0.1, 8.0, 0.5, 1, None, "m", False, b"body")
    ends.turn(
        messages.SubmissionReceived(caller, base),
        messages.SubmissionReceived(copier, base._replace(stream=2, call_id="1" * 16, body=b"other")),
        do=[interface.StoreKey(1, 8.0), interface.Start(1)],
    )
    assert codes(copier) == [TURNED_BACK] and list(ends.dispatcher.pending) == [1]


def test_a_made_up_submission_does_not_keep_the_mark_that_it_copied():
    """The executor never heard of it, so nothing ran; the true one comes a little later."""
    ends, liar, caller = Ends(), Caller(), Caller()
    _, call = ends.arrive("book", liar, do=KEPT, idempotency_key="m", body=b"made up")
    ends.turn(executor_protocol.CommandRejected("EXEC", call))
    assert liar.refused == "made up" and codes(liar) == [WRITTEN_OFF]
    number, true = ends.arrive("book", caller, do=KEPT, idempotency_key="m")
    assert ends.heard[-1].duplicate_of is None and ends.lines[-1]["rid"] == true


def test_what_may_have_run_keeps_its_mark():
    ends, caller, again = Ends(), Caller(), Caller()
    _, call = ends.arrive("book", caller, do=KEPT, idempotency_key="m")
    ends.turn(over(call, RunResult.FAILED, b""))
    ends.arrive("book", again, do=[interface.AnswerFromOriginal], idempotency_key="m")
    assert codes(again) == [WRITTEN_OFF]
    assert [e.duplicate_of for e in ends.heard if isinstance(e, interface.Arrived)] == [None, 1]


def test_who_waits_for_one_whose_caller_leaves_before_it_ran_is_told_at_once():
    ends, caller, waiting = Ends(), Caller(), Caller()
    number, _ = ends.arrive("book", caller, do=[lambda n: interface.StoreKey(n, 8.0)], idempotency_key="m")
    ends.arrive("book", waiting, do=[interface.AnswerFromOriginal], idempotency_key="m")
    stream = ends.dispatcher.pending[number].stream
    ends.turn(messages.SubmissionCancelled(caller, stream), do=[interface.Forget(number)])
    assert (
        codes(waiting) == [WRITTEN_OFF]
        and not ends.dispatcher.pending
        and not ends.dispatcher.repeating.joiners
    )


@pytest.mark.parametrize("order", ["end first", "repeat first"])
def test_a_repeat_in_the_turn_in_which_the_run_ends_has_its_result(order):
    ends, caller, again = Ends(), Caller(), Caller()
    ends.dispatcher.controller = AdmissionController(ends.settings, 1, ends.now)
    _, call = ends.arrive("book", caller, idempotency_key="m")
    assert ends.lines[-1]["t"] == "EXEC"
    repeat = []
    ends.turn, turn = lambda *messages, do=(): repeat.extend(messages), ends.turn
    ends.arrive("book", again, idempotency_key="m")
    ends.turn = turn
    end = [over(call)]
    turn(*(end + repeat if order == "end first" else repeat + end))
    assert again.answers and again.answers[0][1:] == (DELIVERED, b"result")
    assert len([m for m in ends.lines if m["t"] == "EXEC"]) == 1


def test_a_repeat_joins_as_its_caller_s_connection_closes_and_nothing_is_left_over():
    ends, caller, again = Ends(), Caller(), Caller()
    ends.dispatcher.controller = AdmissionController(ends.settings, 1, ends.now)
    _, call = ends.arrive("book", caller, idempotency_key="m")
    ends.arrive("book", again, idempotency_key="m")
    ends.turn(messages.ConnectionClosed(again, frozenset([ends.numbers])), over(call))
    assert codes(caller) == [DELIVERED] and codes(again) == []
    ends.turn(*[messages.DeferredEvent(interface.TimerFired(0, interface.Gauges()))])
    assert not ends.dispatcher.pending and not ends.dispatcher.repeating.joiners


@pytest.mark.parametrize("late", [0.0, 9.0])
def test_a_repeat_that_waits_unread_longer_than_the_window_is_still_one(late):
    """The longest cut-off is twelve seconds, the window two: what reached the machine in it is told apart
    for as long as it may be read."""
    workloads = tuple(w._replace(timeout=12.0, deduplication_window=2.0) for w in WORKLOADS)
    ends, caller, again = Ends(workloads=workloads), Caller(), Caller()
    _, call = ends.arrive(
        "book", caller, do=[lambda n: interface.StoreKey(n, 2.0), interface.Start], idempotency_key="m"
    )
    ends.turn(over(call))
    ends.now += 1.0 + late
    ends.dispatcher.repeating.expire(ends.now)
    ends.arrive(
        "book", again, do=[interface.AnswerFromOriginal], idempotency_key="m", arrived_at=time.time() - late
    )
    assert again.answers[0][1:] == (DELIVERED, b"result")
    ends.now += 30.0
    ends.dispatcher.repeating.expire(ends.now)
    assert ends.dispatcher.repeating.table.size == 0 and not ends.dispatcher.repeating.table.by_key


def test_an_entry_that_expires_while_its_run_is_open_or_in_doubt_leaves_the_run_one_end():
    ends, caller = Ends(), Caller()
    number, call = ends.arrive(
        "book", caller, do=[lambda n: interface.StoreKey(n, 1.0), interface.Start], idempotency_key="m"
    )
    ends.turn(ExecutorDisconnected(ends.now - 1.0))
    ends.now += 30.0
    ends.dispatcher.repeating.expire(ends.now)
    ends.turn(ExecutorConnected(False, 0.0), executor_protocol.GaugesReported(REPLAY_END, ()), over(call))
    assert codes(caller) == [DELIVERED] and not ends.dispatcher.pending


def test_a_reply_that_went_out_on_this_link_is_not_sent_again_after_the_join():
    """Between the welcome and the end of the replay: sent twice it would meet the run's next call."""
    ends, caller = Ends(), Caller()
    number, call = ends.arrive("file", caller, do=[interface.Start])
    ends.turn(ExecutorDisconnected(ends.now))
    ends.turn(
        ExecutorConnected(False, 0.0),
        executor_protocol.CallRequest(1, call, b"ask"),
        do=[interface.Call(number, 1.0)],
    )
    ends.turn(messages.CallFinished(number, ends.calls[-1][1], interface.Outcome.DONE, 0.1, b"said"))
    ends.turn(executor_protocol.GaugesReported(REPLAY_END, ()))
    assert [m["t"] for m in ends.lines].count("RETURN") == 1


def test_an_arrival_that_fails_half_way_is_answered_once_and_left_nowhere(monkeypatch):
    ends, caller = Ends(), Caller()
    monkeypatch.setattr(interface, "Arrived", lambda **_: 1 / 0)
    ends.arrive("read", caller)
    assert codes(caller) == [TURNED_BACK] and not ends.dispatcher.pending and not ends.dispatcher.by_stream
    assert ends.counts["errors.core"] == 1


def test_deep_checks_beyond_the_bound_are_answered_at_once():
    ends, caller = Ends(), Caller()
    ends.turn(do=[])
    ends.dispatcher.healthy, ends.dispatcher.shallow = True, False
    for stream in range(1, 200):
        ends.turn(messages.HealthCheckRequested(caller, stream, True))
    assert len(ends.dispatcher.checks) == 64 and len(caller.answers) == 135
