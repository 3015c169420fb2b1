"""Levels of reduced service: the decision beside a plain reading, its hard cases, and the module under a
level."""

import json
import math
import random

import pytest
from helpers import WORKLOADS, Caller, Ends, Model, settings
from program_support import CONFIG, changed

from valeturn.admission import interface as it
from valeturn.admission.controller import MEMORY_RUN, Rules
from valeturn.degradation import controller as d
from valeturn.degradation import reachability
from valeturn.degradation.conditions import ConditionType
from valeturn.degradation.options import build_levels, fit
from valeturn.degradation.signals import Signals
from valeturn.dispatch import messages as msg
from valeturn.dispatch.degradation_monitor import Reducing
from valeturn.operator_config import schema
from valeturn.operator_config.value_types import Wants
from valeturn.server import components, configuration

SLIM, BARE = it.Reduced(without_call=frozenset((0,))), it.Reduced(turn_back=frozenset((0,)))
SHAPES = [module.SHAPE for module in components.options_modules().values()]
NOTHING = dict.fromkeys(
    ("calls.latency", "calls.failing", "cores.busy", "unread.wait", "memory", "turned_back")
)


def condition(text):
    return ConditionType().read(text)


def levels(stay=2.0):
    return [
        d.DegradationLevel(
            "slim",
            1,
            condition("cores.busy > 80 % for 1 s"),
            condition("cores.busy < 60 % for 1 s"),
            stay,
            SLIM,
        ),
        d.DegradationLevel(
            "thin",
            2,
            condition("cores.busy > 90 % for 1 s"),
            condition("cores.busy < 70 % for 1 s"),
            stay,
            SLIM,
        ),
        d.DegradationLevel("bare", 3, condition("memory > 95 %"), condition("memory < 50 %"), stay, BARE),
    ]


def play(decision, shape, seconds, start=0.0, cold=False):
    """The changes while shape(t) -> signals is read ten times a second."""
    out = []
    for step in range(int(seconds * 10)):
        now = start + step / 10
        out += [(now, change) for change in decision.step(now, {**NOTHING, **shape(now)}, {}, cold)]
    return out


def names(changes):
    return [change.after for _, change in changes]


# ---- conditions


@pytest.mark.parametrize(
    "text",
    [
        "cores.busy > 80 % for 1 s",
        "calls.latency > 3 x usual for 2 s",
        "calls.latency > 50 ms",
        "calls.failing > 20 % for 1 s or memory > 90 % and turned_back < 10 %",
    ],
)
def test_a_condition_is_read_and_says_itself_again(text):
    read = condition(text)
    assert condition(str(read)) == read


@pytest.mark.parametrize(
    "text, rule",
    [
        ("cores.busy > 80", "missing-unit"),
        ("cores.busy > 80 ms", "wrong-unit"),
        ("calls.latency > 2.5 %", "wrong-unit"),
        ("calls.latency > 2 s for 1 %", "wrong-unit"),
        ("load > 1 %", "unknown-signal"),
        ("cores.busy >", "unreadable-condition"),
        ("cores.busy > 100 %", "never-holds"),
        ("memory < 0 %", "never-holds"),
        ("memory > 2 x usual", "no-usual"),
        ("calls.latency > 1 s for 2 h", "out-of-range"),
        ("calls.latency > 0 x usual", "out-of-range"),
        ("cores.busy > 80 % for 1 s and", "unreadable-condition"),
        ("", "unreadable-condition"),
    ],
)
def test_a_wrong_condition_is_told_by_its_rule(text, rule):
    with pytest.raises(Wants) as wants:
        condition(text)
    assert wants.value.args[0] == rule


LEVEL = "[level a]\nrank = 1\nenter = cores.busy > 80 %\nleave = cores.busy < 60 %\nwithin_share = on\n"
BROKEN = {
    LEVEL.replace("within_share = on\n", ""): (2, "gives-nothing"),
    LEVEL.replace("< 60", "< 85"): (4, "leave-overlaps-enter"),
    LEVEL.replace("< 60", "> 60"): (4, "leave-like-enter"),
    LEVEL + "turn_back = odd\n": (6, "unknown-workload"),
    LEVEL + "turn_back = quote, look-up, file\n": (6, "all-turned-back"),
    LEVEL + "turn_back = quote,,file\n": (6, "unreadable-value"),
    LEVEL + "without_call = look-up\n": (6, "not-without"),
    LEVEL + LEVEL.replace("level a", "level b"): (7, "overlapping-rank"),
    LEVEL + LEVEL.replace("level a", "level b").replace("rank = 1", "rank = 2"): (7, "no-difference"),
    LEVEL.replace("rank = 1", "rank = 0"): (2, "out-of-range"),
    LEVEL.replace("[level a]", "[level]"): (1, "label"),
}


