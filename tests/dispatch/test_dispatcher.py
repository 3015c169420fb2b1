"""The owner of the module with in-memory ends: crossings, a broken link at each stage, one answer each."""

import random

import pytest
from helpers import Caller, Ends

from valeturn.admission import interface
from valeturn.admission.controller import AdmissionController
from valeturn.dispatch import messages
from valeturn.dispatch.executor_client import REPLAY_END
from valeturn.dispatch.turn_pacing import TurnPacing
from valeturn.protocol import executor as executor_protocol
from valeturn.protocol.executor import RunResult

DELIVERED, TURNED_BACK, WRITTEN_OFF = 1, 0, 9
CALL_ENDS = [one for one in interface.Outcome if one is not interface.Outcome.UNSTORED]  # that is a run's
JOINED = executor_protocol.GaugesReported(REPLAY_END, ())


def over(call, end=RunResult.DONE, result=b"result", number=1):
    return executor_protocol.RunEnded(number, call, end, 0.1, result)


@pytest.fixture
def caller():
    return Caller()


def codes(caller):
    return [code for _, code, _ in caller.answers]


def test_a_run_s_result_is_delivered_unchanged_and_told(caller):
    ends = Ends()
    number, call = ends.arrive("read", caller, do=[interface.Start])
    assert ends.lines == [{"t": "EXEC", "rid": call, "route": "read", "b64": "Ym9keQ=="}]
    ends.turn(over(call))
    assert caller.answers == [(1, DELIVERED, b"result")] and not ends.dispatcher.pending
    assert ends.heard[-1] == interface.Ended(number, interface.Outcome.DONE, 0.1)


@pytest.mark.parametrize(
    "end, outcome",
    [
        (RunResult.FAILED, interface.Outcome.ERROR),
        (RunResult.NOTHING, interface.Outcome.MOOT),
        (RunResult.STOPPED, interface.Outcome.CANCELLED),
    ],
)
def test_other_ends_are_written_off_and_told(caller, end, outcome):
    ends = Ends()
    number, call = ends.arrive("file", caller, do=[interface.Start])
    ends.turn(over(call, end))
    assert codes(caller) == [WRITTEN_OFF] and not ends.dispatcher.pending
    assert ends.heard[-1] == interface.Ended(number, outcome, 0.1)


def test_a_finished_run_crosses_what_ends_it(caller):
    """Write-off, halt and withdrawal each cross the run's end: one answer at most, and the end is told."""
    for ending in ("write off", "halt", "withdraw"):
        ends, one = Ends(), Caller()
        number, call = ends.arrive("read", one, do=[interface.Start])
        if ending == "withdraw":
            ends.turn(messages.SubmissionCancelled(one, 1), do=[interface.Interrupt(number)])
            assert ends.heard[-1] == interface.CallerGone(number)
        else:
            ends.turn(
                messages.DeferredEvent(interface.TimerFired(0, None)),
                do=[interface.Fail(number)] * (ending == "write off"),
            )
            ends.turn(messages.DeferredEvent(interface.TimerFired(0, None)), do=[interface.Interrupt(number)])
        ends.turn(over(call))
        assert codes(one) == {"write off": [WRITTEN_OFF], "halt": [DELIVERED], "withdraw": []}[ending]
        assert ends.heard[-1].outcome is interface.Outcome.DONE and not ends.dispatcher.pending
        ends.turn(
            over(call, number=2),
            messages.SubmissionCancelled(one, 1),
            messages.ConnectionClosed(one, frozenset((1,))),
        )
        assert len(one.answers) <= 1 and ends.counts["executor.run_of_none"] == 1


def test_a_stopped_run_that_is_owed_is_held_again(caller):
    ends = Ends()
    number, call = ends.arrive("read", caller, do=[interface.Start])
    ends.turn(messages.DeferredEvent(interface.TimerFired(0, None)), do=[interface.Interrupt(number)])
    ends.turn(over(call, RunResult.STOPPED, b""))
    assert caller.answers == [] and number in ends.dispatcher.pending
    assert ends.turn(messages.DeferredEvent(interface.TimerFired(0, None)), do=[interface.Start(number)]) == [
        ("EXEC", call)
    ]


