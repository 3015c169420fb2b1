import pytest
from helpers import Model, settings

from valeturn.admission import interface
from valeturn.admission.controller import OWN_ROOM, ROOM, AdmissionController

READ, BOOK, FILE = range(3)


def model(**changes):
    s = settings(**changes)
    m = Model(AdmissionController(s, 1, 0.0), s)
    m.batch(0.0)
    return m


def arrive(number, workload=READ, **more):
    given = dict(tenant=0, memory=10.0, cost_hint=0.1, subject=f"k{number}")
    return interface.Arrived(number, workload, **{**given, **more})


def woken(busy=1.0, runnable=9):
    return interface.TimerFired(0, interface.Gauges(busy, runnable, 0.1, 5))


def kinds(actions, number=None):
    return [type(a) for a in actions if hasattr(a, "id") and number in (None, a.id)]


def until(m, stop, step=0.05, at=0.0):
    out = []
    while at < stop:
        at = round(at + step, 6)
        out += m.batch(at, woken())
    return out


def test_running_work_is_answered_before_it_is_due_and_stopped():
    m = model()
    assert kinds(m.batch(0.1, arrive(1, time_left=1.0))) == [interface.Start]
    assert kinds(until(m, 1.2, at=0.1)) == [interface.Fail, interface.Interrupt]


def test_held_work_is_turned_back_once_its_goal_is_past():
    m = model(interruption=interface.Interruption.UNSUPPORTED)
    m.batch(0.1, arrive(1, FILE), arrive(2, FILE), arrive(3, READ))
    assert kinds(until(m, 1.3, at=0.1), 3) == [interface.Reject]


def test_starts_keep_to_the_cores_and_shortest_first_when_pressed():
    m = model()
    out = m.batch(0.1, *[arrive(n, cost_hint=0.4 - n / 40, time_left=2.9) for n in range(1, 9)])
    assert kinds(out).count(interface.Start) == 2
    m.batch(0.2, interface.Ended(7, interface.Outcome.DONE, 0.1))
    assert [a.id for a in m.sent if isinstance(a, interface.Start)][:3] == [8, 7, 6]


def test_few_held_start_in_arrival_order():
    m = model(cores=4)
    m.batch(0.1, *[arrive(n, FILE) for n in range(1, 5)], arrive(5, FILE, cost_hint=0.4), arrive(6, FILE))
    assert kinds(m.batch(0.4, interface.Ended(1, interface.Outcome.DONE, 0.3)), 5) == [interface.Start]


def test_limit_rises_while_cores_idle_and_is_cut_when_runs_take_twice_as_long():
    m = model()
    m.batch(0.1, *[arrive(n, FILE, time_left=4.9) for n in range(1, 9)])
    m.batch(0.15, woken(busy=0.3, runnable=1))
    assert kinds(m.batch(0.2, interface.Ended(1, interface.Outcome.DONE, 0.1))).count(interface.Start) == 2
    assert (
        kinds(m.batch(0.21, *[interface.Ended(n, interface.Outcome.DONE, 0.1) for n in (3, 4)])).count(
            interface.Start
        )
        == 2
    )
    assert m.rules.limit == 3.0, "by one a sweep, however many end in it"
    m.rules.limit = 6.0
    sums, calm = m.rules.runs.read(0.2), m.rules.calm.read(0.2)
    sums[8:10], calm[4:6] = (1.0, 10.0), (1.0, 3.0)
    m.batch(1.5, interface.Ended(2, interface.Outcome.DONE, 1.4))
    assert m.rules.limit == pytest.approx(4.8)


def test_a_stopped_caller_frees_the_cores_but_a_repeat_may_still_come():
    m = model()
    m.batch(0.1, arrive(1, FILE), arrive(2, BOOK))
    assert kinds(m.batch(0.2, interface.CallerGone(1), interface.CallerGone(2))) == [interface.Interrupt]


def test_a_repeat_joins_what_it_repeats_and_is_never_turned_back_once_that_ran():
    m = model()
    assert kinds(m.batch(0.1, arrive(1, BOOK, subject="x"))) == [interface.StoreKey, interface.Start]
    assert kinds(m.batch(0.2, arrive(2, BOOK, subject="x", duplicate_of=1))) == [interface.AnswerFromOriginal]
    assert interface.Reject not in kinds(until(m, 6.5, at=0.2))


