import pytest
from helpers import Model, settings

from valeturn.admission import interface as it
from valeturn.admission.controller import OWN_ROOM, ROOM, Rules

READ, BOOK, FILE = range(3)


def model(**changes):
    s = settings(**changes)
    m = Model(Rules(s, 1, 0.0), s)
    m.batch(0.0)
    return m


def arrive(number, workload=READ, **more):
    given = dict(tenant=0, memory=10.0, cost_hint=0.1, subject=f"k{number}")
    return it.Arrived(number, workload, **{**given, **more})


def woken(busy=1.0, runnable=9):
    return it.Woken(0, it.Gauges(busy, runnable, 0.1, 5))


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
    assert kinds(m.batch(0.1, arrive(1, left=1.0))) == [it.Start]
    assert kinds(until(m, 1.2, at=0.1)) == [it.WriteOff, it.Halt]


def test_held_work_is_turned_back_once_its_goal_is_past():
    m = model(halting=it.Halting.OFF)
    m.batch(0.1, arrive(1, FILE), arrive(2, FILE), arrive(3, READ))
    assert kinds(until(m, 1.3, at=0.1), 3) == [it.TurnBack]


def test_starts_keep_to_the_cores_and_shortest_first_when_pressed():
    m = model()
    out = m.batch(0.1, *[arrive(n, cost_hint=0.4 - n / 40, left=2.9) for n in range(1, 9)])
    assert kinds(out).count(it.Start) == 2
    m.batch(0.2, it.Ended(7, it.Outcome.DONE, 0.1))
    assert [a.id for a in m.sent if isinstance(a, it.Start)][:3] == [8, 7, 6]


def test_few_held_start_in_arrival_order():
    m = model(cores=4)
    m.batch(0.1, *[arrive(n, FILE) for n in range(1, 5)], arrive(5, FILE, cost_hint=0.4), arrive(6, FILE))
    assert kinds(m.batch(0.4, it.Ended(1, it.Outcome.DONE, 0.3)), 5) == [it.Start]


def test_limit_rises_while_cores_idle_and_is_cut_when_runs_take_twice_as_long():
    m = model()
    m.batch(0.1, *[arrive(n, FILE, left=4.9) for n in range(1, 9)])
    m.batch(0.15, woken(busy=0.3, runnable=1))
    assert kinds(m.batch(0.2, it.Ended(1, it.Outcome.DONE, 0.1))).count(it.Start) == 2
    assert kinds(m.batch(0.21, *[it.Ended(n, it.Outcome.DONE, 0.1) for n in (3, 4)])).count(it.Start) == 2
    assert m.rules.limit == 3.0, "by one a sweep, however many end in it"
    m.rules.limit = 6.0
    sums, calm = m.rules.runs.read(0.2), m.rules.calm.read(0.2)
    sums[8:10], calm[4:6] = (1.0, 10.0), (1.0, 3.0)
    m.batch(1.5, it.Ended(2, it.Outcome.DONE, 1.4))
    assert m.rules.limit == pytest.approx(4.8)


def test_a_stopped_caller_frees_the_cores_but_a_repeat_may_still_come():
    m = model()
    m.batch(0.1, arrive(1, FILE), arrive(2, BOOK))
    assert kinds(m.batch(0.2, it.Gone(1), it.Gone(2))) == [it.Halt]


def test_a_repeat_joins_what_it_repeats_and_is_never_turned_back_once_that_ran():
    m = model()
    assert kinds(m.batch(0.1, arrive(1, BOOK, subject="x"))) == [it.Remember, it.Start]
    assert kinds(m.batch(0.2, arrive(2, BOOK, subject="x", repeats=1))) == [it.AnswerFrom]
    assert it.TurnBack not in kinds(until(m, 6.5, at=0.2))


def test_no_room_for_a_key_turns_back_rather_than_run_unmarked():
    m = model(memory=100.0, key_memory=90.0)
    assert kinds(m.batch(0.1, arrive(1, BOOK))) == [it.TurnBack]