def test_an_ended_connection_means_all_its_callers_have_gone(caller):
    ends, other = Ends(), Caller()
    first, _ = ends.arrive("read", caller, do=[interface.Start])
    second, _ = ends.arrive("read", caller)
    third, _ = ends.arrive("read", other)
    ends.turn(messages.ConnectionClosed(caller, frozenset(range(1, 9))))
    assert [e.id for e in ends.heard if isinstance(e, interface.CallerGone)] == [first, second]
    assert set(ends.dispatcher.pending) == {first, third}, "one runs on, one is another caller's"


def test_an_open_id_from_another_connection_gets_nothing_of_its_owner_s(caller):
    ends, other = Ends(), Caller()
    _, call = ends.arrive("file", caller, do=[interface.Start])
    ends.arrive("file", other, call_id=call, body=b"another")
    assert other.answers == [(2, WRITTEN_OFF, b"")]
    assert len([e for e in ends.heard if isinstance(e, interface.Arrived)]) == 1
    ends.turn(over(call))
    assert caller.answers == [(1, DELIVERED, b"result")] and len(other.answers) == 1


def test_whoever_made_up_what_the_executor_never_heard_of_is_closed(caller):
    ends = Ends()
    _, call = ends.arrive("read", caller, do=[interface.Start])
    ends.turn(executor_protocol.CommandRejected("KILL", call))
    assert caller.refused is None
    ends.turn(executor_protocol.CommandRejected("EXEC", call))
    assert codes(caller) == [WRITTEN_OFF] and caller.refused and not ends.dispatcher.pending
    assert ends.heard[-1].outcome is interface.Outcome.MOOT


def test_calls_go_out_once_and_replies_come_back_unchanged(caller):
    ends = Ends()
    number, call = ends.arrive("file", caller, do=[interface.Start])
    ends.turn(executor_protocol.CallRequest(1, call, b"ask"), do=[interface.Call(number, 0.2)])
    ((_, attempt, reference, body),) = ends.calls
    assert (reference, body) == (call, b"ask")
    ends.turn(messages.CallFinished(number, attempt, interface.Outcome.DONE, 0.1, b"\x00said"))
    assert ends.lines[-1] == {"t": "RETURN", "rid": call, "b64": "AHNhaWQ="}
    ends.turn(messages.CallFinished(number, attempt, interface.Outcome.DONE, 0.1, b"again"))
    assert ends.counts["ledger.reply_of_none"] == 1 and len(ends.lines) == 2
    ends.turn(executor_protocol.CallRequest(2, call, b"ask 2"), do=[interface.Call(number, 0.2)])
    ends.turn(over(call, RunResult.STOPPED, number=3))
    ends.turn(messages.CallFinished(number, ends.calls[-1][1], interface.Outcome.DONE, 0.1, b"late"))
    assert ends.given_up[-1] == number and [m["t"] for m in ends.lines].count("RETURN") == 1


def test_going_without_names_the_notice_and_gives_the_call_up(caller):
    ends = Ends()
    number, call = ends.arrive("read", caller, do=[interface.Start])
    ends.turn(executor_protocol.CallRequest(7, call, b"ask"), do=[interface.Call(number, 0.2)])
    ends.turn(messages.DeferredEvent(interface.TimerFired(0, None)), do=[interface.BypassCall(number)])
    assert ends.lines[-1] == {"t": "BYPASS", "rid": call, "no": 7} and ends.given_up == [number]


# ---- the link breaks


def rejoin(ends, *missed):
    ends.up = False
    ends.turn(messages.ExecutorDisconnected(ends.now))
    ends.up = True
    return ends.turn(messages.ExecutorConnected(False, 9.0), *missed, JOINED)


@pytest.mark.parametrize("workload, again", [("read", True), ("file", False), ("book", False)])
def test_a_start_in_doubt_is_sent_again_only_where_it_may_run_twice(caller, workload, again):
    ends = Ends()
    _, call = ends.arrive(workload, caller, do=[interface.Start])
    assert rejoin(ends) == [("EXEC", call)] * again
    ends.turn(over(call))
    assert codes(caller) == [DELIVERED]


def test_a_start_known_to_have_arrived_is_not_sent_again(caller):
    ends = Ends()
    _, call = ends.arrive("read", caller, do=[interface.Start])
    ends.gauge()
    assert rejoin(ends) == []


def test_what_was_sent_well_before_a_break_or_asked_after_has_arrived(caller):
    ends = Ends()
    _, call = ends.arrive("file", caller, do=[interface.Start])
    ends.turn(messages.ExecutorDisconnected(ends.now + 0.01))
    assert ends.turn(messages.ExecutorConnected(False, 9.0), JOINED) == [] and not ends.later