def test_no_room_for_a_key_turns_back_rather_than_run_unmarked():
    m = model(memory=100.0, key_memory=90.0)
    assert kinds(m.batch(0.1, arrive(1, BOOK))) == [interface.Reject]


def test_the_key_of_one_turned_back_is_forgotten():
    m = model(interruption=interface.Interruption.UNSUPPORTED)
    m.batch(0.1, arrive(1, FILE), arrive(2, FILE), arrive(3, BOOK))
    assert kinds(until(m, 2.3, at=0.1), 3) == [interface.Forget, interface.Reject]


def test_drain_turns_newcomers_past_the_grace_away_and_answers_all_before_the_stop():
    m = model()
    m.batch(0.1, arrive(1, FILE), interface.DrainStarted(3.0))
    assert interface.Health(False, True) in m.sent
    assert kinds(m.batch(1.0, arrive(2, FILE))) == [interface.Start]
    out = m.batch(1.2, arrive(3, FILE))
    assert out == [interface.Reject(3, 1.0, False)]
    until(m, 3.05, at=1.2)
    assert not any(sub["owed"] for sub in m.subs.values())


def test_a_call_is_repeated_only_if_it_proved_never_run():
    m = model()
    m.batch(0.1, arrive(1, FILE), arrive(2, READ))
    assert kinds(m.batch(0.2, interface.CallRequested(1), interface.CallRequested(2))) == [
        interface.Call,
        interface.Call,
    ]
    assert kinds(m.batch(0.3, interface.CallEnded(1, interface.Outcome.REFUSED, 0.1))) == [interface.Call]
    assert kinds(m.batch(0.4, interface.CallEnded(1, interface.Outcome.RESET, 0.1))) == [interface.Fail]
    assert kinds(m.batch(0.5, interface.CallEnded(2, interface.Outcome.TIMED_OUT, 0.1))) == [interface.Call]
    assert kinds(m.batch(0.6, interface.CallEnded(2, interface.Outcome.TIMED_OUT, 0.1))) == [
        interface.BypassCall
    ]


def test_calls_out_keep_to_the_share_and_short_ones_are_not_starved_by_a_small_one():
    m = model(call_quota=0.8, cores=4)
    m.batch(0.1, *[arrive(n, FILE) for n in range(1, 5)])
    assert kinds(m.batch(0.2, *[interface.CallRequested(n) for n in range(1, 5)])).count(interface.Call) == 2
    for at in (0.21, 0.22):
        done = next(i for i, sub in m.subs.items() if sub["at"] == "calling")
        assert (
            kinds(m.batch(at, interface.CallEnded(done, interface.Outcome.DONE, 0.01))).count(interface.Call)
            == 1
        )
    last = next(i for i, sub in m.subs.items() if sub["at"] == "calling")
    m.batch(0.3, interface.CallerGone(last), interface.Ended(last, interface.Outcome.CANCELLED, 0.2))
    assert m.rules.credit < 0.8 + 0.05


@pytest.mark.parametrize("workload, means", [(READ, 10), (FILE, 24)])
def test_a_silent_call_is_given_up_in_time_and_a_slow_dependency_is_learnt(workload, means):
    """Sooner where the call can be made again."""
    m = model(call_quota=20.0)
    m.batch(0.1, arrive(1, workload), arrive(2, workload))
    (first,) = [a for a in m.batch(0.2, interface.CallRequested(1)) if isinstance(a, interface.Call)]
    assert first.timeout == pytest.approx(means * 0.025), "nothing is known yet"
    m.batch(0.23, interface.CallEnded(1, interface.Outcome.DONE, 0.03))
    (second,) = [a for a in m.batch(0.3, interface.CallRequested(2)) if isinstance(a, interface.Call)]
    assert second.timeout == pytest.approx(means * 0.03)
    m.batch(1.1, interface.CallEnded(2, interface.Outcome.TIMED_OUT, 0.8))
    assert m.rules.least_wait() == pytest.approx(4 * 0.415, rel=0.05)