def test_the_key_of_one_turned_back_is_forgotten():
    m = model(halting=it.Halting.OFF)
    m.batch(0.1, arrive(1, FILE), arrive(2, FILE), arrive(3, BOOK))
    assert kinds(until(m, 2.3, at=0.1), 3) == [it.Forget, it.TurnBack]


def test_drain_turns_newcomers_past_the_grace_away_and_answers_all_before_the_stop():
    m = model()
    m.batch(0.1, arrive(1, FILE), it.Leave(3.0))
    assert it.Health(False, True) in m.sent
    assert kinds(m.batch(1.0, arrive(2, FILE))) == [it.Start]
    out = m.batch(1.2, arrive(3, FILE))
    assert out == [it.TurnBack(3, 1.0, False)]
    until(m, 3.05, at=1.2)
    assert not any(sub["owed"] for sub in m.subs.values())


def test_a_call_is_repeated_only_if_it_proved_never_run():
    m = model()
    m.batch(0.1, arrive(1, FILE), arrive(2, READ))
    assert kinds(m.batch(0.2, it.AtCall(1), it.AtCall(2))) == [it.Call, it.Call]
    assert kinds(m.batch(0.3, it.CallEnded(1, it.Outcome.REFUSED, 0.1))) == [it.Call]
    assert kinds(m.batch(0.4, it.CallEnded(1, it.Outcome.RESET, 0.1))) == [it.WriteOff]
    assert kinds(m.batch(0.5, it.CallEnded(2, it.Outcome.TIMED_OUT, 0.1))) == [it.Call]
    assert kinds(m.batch(0.6, it.CallEnded(2, it.Outcome.TIMED_OUT, 0.1))) == [it.GoWithout]


def test_calls_out_keep_to_the_share_and_short_ones_are_not_starved_by_a_small_one():
    m = model(calls_share=0.8, cores=4)
    m.batch(0.1, *[arrive(n, FILE) for n in range(1, 5)])
    assert kinds(m.batch(0.2, *[it.AtCall(n) for n in range(1, 5)])).count(it.Call) == 2
    for at in (0.21, 0.22):
        done = next(i for i, sub in m.subs.items() if sub["at"] == "calling")
        assert kinds(m.batch(at, it.CallEnded(done, it.Outcome.DONE, 0.01))).count(it.Call) == 1
    last = next(i for i, sub in m.subs.items() if sub["at"] == "calling")
    m.batch(0.3, it.Gone(last), it.Ended(last, it.Outcome.CANCELLED, 0.2))
    assert m.rules.credit < 0.8 + 0.05


@pytest.mark.parametrize("workload, means", [(READ, 10), (FILE, 24)])
def test_a_silent_call_is_given_up_in_time_and_a_slow_dependency_is_learnt(workload, means):
    """Sooner where the call can be made again."""
    m = model(calls_share=20.0)
    m.batch(0.1, arrive(1, workload), arrive(2, workload))
    (first,) = [a for a in m.batch(0.2, it.AtCall(1)) if isinstance(a, it.Call)]
    assert first.wait == pytest.approx(means * 0.025), "nothing is known yet"
    m.batch(0.23, it.CallEnded(1, it.Outcome.DONE, 0.03))
    (second,) = [a for a in m.batch(0.3, it.AtCall(2)) if isinstance(a, it.Call)]
    assert second.wait == pytest.approx(means * 0.03)
    m.batch(1.1, it.CallEnded(2, it.Outcome.TIMED_OUT, 0.8))
    assert m.rules.least_wait() == pytest.approx(4 * 0.415, rel=0.05)


def test_a_cold_server_starts_fewer_and_none_pass_the_ceiling():
    m = model(cold=True, halting=it.Halting.OFF)
    m.rules.limit = 99.0
    m.batch(0.1, *[arrive(n, left=2.0) for n in range(1, 30)])
    assert sum(sub["at"] == "running" for sub in m.subs.values()) == 2