def doubted(ends, caller):
    number, call = ends.arrive("file", caller, do=[interface.Start], cost_hint=0.2)
    assert rejoin(ends) == []
    ((delay, push, (doubt,)),) = ends.later
    assert 0.6 < delay < 1.0 and push == ends.dispatcher.mailbox.push
    return number, call, doubt


def test_a_run_in_doubt_that_never_began_is_started_again_long_before_it_is_due(caller):
    ends = Ends()
    number, call, doubt = doubted(ends, caller)
    assert ends.turn(doubt) == [("KILL", call)]
    ends.gauge()
    assert (
        ends.heard[-1] == interface.Ended(number, interface.Outcome.CANCELLED, 0.0) and caller.answers == []
    )
    assert ends.turn(messages.DeferredEvent(interface.TimerFired(0, None)), do=[interface.Start(number)]) == [
        ("EXEC", call)
    ]


def test_a_run_in_doubt_that_was_heard_of_is_left_alone(caller):
    ends = Ends()
    _, call, doubt = doubted(ends, caller)
    assert ends.turn(executor_protocol.CallRequest(1, call, b"ask")) == ends.turn(doubt) == []
    ends.gauge()
    ends.turn(over(call, number=2))
    assert codes(caller) == [DELIVERED]


def test_a_run_in_doubt_that_does_run_is_written_off_and_never_run_again(caller):
    ends = Ends()
    number, call, doubt = doubted(ends, caller)
    ends.turn(doubt)
    ends.turn(over(call, RunResult.STOPPED, b""))
    assert ends.heard[-1] == interface.Ended(number, interface.Outcome.ERROR, 0.1) and codes(caller) == [
        WRITTEN_OFF
    ]
    assert (
        ends.turn(messages.DeferredEvent(interface.TimerFired(0, None)), do=[interface.Start(number)]) == []
    )


def test_a_start_whose_end_was_missed_is_not_sent_again(caller):
    ends = Ends()
    _, call = ends.arrive("read", caller, do=[interface.Start])
    assert rejoin(ends, over(call)) == [] and codes(caller) == [DELIVERED]


def test_a_start_without_a_link_is_sent_after_the_join_unless_halted(caller):
    ends = Ends()
    ends.up = False
    ends.turn(messages.ExecutorDisconnected(ends.now))
    first, call = ends.arrive("file", caller, do=[interface.Start])
    second, _ = ends.arrive("read", caller, do=[interface.Start])
    ends.turn(messages.DeferredEvent(interface.TimerFired(0, None)), do=[interface.Interrupt(second)])
    ends.turn()
    assert ends.heard[-1] == interface.Ended(second, interface.Outcome.CANCELLED, 0.0)
    ends.up = True
    assert ends.turn(messages.ExecutorConnected(False, 9.0), JOINED) == [("EXEC", call)]


def test_a_halt_is_sent_again_and_a_run_that_never_was_ends(caller):
    ends = Ends()
    number, call = ends.arrive("file", caller, do=[interface.Start])
    assert rejoin(ends) == []
    ends.turn(
        messages.DeferredEvent(interface.TimerFired(0, None)),
        do=[interface.Fail(number), interface.Interrupt(number)],
    )
    assert rejoin(ends) == [("KILL", call)]
    ends.gauge()
    assert (
        ends.heard[-1] == interface.Ended(number, interface.Outcome.CANCELLED, 0.0)
        and not ends.dispatcher.pending
    )


@pytest.mark.parametrize("workload, command", [("read", "BYPASS"), ("file", "RETURN")])
def test_a_reply_in_doubt_cannot_meet_the_next_call_where_that_can_be_helped(caller, workload, command):
    ends = Ends()
    number, call = ends.arrive(workload, caller, do=[interface.Start])
    ends.turn(executor_protocol.CallRequest(1, call, b"ask"), do=[interface.Call(number, 0.2)])
    ends.turn(messages.CallFinished(number, ends.calls[0][1], interface.Outcome.DONE, 0.1, b"said"))
    assert rejoin(ends) == [(command, call)]
    ends.gauge()
    assert rejoin(ends) == [], "known to have arrived"