def broken(text, config=CONFIG):
    options, faults = schema.check(text, "v.ini", SHAPES)
    return faults or fit(options.get("level"), configuration.decode(config))


@pytest.mark.parametrize("text", BROKEN)
def test_a_wrong_level_is_told_by_its_line_and_rule(text):
    assert [(fault.line, fault.rule) for fault in broken(text)] == [BROKEN[text]]


@pytest.mark.parametrize(
    "enter, why",
    [
        ("memory > 90 %", "can't pass 85 %"),
        ("unread.wait > 1 min", "can't pass"),
        ("calls.latency > 1 min for 2 s", "can't pass"),
        ("cores.busy > 80 % and cores.busy < 60 %", "over and under"),
        ("memory > 90 % or unread.wait > 2 min", "can't pass 85 %"),
        ("memory > 90 % or cores.busy > 90 %", None),
        ("calls.latency > 9 x usual", None),
        ("cores.busy > 60 % and cores.busy < 80 %", None),
        ("memory > 80 %", None),
    ],
)
def test_a_condition_that_no_load_can_reach_is_told_by_its_line(enter, why):
    text = LEVEL.replace("cores.busy < 60 %", "turned_back < 5 %").replace("cores.busy > 80 %", enter)
    told = [(f.line, f.rule, f.text) for f in broken(text)]
    assert [row[:2] for row in told] == ([] if why is None else [(3, "never-reached")])
    assert why is None or why in told[0][2]
    assert reachability.MEMORY_MAXIMUM == MEMORY_RUN


def test_signals_that_a_deployment_does_not_have_are_told():
    assert broken(LEVEL) == []
    few = changed("settings.domain.gauges", ["runnable"])
    assert [(f.line, f.rule) for f in broken(LEVEL, few)] == [(3, "no-signal"), (4, "no-signal")]
    no_calls = changed("settings.domain.calls_by_class", [False, False, False])
    text = LEVEL.replace("cores.busy > 80 %", "calls.latency > 3 x usual")
    assert [(f.line, f.rule) for f in broken(text, no_calls)] == [(3, "no-signal")]
    no_tenants = changed("settings.tenants", [])
    assert [(f.line, f.rule) for f in broken(LEVEL, no_tenants)] == [(5, "no-tenants")]


# ---- the decision


def test_one_rank_at_a_time_but_straight_to_the_worst_in_an_emergency():
    decision = d.DegradationController(levels(), 0.0)
    assert names(play(decision, lambda t: {"cores.busy": 0.85 if t < 2 else 0.99}, 5)) == ["slim", "thin"]
    assert names(play(decision, lambda t: {"cores.busy": 0.5}, 10, 3.0)) == [None], (
        "both leave conditions hold"
    )
    decision = d.DegradationController(levels(), 0.0)
    assert names(play(decision, lambda t: {"memory": 0.99}, 1)) == ["bare"]
    assert names(play(decision, lambda t: {"memory": 0.1, "cores.busy": 0.75}, 9, 1.0)) == ["thin"]


def test_a_condition_must_hold_all_the_time_that_it_says():
    decision = d.DegradationController(levels(), 0.0)
    assert play(decision, lambda t: {"cores.busy": 0.85 if t % 0.9 < 0.7 else 0.3}, 30) == []


def test_noise_at_a_boundary_does_not_flap():
    for seed in range(10):
        chance, decision = random.Random(seed), d.DegradationController(levels(), 0.0)
        changes = play(decision, lambda t: {"cores.busy": 0.8 + chance.gauss(0, 0.05)}, 3600)
        assert len(changes) <= 4, "an hour at the boundary"