def test_memory_goes_to_what_is_held_last():
    m = model(memory=400.0)
    m.batch(0.1, *[arrive(n, FILE, memory=15.0) for n in range(1, 50)])
    assert kinds(m.sent).count(it.Start) == 1 and kinds(m.sent).count(it.TurnBack) > 10


def test_a_tenant_past_its_allowance_goes_first():
    m = model(halting=it.Halting.OFF)
    m.batch(0.05, *[arrive(n, tenant=0, cost_hint=0.3) for n in range(1, 40)])
    out = m.batch(0.1, *[arrive(n, tenant=1, cost_hint=0.3) for n in range(40, 42)])
    assert it.TurnBack not in kinds(out, 40) + kinds(out, 41)


def test_callers_are_asked_not_to_go_on_once_many_are_turned_back():
    """While few are others likely have room; with more all would go through all servers' doors."""
    m = model(cores=1, halting=it.Halting.OFF)
    m.batch(0.1, *[arrive(n, cost_hint=0.9) for n in range(1, 9)])
    backs = [a.final for a in m.sent if isinstance(a, it.TurnBack)]
    assert len(backs) >= 4 and backs == [n / 8 >= ROOM for n in range(1, len(backs) + 1)]


def test_what_a_server_s_own_trouble_turns_back_may_go_on():
    m = model(cores=1, halting=it.Halting.OFF, cold=True)
    m.batch(0.1, *[arrive(n, cost_hint=0.9) for n in range(1, 9)])
    backs = [a for a in m.sent if isinstance(a, it.TurnBack)]
    assert len(backs) >= 7
    assert [a.final for a in backs] == [n / 8 >= OWN_ROOM for n in range(1, len(backs) + 1)]


def test_a_dependency_that_gets_much_slower_is_learnt_in_a_few_calls_and_a_silent_one_is_none():
    """Twenty quick calls, then slow ones that are given up: a mean of ten seconds alone gave up one after the
    other. One in twenty that is never answered moves nothing."""
    m, now = model(calls_share=20.0, cores=6), 0.0
    for n in range(1, 41):
        silent = n in (10, 30)
        m.batch(now + 0.01, arrive(n, FILE, left=4.0))
        (call,) = [a for a in m.batch(now + 0.02, it.AtCall(n)) if isinstance(a, it.Call)]
        took = call.wait if silent else 0.01
        m.batch(now + 0.02 + took, it.CallEnded(n, it.Outcome.TIMED_OUT if silent else it.Outcome.DONE, took))
        m.batch(now + 0.03 + took, it.Ended(n, it.Outcome.CANCELLED if silent else it.Outcome.DONE, 0.02))
        now += 1.0
    assert m.rules.middle < 0.03, "two were silent, each for its whole wait"
    given_up = 0
    for n in range(41, 61):
        m.batch(now + 0.01, arrive(n, FILE, left=4.0))
        (call,) = [a for a in m.batch(now + 0.02, it.AtCall(n)) if isinstance(a, it.Call)]
        given_up += call.wait < 1.0
        took, outcome = (call.wait, it.Outcome.TIMED_OUT) if call.wait < 1.0 else (1.0, it.Outcome.DONE)
        m.batch(now + 0.02 + took, it.CallEnded(n, outcome, took))
        ended = it.Outcome.DONE if outcome is it.Outcome.DONE else it.Outcome.CANCELLED
        m.batch(now + 0.03 + took, it.Ended(n, ended, 0.1))
        now += 1.2
    assert 1 <= given_up <= 4, "then their waits are long enough"


def slow_call(m, took=0.3):
    """One call that tells how slow the dependency is."""
    m.batch(0.05, arrive(90, FILE))
    m.batch(0.06, it.AtCall(90))
    m.batch(0.06 + took, it.CallEnded(90, it.Outcome.DONE, took), it.Ended(90, it.Outcome.DONE, took + 0.1))