def test_a_cold_server_starts_fewer_and_none_pass_the_ceiling():
    m = model(starts_cold=True, interruption=interface.Interruption.UNSUPPORTED)
    m.rules.limit = 99.0
    m.batch(0.1, *[arrive(n, time_left=2.0) for n in range(1, 30)])
    assert sum(sub["at"] == "running" for sub in m.subs.values()) == 2


def test_memory_goes_to_what_is_held_last():
    m = model(memory=400.0)
    m.batch(0.1, *[arrive(n, FILE, memory=15.0) for n in range(1, 50)])
    assert kinds(m.sent).count(interface.Start) == 1 and kinds(m.sent).count(interface.Reject) > 10


def test_a_tenant_past_its_allowance_goes_first():
    m = model(interruption=interface.Interruption.UNSUPPORTED)
    m.batch(0.05, *[arrive(n, tenant=0, cost_hint=0.3) for n in range(1, 40)])
    out = m.batch(0.1, *[arrive(n, tenant=1, cost_hint=0.3) for n in range(40, 42)])
    assert interface.Reject not in kinds(out, 40) + kinds(out, 41)


def test_callers_are_asked_not_to_go_on_once_many_are_turned_back():
    """While few are others likely have room; with more all would go through all servers' doors."""
    m = model(cores=1, interruption=interface.Interruption.UNSUPPORTED)
    m.batch(0.1, *[arrive(n, cost_hint=0.9) for n in range(1, 9)])
    backs = [a.final for a in m.sent if isinstance(a, interface.Reject)]
    assert len(backs) >= 4 and backs == [n / 8 >= ROOM for n in range(1, len(backs) + 1)]


def test_what_a_server_s_own_trouble_turns_back_may_go_on():
    m = model(cores=1, interruption=interface.Interruption.UNSUPPORTED, starts_cold=True)
    m.batch(0.1, *[arrive(n, cost_hint=0.9) for n in range(1, 9)])
    backs = [a for a in m.sent if isinstance(a, interface.Reject)]
    assert len(backs) >= 7
    assert [a.final for a in backs] == [n / 8 >= OWN_ROOM for n in range(1, len(backs) + 1)]


def test_a_dependency_that_gets_much_slower_is_learnt_in_a_few_calls_and_a_silent_one_is_none():
    """Twenty quick calls, then slow ones that are given up: a mean of ten seconds alone gave up one after the
    other. One in twenty that is never answered moves nothing."""
    m, now = model(call_quota=20.0, cores=6), 0.0
    for n in range(1, 41):
        silent = n in (10, 30)
        m.batch(now + 0.01, arrive(n, FILE, time_left=4.0))
        (call,) = [
            a for a in m.batch(now + 0.02, interface.CallRequested(n)) if isinstance(a, interface.Call)
        ]
        took = call.timeout if silent else 0.01
        m.batch(
            now + 0.02 + took,
            interface.CallEnded(n, interface.Outcome.TIMED_OUT if silent else interface.Outcome.DONE, took),
        )
        m.batch(
            now + 0.03 + took,
            interface.Ended(n, interface.Outcome.CANCELLED if silent else interface.Outcome.DONE, 0.02),
        )
        now += 1.0
    assert m.rules.middle < 0.03, "two were silent, each for its whole wait"
    given_up = 0
    for n in range(41, 61):
        m.batch(now + 0.01, arrive(n, FILE, time_left=4.0))
        (call,) = [
            a for a in m.batch(now + 0.02, interface.CallRequested(n)) if isinstance(a, interface.Call)
        ]
        given_up += call.timeout < 1.0
        took, outcome = (
            (call.timeout, interface.Outcome.TIMED_OUT)
            if call.timeout < 1.0
            else (1.0, interface.Outcome.DONE)
        )
        m.batch(now + 0.02 + took, interface.CallEnded(n, outcome, took))
        ended = interface.Outcome.DONE if outcome is interface.Outcome.DONE else interface.Outcome.CANCELLED
        m.batch(now + 0.03 + took, interface.Ended(n, ended, 0.1))
        now += 1.2
    assert 1 <= given_up <= 4, "then their waits are long enough"