def test_a_square_wave_meets_longer_stays_and_a_bound_on_changes():
    decision = d.DegradationController(levels(), 0.0)
    changes = play(decision, lambda t: {"cores.busy": 0.85 if t % 8 < 4 else 0.3}, 600)
    times = [now for now, _ in changes]
    assert all(sum(at <= now < at + 60 for now in times) <= d.MAX_CHANGES + 1 for at in times)
    assert len(changes) < 60, "75 waves, two changes each without the longer stay"


def test_a_slow_sine_changes_no_more_than_it_crosses():
    decision = d.DegradationController(levels(), 0.0)
    changes = play(decision, lambda t: {"cores.busy": 0.7 + 0.2 * math.sin(2 * math.pi * t / 120)}, 600)
    assert 10 <= len(changes) <= 2 * 10


def test_a_signal_that_stops_coming_neither_enters_nor_keeps_a_level():
    decision = d.DegradationController(levels(), 0.0)
    assert play(decision, lambda t: {}, 60) == []
    play(decision, lambda t: {"cores.busy": 0.85}, 3, 60.0)
    assert decision.active_name == "slim"
    assert play(decision, lambda t: {}, 4, 63.0) == [], "held on to for a while"
    assert names(play(decision, lambda t: {}, 10, 67.0)) == [None]


def test_a_cold_server_enters_by_no_condition_and_does_once_it_is_warm():
    decision = d.DegradationController(levels(), 0.0)
    assert play(decision, lambda t: {"cores.busy": 0.99}, 10, cold=True) == []
    assert names(play(decision, lambda t: {"cores.busy": 0.99}, 1, 10.0)) == ["thin"]


def test_by_hand_and_a_configuration_that_takes_the_level_away():
    decision = d.DegradationController(levels(), 0.0)
    assert decision.pin(0.0, "odd", 9.0) is None
    assert [c.after for c in decision.pin(0.0, "bare", 5.0)] == ["bare"]
    assert play(decision, lambda t: {"memory": 0.1}, 4) == []
    assert names(play(decision, lambda t: {"memory": 0.1}, 3, 4.0)) == [None]
    play(decision, lambda t: {"cores.busy": 0.85}, 3, 10.0)
    decision.configure(levels()[1:])
    assert names(play(decision, lambda t: {"cores.busy": 0.85}, 1, 13.0)) == [None]
    play(decision, lambda t: {"cores.busy": 0.99}, 3, 14.0)
    decision.configure([level._replace(name="other") if level.name == "thin" else level for level in levels()])
    assert names(play(decision, lambda t: {"cores.busy": 0.99}, 3, 17.0))[0] is None, (
        "renamed: left, then entered"
    )
    assert decision.active_name == "other"


@pytest.mark.parametrize("seed", range(20))
def test_the_decision_and_its_plain_reading_agree(seed):
    """Beside it: what must hold at any sweep, from the whole history of each signal."""
    chance, decision, history = random.Random(seed), d.DegradationController(levels(), 0.0), []
    busy, at, entered, changes = 0.5, None, 0.0, []
    for step in range(3000):
        now = step / 10
        busy = min(1.0, max(0.0, busy + chance.gauss(0, 0.04)))
        memory = chance.choice((0.3, 0.3, 0.3, 0.97)) if chance.random() < 0.02 else 0.3
        history.append((now, busy, memory))

        def held(test, now=now, history=history):
            since = now
            for seen, one, _ in reversed(history):
                if not test(one):
                    break
                since = seen
            return test(history[-1][1]) and now - since >= 1.0

        met = {"slim": held(lambda b: b > 0.8), "thin": held(lambda b: b > 0.9), "bare": memory > 0.95}
        out = decision.step(now, {**NOTHING, "cores.busy": busy, "memory": memory}, {})
        assert len(out) <= 1
        rank = {None: 0, "slim": 1, "thin": 2, "bare": 3}
        for change in out:
            assert change.before == at
            if rank[change.after] > rank[at]:
                assert met[change.after]
            else:
                assert now - entered >= 2.0 - 1e-9, "left before its least stay"
                assert sum(now - one < 60 for one in changes) < d.MAX_CHANGES
            at, entered = change.after, now
            changes.append(now)
        assert decision.active_name == at
        if not out:
            above = [name for name, holds in met.items() if holds and rank[name] > rank[at]]
            assert not above, f"{above} is met and not entered from {at}"