def test_who_would_stand_long_for_a_call_goes_without_at_once_and_the_others_keep_the_credit():
    read, *others = settings().workloads  # its goal is far: only the wait speaks against it
    m = model(calls_share=0.4, cores=12, workloads=(read._replace(latency_goal=2.9), *others))
    slow_call(m)
    m.batch(2.0, *[arrive(n, READ, left=2.9) for n in range(1, 7)], arrive(7, FILE))
    out = m.batch(2.1, *[it.AtCall(n) for n in range(1, 8)])
    assert kinds(out, 7) == [it.Call], "it can't go without"
    assert kinds(out).count(it.GoWithout) >= 4, "those would stand longer than a call takes"


def with_late_share(share):
    *others, filed = settings().workloads
    return (*others, filed._replace(late_share=share))


@pytest.mark.parametrize("share, late", [(0.0, it.WriteOff), (0.2, it.Call)])
def test_who_would_earn_nothing_after_its_call_is_written_off_at_once_and_leaves_the_credit(share, late):
    """A dependency that got slow: in the order of goals all of them would be served, each just too late."""
    m = model(calls_share=0.4, cores=12, workloads=with_late_share(share))
    slow_call(m)
    m.batch(2.0, arrive(1, FILE, waited=1.75), arrive(2, FILE))
    out = m.batch(2.1, it.AtCall(1), it.AtCall(2))
    assert kinds(out, 1) == [late], "it takes 0.3 s, and 0.15 are left"
    assert (it.Call in kinds(out, 2)) == (not share), "there is credit for one"


def test_who_stands_for_a_call_is_written_off_once_it_can_only_be_late():
    m = model(calls_share=0.2, cores=12)
    slow_call(m)
    m.batch(2.0, *[arrive(n, FILE) for n in range(1, 9)])
    out = m.batch(2.1, *[it.AtCall(n) for n in range(1, 9)])
    assert 0 < kinds(out).count(it.WriteOff) < 8, "its share of calls serves a few before their goal"
    assert all(a.wait <= 2.0 + 2.0 - 2.1 + 1e-9 for a in out if isinstance(a, it.Call))


@pytest.mark.parametrize("share, until_", [(0.0, 2.0), (0.2, 5.0)])
def test_a_call_is_waited_for_only_while_its_answer_would_earn_something(share, until_):
    m = model(calls_share=90.0, workloads=with_late_share(share))
    slow_call(m, took=1.9)
    m.batch(2.0, arrive(1, FILE, left=5.0))
    (call,) = [a for a in m.batch(2.01, it.AtCall(1)) if isinstance(a, it.Call)]
    assert call.wait == pytest.approx(until_ - 0.01)


def test_a_call_that_can_be_left_out_is_waited_for_only_while_the_run_still_fits():
    m = model()
    m.batch(0.1, arrive(1, READ, cost_hint=0.2, left=2.9), arrive(2, FILE))
    call = [a for a in m.batch(0.2, it.AtCall(1), it.AtCall(2)) if isinstance(a, it.Call)]
    assert [a.id for a in call] == [2, 1] and 0.2 + call[1].wait < 0.9 + 1e-9
    assert kinds(m.batch(0.95, it.CallEnded(1, it.Outcome.TIMED_OUT, 0.7))) == [it.GoWithout]


def test_one_odd_long_wait_does_not_make_the_usual_ones_look_old():
    m = model(cores=8)
    for n in range(1, 6):
        m.batch(0.1 * n, arrive(n, left=1.2), it.Ended(n - 1, it.Outcome.DONE, 0.1) if n > 1 else woken())
    m.batch(0.6, arrive(6, left=2.9))
    assert kinds(m.batch(0.7, arrive(7, left=1.2)), 7) == [it.Start]
    assert kinds(m.batch(0.8, arrive(8, left=0.1)), 8) == [it.TurnBack]