def slow_call(m, took=0.3):
    """One call that tells how slow the dependency is."""
    m.batch(0.05, arrive(90, FILE))
    m.batch(0.06, interface.CallRequested(90))
    m.batch(
        0.06 + took,
        interface.CallEnded(90, interface.Outcome.DONE, took),
        interface.Ended(90, interface.Outcome.DONE, took + 0.1),
    )


def test_who_would_stand_long_for_a_call_goes_without_at_once_and_the_others_keep_the_credit():
    read, *others = settings().workloads  # its goal is far: only the wait speaks against it
    m = model(call_quota=0.4, cores=12, workloads=(read._replace(latency_objective=2.9), *others))
    slow_call(m)
    m.batch(2.0, *[arrive(n, READ, time_left=2.9) for n in range(1, 7)], arrive(7, FILE))
    out = m.batch(2.1, *[interface.CallRequested(n) for n in range(1, 8)])
    assert kinds(out, 7) == [interface.Call], "it can't go without"
    assert kinds(out).count(interface.BypassCall) >= 4, "those would stand longer than a call takes"


def with_late_share(share):
    *others, filed = settings().workloads
    return (*others, filed._replace(late_value_share=share))


@pytest.mark.parametrize("share, late", [(0.0, interface.Fail), (0.2, interface.Call)])
def test_who_would_earn_nothing_after_its_call_is_written_off_at_once_and_leaves_the_credit(share, late):
    """A dependency that got slow: in the order of goals all of them would be served, each just too late."""
    m = model(call_quota=0.4, cores=12, workloads=with_late_share(share))
    slow_call(m)
    m.batch(2.0, arrive(1, FILE, waited=1.75), arrive(2, FILE))
    out = m.batch(2.1, interface.CallRequested(1), interface.CallRequested(2))
    assert kinds(out, 1) == [late], "it takes 0.3 s, and 0.15 are left"
    assert (interface.Call in kinds(out, 2)) == (not share), "there is credit for one"


def test_who_stands_for_a_call_is_written_off_once_it_can_only_be_late():
    m = model(call_quota=0.2, cores=12)
    slow_call(m)
    m.batch(2.0, *[arrive(n, FILE) for n in range(1, 9)])
    out = m.batch(2.1, *[interface.CallRequested(n) for n in range(1, 9)])
    assert 0 < kinds(out).count(interface.Fail) < 8, "its share of calls serves a few before their goal"
    assert all(a.timeout <= 2.0 + 2.0 - 2.1 + 1e-9 for a in out if isinstance(a, interface.Call))


@pytest.mark.parametrize("share, until_", [(0.0, 2.0), (0.2, 5.0)])
def test_a_call_is_waited_for_only_while_its_answer_would_earn_something(share, until_):
    m = model(call_quota=90.0, workloads=with_late_share(share))
    slow_call(m, took=1.9)
    m.batch(2.0, arrive(1, FILE, time_left=5.0))
    (call,) = [a for a in m.batch(2.01, interface.CallRequested(1)) if isinstance(a, interface.Call)]
    assert call.timeout == pytest.approx(until_ - 0.01)


def test_a_call_that_can_be_left_out_is_waited_for_only_while_the_run_still_fits():
    m = model()
    m.batch(0.1, arrive(1, READ, cost_hint=0.2, time_left=2.9), arrive(2, FILE))
    call = [
        a
        for a in m.batch(0.2, interface.CallRequested(1), interface.CallRequested(2))
        if isinstance(a, interface.Call)
    ]
    assert [a.id for a in call] == [2, 1] and 0.2 + call[1].timeout < 0.9 + 1e-9
    assert kinds(m.batch(0.95, interface.CallEnded(1, interface.Outcome.TIMED_OUT, 0.7))) == [
        interface.BypassCall
    ]


def test_one_odd_long_wait_does_not_make_the_usual_ones_look_old():
    m = model(cores=8)
    for n in range(1, 6):
        m.batch(
            0.1 * n,
            arrive(n, time_left=1.2),
            interface.Ended(n - 1, interface.Outcome.DONE, 0.1) if n > 1 else woken(),
        )
    m.batch(0.6, arrive(6, time_left=2.9))
    assert kinds(m.batch(0.7, arrive(7, time_left=1.2)), 7) == [interface.Start]
    assert kinds(m.batch(0.8, arrive(8, time_left=0.1)), 8) == [interface.Reject]