def test_a_reply_made_without_a_link_is_sent_as_it_is(caller):
    ends = Ends()
    number, call = ends.arrive("read", caller, do=[interface.Start])
    ends.turn(executor_protocol.CallRequest(1, call, b"ask"), do=[interface.Call(number, 0.2)])
    ends.up = False
    ends.turn(messages.ExecutorDisconnected(ends.now))
    ends.turn(messages.CallFinished(number, ends.calls[0][1], interface.Outcome.DONE, 0.1, b"said"))
    assert rejoin(ends) == [("RETURN", call)]


def test_after_lost_notices_only_idempotent_runs_are_asked_for_again(caller):
    ends = Ends()
    calls = [ends.arrive(workload, caller, do=[interface.Start])[1] for workload in ("read", "file")]
    ends.gauge()
    assert rejoin(ends, messages.NoticesLost()) == [("EXEC", calls[0])]


@pytest.mark.parametrize("workload", ["file", "book"])
def test_a_run_whose_end_was_missed_is_written_off_and_never_started_again(caller, workload):
    """No end after the stop does not prove that it never ran: its end was among those that were missed."""
    ends = Ends()
    ends.dispatcher.controller = AdmissionController(ends.settings, 1, ends.now)
    number, call = ends.arrive(workload, caller, idempotency_key="m")
    ends.gauge()
    rejoin(ends, messages.NoticesLost())
    ((delay, push, (doubt,)),) = ends.later
    assert ends.turn(doubt) == [("KILL", call)]
    ends.gauge()
    assert codes(caller) == [WRITTEN_OFF] and ends.counts["executor.end_unheard"] == 1
    assert [m["t"] for m in ends.lines].count("EXEC") == 1 and not ends.dispatcher.pending


def test_where_work_cannot_be_stopped_a_doubt_ends_as_one_that_may_have_run(caller):
    ends = Ends(interruption=interface.Interruption.UNSUPPORTED)
    number, call = ends.arrive("file", caller, do=[interface.Start])
    rejoin(ends)
    ends.turn(messages.DeferredEvent(interface.TimerFired(0, None)), do=[interface.Fail(number)])
    ends.gauge()
    assert (
        ends.heard[-1] == interface.Ended(number, interface.Outcome.ERROR, 0.0)
        and not ends.dispatcher.pending
    )


def test_one_that_asks_for_a_call_after_the_missed_notices_has_not_ended_among_them(caller):
    ends = Ends()
    number, call = ends.arrive("file", caller, do=[interface.Start])
    ends.gauge()
    rejoin(ends, messages.NoticesLost(), executor_protocol.CallRequest(9, call, b"ask"))
    assert not ends.dispatcher.pending[number].unheard
    ends.turn(over(call, number=10))
    assert codes(caller) == [DELIVERED]


# ---- turns


def test_turns_are_spaced_only_while_little_cpu_is_left():
    now, used, gaps = [0.0], [0.0], []
    pace = TurnPacing(lambda: now[0], 0.5, lambda: used[0])
    for share in [0.3] * 10 + [0.5] * 10 + [0.1] * 10:
        now[0], used[0] = now[0] + 0.1, used[0] + 0.1 * share
        gaps.append(pace.gap())
    assert max(gaps[:10]) == 0.0 and 0.005 < gaps[19] < 0.01 and gaps[10] < gaps[12] < gaps[19]
    assert gaps[-1] == 0.0


def test_late_wake_ups_of_a_mark_are_one_and_stale_gauges_are_left_out(caller):
    ends = Ends()
    ends.turn(
        messages.DeferredEvent(interface.TimerFired(9, None)),
        do=[interface.SetTimer(0.1, 5), interface.SetTimer(0.2, 5), interface.SetTimer(0.2, 6)],
    )
    ends.turn(executor_protocol.GaugesReported("1", (0.5, 3, 0.1, 2)))
    ends.heard, ends.now = [], ends.now + 0.21
    ends.turn()
    assert ends.heard == [
        interface.TimerFired(5, interface.Gauges(0.5, 3, 0.1, 2)),
        interface.TimerFired(6, interface.Gauges(0.5, 3, 0.1, 2)),
    ]
    ends.turn(messages.DeferredEvent(interface.TimerFired(9, None)), do=[interface.SetTimer(1.0, 5)])
    ends.now += 1.0
    ends.turn()
    assert ends.heard[-1] == interface.TimerFired(5, interface.Gauges())