def test_a_level_that_relieves_what_it_was_entered_for_is_not_left_while_that_lasts():
    """The signal is as bad as the share of the work that the level does not touch: with the whole of it left
    alone it would be entered again at once, as it was before levels were left on trial."""
    decision, trials = d.DegradationController(levels(5.0), 0.0), 0

    def shape(t):
        trouble = 0.95 if t < 100 else 0.3
        return {"cores.busy": trouble * (1.0 if decision.active_name is None else decision.spared_ratio(t))}

    changes = []
    for step in range(1500):
        now, before = step / 10, decision.state
        changes += decision.step(now, {**NOTHING, **shape(now)}, {})
        trials += before == d.State.ACTIVE and decision.state == d.State.PROBATION
        assert (decision.spared_ratio(now) > 0) == (decision.state == d.State.PROBATION)
    assert [change.after for change in changes[-2:]] == ["slim", None] or len(changes) <= 4
    assert len(changes) <= 4, "entered, perhaps left once or twice, never each few seconds"
    assert trials >= 2 and decision.active_name is None


def test_a_stay_that_was_doubled_is_halved_for_each_quiet_while():
    decision = d.DegradationController(levels(), 0.0)
    bad, good = (lambda t: {"cores.busy": 0.85}), (lambda t: {"cores.busy": 0.3})
    for start in (0.0, 20.0, 40.0):
        play(decision, bad, 3, start)
        play(decision, good, 17, start + 3)
    assert decision.stay_factors["slim"] == 4.0
    play(decision, bad, 3, 140.0)
    assert 1.0 < decision.stay_factors["slim"] < 2.0, "a minute and a half was quiet"


def test_at_a_boundary_for_long_returns_get_rarer_and_rarer():
    """A load that needs the level whenever it is not there, and looks well whenever it is: each time as long
    brings no more returns than the time before."""
    decision, entries = d.DegradationController(levels(5.0), 0.0), []
    for step in range(60 * 600):
        now = step / 10
        busy = 0.85 if decision.active_name is None else 0.3
        entries += [now for one in decision.step(now, {**NOTHING, "cores.busy": busy}, {}) if one.after]
    spans = ((0, 5), (5, 10), (10, 20), (20, 40), (40, 60))
    quarter = [sum(60 * a <= at < 60 * b for at in entries) for a, b in spans]
    assert quarter[0] >= 6 and max(quarter[1:]) <= 6 and quarter[4] <= quarter[3], quarter


def test_every_pair_of_the_table_is_told_apart():
    assert {state for state, _ in d.TRANSITIONS} <= set(d.State)
    assert (
        (d.State.NORMAL, d.Input.HIGHER_LEVEL_DUE_WHILE_WARMING_UP) not in d.TRANSITIONS
        and (d.State.NORMAL, d.Input.RECOVERED_TO_LOWER_LEVEL) not in d.TRANSITIONS
        and (d.State.PINNED, d.Input.HIGHER_LEVEL_DUE) not in d.TRANSITIONS
    )


# ---- signals


def test_signals_are_missing_while_too_little_is_known_and_old_ones_go():
    signals = Signals(0.0)
    signals.record_call(0.0, 0.1, False)
    assert signals.read(0.0)["calls.latency"] is None
    for n in range(5):
        signals.record_call(0.1, 0.3, n == 0)
    read = signals.read(0.1)
    assert 0.2 < read["calls.latency"] < 0.3 and 0.1 < read["calls.failing"] < 0.2
    signals.record_gauges(0.1, 0.9, None)
    assert signals.read(0.5)["cores.busy"] == 0.9 and signals.read(0.5)["memory"] is None
    assert signals.read(2.0)["cores.busy"] is None and signals.read(9.0)["calls.latency"] is None


def test_trouble_does_not_become_usual():
    reducing = Reducing(
        0.0,
        [
            d.DegradationLevel(
                "slim",
                1,
                condition("calls.latency > 3 x usual for 1 s"),
                condition("calls.latency < 1.5 x usual for 1 s"),
                2.0,
                SLIM,
            )
        ],
        settings(),
        lambda *_: None,
        lambda *_: None,
    )

    def run(took, seconds, start):
        out = []
        for step in range(int(10 * seconds)):
            now = start + step / 10
            for _ in range(3):
                reducing.call_ended(now, it.Outcome.DONE, took)
            out += reducing.sweep(now, False)
        return out

    assert run(0.02, 30, 0.0) == []
    assert run(0.2, 60, 30.0) == [it.Level(SLIM)], "ten times slower, for a minute"
    out = run(0.02, 20, 90.0)
    assert [e.gives.spared for e in out] == [0.2, 0.4, 0.6, 0.8, 0.0] and out[-1] == it.Level(it.Reduced())
    assert reducing.figures(110.0)["now"] == "none" and reducing.figures(110.0)["in_slim_s"] > 50