def test_health_goes_bad_while_the_server_stalls_and_good_again_once_it_does_not():
    m = model(interruption=interface.Interruption.UNSUPPORTED)
    m.batch(0.1, arrive(1, time_left=1.0), arrive(2, time_left=1.0))
    until(m, 3.0, at=0.1)
    assert interface.Health(False, True) not in m.sent
    m.batch(3.0, arrive(3, waited=2.0, time_left=1.0), arrive(4, waited=2.0, time_left=1.0), woken())
    assert interface.Health(False, True) in m.sent
    m.batch(
        3.1, interface.Ended(1, interface.Outcome.DONE, 3.0), interface.Ended(2, interface.Outcome.DONE, 3.0)
    )
    assert interface.Health(True, True) in until(m, 20.0, at=3.1)


def test_a_much_smaller_newcomer_pauses_the_largest_run_whose_key_outlives_its_caller():
    m = model(interruption=interface.Interruption.SUSPEND, cores=1)
    m.batch(0.1, arrive(1, BOOK, cost_hint=0.5))
    assert kinds(m.batch(0.11, arrive(2, cost_hint=0.05), arrive(3, cost_hint=0.05)), 1) == [
        interface.Interrupt
    ]
    assert kinds(m.batch(0.12, interface.Ended(1, interface.Outcome.CANCELLED, 0.02)), 2) == [interface.Start]
    assert interface.Forget not in kinds(m.batch(0.13, interface.CallerGone(1)))


def test_unused_connections_are_closed_soon_only_while_more_are_open_than_are_used():
    m = model()
    for at, connections in ((0.1, 15), (0.2, 60), (0.3, 60), (0.4, 15)):
        m.batch(at, interface.TimerFired(0, interface.Gauges(0.5, 1, 0.1, connections)))
    assert [a.idle_time for a in m.sent if isinstance(a, interface.CloseIdleConnections)] == [0.1, 0.0]


def test_what_is_foreseen_late_is_kept_as_a_spare_only_where_its_wait_is_told():
    for left, kept in ((2.5, True), (None, False)):
        m = model(cores=1, interruption=interface.Interruption.UNSUPPORTED)
        m.batch(0.05, *[arrive(n, FILE, cost_hint=0.6, time_left=left) for n in range(1, 5)])
        held = [n for n, sub in m.subs.items() if sub["at"] == "held"]
        assert (len(held) == 3) is kept


def test_what_is_read_too_late_to_be_seen_again_is_turned_back_at_once():
    assert kinds(model().batch(0.1, arrive(1, time_left=0.05))) == [interface.Reject]


def test_further_tries_do_not_make_a_tenant_look_like_a_flood():
    m = model(cores=8)
    m.batch(0.05, *[arrive(n, is_retry=True, cost_hint=0.01) for n in range(1, 40)], arrive(40, tenant=1))
    assert m.rules.sent.read(0.05) == [0, 1]


def test_spares_stay_few_however_many_come_at_once():
    m = model(memory=1e9, interruption=interface.Interruption.UNSUPPORTED)
    m.batch(0.1, *[arrive(n, FILE, cost_hint=0.3, time_left=4.0) for n in range(1, 400)])
    assert sum(sub["at"] == "held" for sub in m.subs.values()) < 30


def test_the_memory_of_a_key_comes_back_once_its_window_is_over():
    m = model()
    m.batch(0.1, arrive(1, BOOK))
    m.batch(0.2, interface.Ended(1, interface.Outcome.DONE, 0.1))
    assert m.rules.memory() == 10.0
    until(m, 8.3, at=0.2)
    assert m.rules.memory() == 0.0


def test_a_crowded_hold_works_out_each_value_once_a_decision(monkeypatch):
    seen, plain = [], AdmissionController.value
    monkeypatch.setattr(
        AdmissionController, "value", lambda self, sub: seen.append(sub.id) or plain(self, sub)
    )
    rules = AdmissionController(settings(), 1, 0.0)
    rules.decide(
        0.0, [interface.Arrived(n, 0, memory=5.0, time_left=3.0, cost_hint=0.1 + n / 100) for n in range(60)]
    )
    assert len(seen) == len(set(seen)) > 20