def test_health_goes_bad_while_the_server_stalls_and_good_again_once_it_does_not():
    m = model(halting=it.Halting.OFF)
    m.batch(0.1, arrive(1, left=1.0), arrive(2, left=1.0))
    until(m, 3.0, at=0.1)
    assert it.Health(False, True) not in m.sent
    m.batch(3.0, arrive(3, waited=2.0, left=1.0), arrive(4, waited=2.0, left=1.0), woken())
    assert it.Health(False, True) in m.sent
    m.batch(3.1, it.Ended(1, it.Outcome.DONE, 3.0), it.Ended(2, it.Outcome.DONE, 3.0))
    assert it.Health(True, True) in until(m, 20.0, at=3.1)


def test_a_much_smaller_newcomer_pauses_the_largest_run_whose_key_outlives_its_caller():
    m = model(halting=it.Halting.PAUSE, cores=1)
    m.batch(0.1, arrive(1, BOOK, cost_hint=0.5))
    assert kinds(m.batch(0.11, arrive(2, cost_hint=0.05), arrive(3, cost_hint=0.05)), 1) == [it.Halt]
    assert kinds(m.batch(0.12, it.Ended(1, it.Outcome.CANCELLED, 0.02)), 2) == [it.Start]
    assert it.Forget not in kinds(m.batch(0.13, it.Gone(1)))


def test_unused_connections_are_closed_soon_only_while_more_are_open_than_are_used():
    m = model()
    for at, connections in ((0.1, 15), (0.2, 60), (0.3, 60), (0.4, 15)):
        m.batch(at, it.Woken(0, it.Gauges(0.5, 1, 0.1, connections)))
    assert [a.after for a in m.sent if isinstance(a, it.CloseIdle)] == [0.1, 0.0]


def test_what_is_foreseen_late_is_kept_as_a_spare_only_where_its_wait_is_told():
    for left, kept in ((2.5, True), (None, False)):
        m = model(cores=1, halting=it.Halting.OFF)
        m.batch(0.05, *[arrive(n, FILE, cost_hint=0.6, left=left) for n in range(1, 5)])
        held = [n for n, sub in m.subs.items() if sub["at"] == "held"]
        assert (len(held) == 3) is kept


def test_what_is_read_too_late_to_be_seen_again_is_turned_back_at_once():
    assert kinds(model().batch(0.1, arrive(1, left=0.05))) == [it.TurnBack]


def test_further_tries_do_not_make_a_tenant_look_like_a_flood():
    m = model(cores=8)
    m.batch(0.05, *[arrive(n, retry=True, cost_hint=0.01) for n in range(1, 40)], arrive(40, tenant=1))
    assert m.rules.sent.read(0.05) == [0, 1]


def test_spares_stay_few_however_many_come_at_once():
    m = model(memory=1e9, halting=it.Halting.OFF)
    m.batch(0.1, *[arrive(n, FILE, cost_hint=0.3, left=4.0) for n in range(1, 400)])
    assert sum(sub["at"] == "held" for sub in m.subs.values()) < 30


def test_the_memory_of_a_key_comes_back_once_its_window_is_over():
    m = model()
    m.batch(0.1, arrive(1, BOOK))
    m.batch(0.2, it.Ended(1, it.Outcome.DONE, 0.1))
    assert m.rules.memory() == 10.0
    until(m, 8.3, at=0.2)
    assert m.rules.memory() == 0.0


def test_a_crowded_hold_works_out_each_value_once_a_decision(monkeypatch):
    seen, plain = [], Rules.value
    monkeypatch.setattr(Rules, "value", lambda self, sub: seen.append(sub.id) or plain(self, sub))
    rules = Rules(settings(), 1, 0.0)
    rules.decide(0.0, [it.Arrived(n, 0, memory=5.0, left=3.0, cost_hint=0.1 + n / 100) for n in range(60)])
    assert len(seen) == len(set(seen)) > 20