# ---- carried out by the module


def rules(s, **gives):
    r = Rules(s, 1, 0.0)
    r.decide(0.0, [it.Level(it.Reduced(**gives))])
    return r


def arrive(r, number, workload, now=0.1, **more):
    return r.decide(now, [it.Arrived(id=number, workload=workload, left=2.0, cost_hint=0.1, **more)])


def kinds(actions):
    return [
        type(a) for a in actions if isinstance(a, (it.Start, it.TurnBack, it.GoWithout, it.Call, it.WriteOff))
    ]


def test_newcomers_are_turned_back_by_workload_rank_and_share_and_nobody_else_is():
    s = settings()
    r = rules(s, turn_back=frozenset((0,)), least_rank=0.3)
    assert kinds(arrive(r, 1, 0, rank=0.9)) == [it.TurnBack] and kinds(arrive(r, 2, 2, rank=0.1)) == [
        it.TurnBack
    ]
    assert kinds(arrive(r, 3, 2, rank=0.9)) == [it.Start]
    r = rules(s, within_share=True)
    started = [kinds(arrive(r, n, 2, tenant=0, now=0.1 + n * 0.01)) == [it.Start] for n in range(1, 30)]
    assert started[0] and not started[-1], "beyond five a second over two servers"


def test_at_a_level_work_goes_on_without_its_call_at_once_and_else_waits_less():
    s = settings()
    for gives, expected in (({}, it.Call), ({"without_call": frozenset((0,))}, it.GoWithout)):
        r = rules(s, **gives)
        arrive(r, 1, 0)
        assert kinds(r.decide(0.2, [it.AtCall(1)])) == [expected]
    waits = []
    for share in (1.0, 0.5):
        r = rules(s, call_wait=share)
        arrive(r, 1, 2)
        waits += [a.wait for a in r.decide(0.2, [it.AtCall(1)]) if isinstance(a, it.Call)]
    assert waits[1] == pytest.approx(waits[0] / 2)


@pytest.mark.parametrize("first", ["level", "leave"])
def test_a_level_entered_in_a_drain_and_a_drain_in_a_level_keep_the_rules(first):
    """The model breaks on anything unanswered at the stop, run past the grace or turned back once run."""
    s = settings()
    m = Model(Rules(s, 1, 0.0), s)
    m.batch(0.0)
    m.batch(0.1, *[it.Arrived(n, n % 3 and 2, left=2.9, cost_hint=0.2, subject=f"k{n}") for n in range(1, 5)])
    events = {
        "level": it.Level(it.Reduced(turn_back=frozenset((0,)), without_call=frozenset((0,)))),
        "leave": it.Leave(2.5),
    }
    m.batch(0.2, events.pop(first))
    m.batch(0.25, it.AtCall(next(iter(n for n, sub in m.subs.items() if sub["at"] == "running"))))
    m.batch(0.3, *events.values())
    out = m.batch(0.5, it.Arrived(9, 0, left=2.9, cost_hint=0.1), it.Arrived(10, 2, left=2.9, cost_hint=0.1))
    assert [a.id for a in out if isinstance(a, it.TurnBack)] == [9], "at the level, within the grace"
    assert not any(isinstance(a, it.TurnBack) and a.final for a in out), "a drain sends callers on"
    for step in range(1, 26):
        m.batch(0.5 + step / 10, it.Woken(0, it.Gauges(1.0, 4, 0.1, 5)))
    assert not any(sub["owed"] for sub in m.subs.values())