def test_a_check_hears_the_truth_before_during_and_after(caller):
    ends = Ends()
    for good, action in (
        (True, ()),
        (False, [interface.Health(False, True)]),
        (True, [interface.Health(True, True)]),
    ):
        ends.turn(messages.DeferredEvent(interface.TimerFired(0, None)), do=action)
        ends.turn(messages.HealthCheckRequested(caller, 1, True))
        assert caller.answers[-1][1] == good
    ends.turn(messages.DeferredEvent(interface.TimerFired(0, None)), do=[interface.Health(True, False)])
    assert (
        ends.turn(messages.HealthCheckRequested(caller, 2, True))[0][0] == "DIAG" and len(caller.answers) == 3
    )
    ends.turn(executor_protocol.DiagnosisReported(ends.lines[-1]["mark"], False))
    assert caller.answers[-1][:2] == (2, 0)
    ends.dispatcher.controller = None
    ends.dispatcher.healthy = False
    ends.turn(messages.HealthCheckRequested(caller, 3, False))
    assert caller.answers[-1][:2] == (3, 0) and len(caller.answers) == 5


def test_a_module_that_fails_leaves_true_answers_and_serving_goes_on(caller):
    ends = Ends()
    ends.arrive("read", caller)
    ends.arrive("file", caller, do=[interface.Start])
    _, call = ends.arrive("file", caller, do=[interface.Start])
    ends.turn(over(call, RunResult.STOPPED))  # unasked: its caller has gone, and one answer does no harm
    ends.fail_once()
    ends.turn(messages.DeferredEvent(interface.TimerFired(0, None)), do=[interface.Health(True, True)])
    assert [a[:2] for a in caller.answers] == [(3, WRITTEN_OFF), (1, TURNED_BACK), (2, WRITTEN_OFF)]
    assert not ends.dispatcher.pending and "module_failed" in ends.logged
    _, call = ends.arrive("read", caller, do=[interface.Start])
    ends.turn(over(call))
    assert caller.answers[-1][:2] == (4, DELIVERED)


def test_a_fault_of_the_owner_s_own_turn_answers_what_it_had_heard_and_serving_goes_on(caller):
    """Before, its task ended, and the process with it: with all that was open."""
    ends = Ends()
    ends.arrive("file", caller, do=[interface.Start])
    whole, ends.dispatcher.meet_wakes = ends.dispatcher.meet_wakes, lambda now: 1 / 0
    ends.arrive("read", caller)
    ends.dispatcher.meet_wakes = whole
    assert [a[:2] for a in caller.answers] == [(1, WRITTEN_OFF), (2, TURNED_BACK)]
    assert not ends.dispatcher.pending and ends.logged.count("module_failed") == 1
    _, call = ends.arrive("read", caller, do=[interface.Start])
    ends.turn(over(call))
    assert caller.answers[-1][:2] == (3, DELIVERED)


def test_a_module_that_fails_while_leaving_hears_of_the_stop_again(caller):
    ends = Ends()
    ends.turn(messages.DrainRequested(3.0))
    assert ends.heard[-1] == interface.DrainStarted(3.0) and ends.told[-1] is False
    ends.fail_once()
    ends.now += 1.0
    ends.turn(messages.DeferredEvent(interface.TimerFired(0, None)))
    assert ends.heard.count(interface.DrainStarted(3.0)) == 2


def test_a_notice_before_the_module_starts_counts_from_when_it_came(caller):
    ends = Ends()
    ends.dispatcher.controller, ends.dispatcher.healthy, times = None, False, []
    ends.turn(messages.DrainRequested(3.0))
    ends.decide = lambda now, events: times.append((now, list(events))) or []
    ends.now += 1.0
    ends.turn(messages.ExecutorConnected(True, 0.0))
    assert times[0] == (100.0, [interface.DrainStarted(3.0)])


def test_without_a_module_all_is_turned_back_and_health_is_not_good(caller):
    ends = Ends()
    ends.decide = lambda *_: 1 / 0
    ends.arrive("read", caller)
    ends.arrive("read", caller)
    ends.turn(messages.HealthCheckRequested(caller, 9, False))
    assert caller.answers == [(1, TURNED_BACK, b""), (2, TURNED_BACK, b""), (9, 0, b"")]
    assert ends.logged.count("module_failed") == 2


def test_a_fault_with_one_message_does_not_stop_the_others(caller):
    ends = Ends()
    ends.dispatcher.names.tenants = None
    ends.arrive("read", caller)
    assert codes(caller) == [TURNED_BACK] and ends.logged == ["welcome", "core_fault"]