@pytest.mark.parametrize("seed", range(6))
def test_the_rules_hold_under_any_changes_of_level_and_nothing_started_is_turned_back(seed):
    chance, s = random.Random(seed), settings(cold=seed % 2 == 0)
    model, number, now, started = Model(Rules(s, seed, 0.0), s), 0, 0.0, set()
    while now < 14.0:
        now = round(now + 0.01, 6)
        events = []
        if now > 7.0 and model.leave is None and seed % 3 == 0:
            events.append(it.Leave(4.0))
        if model.stop is not None and now >= model.stop:
            break
        if chance.random() < 0.05:
            events.append(
                it.Level(
                    it.Reduced(
                        frozenset(n for n in range(3) if chance.random() < 0.4),
                        chance.choice((0.3, 1.0)),
                        chance.random() < 0.3,
                        chance.choice((0.0, 0.5)),
                        frozenset(n for n in range(3) if chance.random() < 0.3),
                    )
                )
            )
        if now < 9.0 and chance.random() < 0.25:
            number += 1
            workload, key = chance.randrange(3), f"k{chance.randrange(8)}"
            repeats = (
                model.first_try(key, now) if WORKLOADS[workload].effect is it.Effect.DEDUPLICATED else None
            )
            events.append(
                it.Arrived(
                    id=number,
                    workload=workload,
                    tenant=chance.randrange(2),
                    subject=key,
                    memory=5.0,
                    left=chance.uniform(0.3, 2.5),
                    rank=chance.random(),
                    cost_hint=chance.uniform(0.02, 0.5),
                    repeats=repeats,
                )
            )
        for one, sub in list(model.subs.items()):
            roll = chance.random()
            if sub["at"] in ("running", "spent") and roll < 0.04:
                done = it.Outcome.DONE if sub["owed"] else it.Outcome.CANCELLED
                events.append(it.Ended(one, done, 0.2))
            elif sub["at"] == "running" and sub["w"].calls and roll < 0.07:
                events.append(it.AtCall(one))
            elif sub["at"] == "calling" and roll < 0.1:
                events.append(it.CallEnded(one, chance.choice((it.Outcome.DONE, it.Outcome.TIMED_OUT)), 0.1))
            elif sub["at"] == "joined" and model.subs[sub["e"].repeats]["at"] == "over":
                events.append(it.Ended(one, it.Outcome.DONE, 0.0))
        if any(t <= now for t in model.timers):
            events.append(it.Woken(0, it.Gauges(0.9, 3, 10.0, 4)))
        for action in model.batch(now, *events):
            if isinstance(action, it.Start):
                started.add(action.id)
            assert not (
                isinstance(action, it.TurnBack)
                and action.id in started
                and (model.subs[action.id]["w"].effect is not it.Effect.IDEMPOTENT)
            ), "turned back once started"
    assert len(started) > 20


# ---- in the server


def test_a_level_reaches_the_module_is_logged_and_ends_with_its_condition(tmp_path):
    text = LEVEL.replace("cores.busy > 80 %", "cores.busy > 80 % for 300 ms")
    options, faults = schema.check(text, "v.ini", SHAPES)
    assert not faults
    ends = Ends()
    ends.names = configuration.decode(json.loads(json.dumps(CONFIG))).names
    logged = []
    reducing = Reducing(
        ends.now,
        build_levels(options.get("level"), ends.names),
        ends.settings,
        ends.count,
        lambda event, fields: logged.append((event, fields)),
    )
    ends.core.reducing = reducing
    for busy, sweeps in ((0.95, 10), (0.2, 80)):
        for _ in range(sweeps):
            ends.now += 0.1
            ends.core.runs.gauges, ends.core.runs.gauged_at = (busy, 0, 1.0, 1), ends.now
            ends.turn(msg.Told(it.Woken(0, None)), do=[it.Wake(0.0, 0)])
    told = [e.gives for e in ends.heard if isinstance(e, it.Level)]
    on_trial = [it.Reduced(within_share=True, spared=share) for share in (0.2, 0.4, 0.6, 0.8)]
    assert told == [it.Reduced(within_share=True), *on_trial, it.Reduced()]
    assert [(e, f["from"], f["to"]) for e, f in logged] == [("level", "none", "a"), ("level", "a", "none")]
    assert ends.counts["levels.changes"] == 2 and "cores.busy > 80 %" in logged[0][1]["why"]
    caller = Caller()
    ends.arrive("read", caller)
    assert reducing.signals.sums[2 + 1] >= 1, "arrivals are seen"