def test_reads_of_one_subject_share_a_result(caller):
    ends = Ends(result_lifetime=2.0)
    first, call = ends.arrive(
        "read", caller, do=[lambda n: interface.StoreKey(n, 9.0), interface.Start], subject="s"
    )
    second, _ = ends.arrive("read", caller, do=[interface.AnswerFromOriginal], subject="s")
    assert ends.heard[-1].duplicate_of == first and caller.answers == []
    ends.turn(over(call))
    third, _ = ends.arrive("read", caller, do=[interface.AnswerFromOriginal], subject="s")
    assert [a[1:] for a in caller.answers] == [(DELIVERED, b"result")] * 3 and not ends.dispatcher.pending
    ends.turn()
    assert ends.heard[-1] == interface.Ended(third, interface.Outcome.DONE, 0.0)
    ends.turn(messages.DeferredEvent(interface.TimerFired(0, None)), do=[interface.Forget(first)])
    ends.arrive("read", caller, subject="s")
    assert ends.heard[-1].duplicate_of is None


@pytest.mark.parametrize("seed", range(12))
def test_one_answer_each_under_any_order_of_events(seed):
    """The real module, a random machine with a link that breaks, and a plain count of answers and runs."""
    chance, caller = random.Random(seed), Caller()
    ends = Ends()
    ends.dispatcher.controller = AdmissionController(ends.settings, seed, ends.now)
    state, seen, due = {}, 0, {}  # call -> where its run is
    notices, number = [], 0
    for step in range(700):
        ends.now += 0.01
        if step < 450 and chance.random() < 0.25:
            workload = chance.choice(("read", "book", "file"))
            _, call = ends.arrive(workload, caller, caller=1)
            due[ends.numbers], state[call] = ends.now + 2.0, [workload, "held", ends.numbers, 0]
        events, link = [], chance.random()
        if link < 0.02 and ends.up:
            ends.up = False
            events.append(messages.ExecutorDisconnected(ends.now))
        elif link < 0.1 and not ends.up:
            ends.up = True
            events += [messages.ExecutorConnected(False, 9.0), *notices, JOINED]
            notices = []
        for call, one in state.items():
            told, roll = [], chance.random()
            if one[1] == "running" and roll < 0.06:
                number += 1
                if one[0] != "book" and roll < 0.02:
                    one[1], told = "at call", [executor_protocol.CallRequest(number, call, b"ask")]
                else:
                    one[1], told = (
                        "over",
                        [over(call, chance.choice((RunResult.DONE, RunResult.FAILED)), b"r", number)],
                    )
            elif one[1] == "at call" and roll < 0.02:
                one[1], told = "over", [over(call, RunResult.STOPPED, b"", number)]
            elif roll > 0.999:
                events.append(messages.SubmissionCancelled(caller, one[2]))
            (events if ends.up else notices).extend(told)
        for _, push, args in ends.later:
            push(*args)
        ends.later.clear()
        while ends.calls and chance.random() < 0.5:
            who, attempt, *_ = ends.calls.pop()
            events.append(messages.CallFinished(who, attempt, chance.choice(CALL_ENDS), 0.1, b"said"))
        ends.turn(*events)
        if step % 10 == 9 and ends.up:
            ends.gauge()
        for m in ends.lines[seen:]:
            one = state.get(m.get("rid"))
            if m["t"] == "EXEC" and one[1] != "running":
                if one[1] == "over" and one[3]:
                    assert one[0] == "read", "an effect ran twice"
                one[1], one[3] = "running", one[3] + 1
            elif m["t"] in ("RETURN", "BYPASS") and one[1] == "at call":
                one[1] = "running"
            elif m["t"] == "KILL" and one[1] in ("running", "at call"):
                number += 1
                one[1] = "over"
                notices.append(over(m["rid"], RunResult.STOPPED, b"", number))
        seen = len(ends.lines)
        if ends.up and notices:
            ends.turn(*notices)
            notices = []
        answered = [stream for stream, _, _ in caller.answers]
        assert len(answered) == len(set(answered)), "two answers"
        late = {stream for stream, at in due.items() if ends.now > at + ends.settings.answer_slack}
        owed = {sub.stream for sub in ends.dispatcher.pending.values() if not sub.answered}
        assert not owed & late, "an answer overdue"
    assert ends.counts["out.delivered"] > 5 and ends.counts.get("errors.core", 0) == 0
    assert all(sub.answered for sub in ends.dispatcher.pending.values()), "lost"
