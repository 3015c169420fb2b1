"""The admission controller at a degradation level, and a level from its condition to the server's log."""

import json
import random

import pytest
from degradation_support import LEVEL, SCHEMAS
from helpers import WORKLOADS, Caller, DispatcherHarness, Model, settings
from program_support import CONFIG

from valeturn.admission import interface
from valeturn.admission.controller import AdmissionController
from valeturn.degradation.options import build_levels
from valeturn.degradation.signals import REQUESTS
from valeturn.dispatch import messages
from valeturn.dispatch.degradation_monitor import DegradationMonitor
from valeturn.operator_config import schema
from valeturn.server import configuration


def controller_at_level(admission_settings, **restrictions):
    controller = AdmissionController(admission_settings, 1, 0.0)
    controller.decide(0.0, [interface.LevelChanged(interface.ServiceReduction(**restrictions))])
    return controller


def arrive(controller, number, workload, now=0.1, **more):
    return controller.decide(
        now, [interface.Arrived(id=number, workload=workload, time_left=2.0, cost_hint=0.1, **more)]
    )


def kinds(actions):
    return [
        type(a)
        for a in actions
        if isinstance(
            a, (interface.Start, interface.Reject, interface.BypassCall, interface.Call, interface.Fail)
        )
    ]


def test_only_new_requests_are_rejected_by_workload_priority_and_quota():
    admission_settings = settings()
    controller = controller_at_level(admission_settings, rejected_workloads=frozenset((0,)), min_rank=0.3)
    assert kinds(arrive(controller, 1, 0, rank=0.9)) == [interface.Reject]
    assert kinds(arrive(controller, 2, 2, rank=0.1)) == [interface.Reject]
    assert kinds(arrive(controller, 3, 2, rank=0.9)) == [interface.Start]
    controller = controller_at_level(admission_settings, within_allowance_only=True)
    started = [
        kinds(arrive(controller, n, 2, tenant=0, now=0.1 + n * 0.01)) == [interface.Start]
        for n in range(1, 30)
    ]
    assert started[0]
    assert not started[-1], "beyond five per second over two servers"


def test_requests_bypass_their_call_at_a_level_or_wait_shorter_for_it():
    admission_settings = settings()
    for restrictions, expected in (
        ({}, interface.Call),
        ({"bypass_call": frozenset((0,))}, interface.BypassCall),
    ):
        controller = controller_at_level(admission_settings, **restrictions)
        arrive(controller, 1, 0)
        assert kinds(controller.decide(0.2, [interface.CallRequested(1)])) == [expected]
    waits = []
    for share in (1.0, 0.5):
        controller = controller_at_level(admission_settings, call_timeout_share=share)
        arrive(controller, 1, 2)
        waits += [
            a.timeout
            for a in controller.decide(0.2, [interface.CallRequested(1)])
            if isinstance(a, interface.Call)
        ]
    assert waits[1] == pytest.approx(waits[0] / 2)


@pytest.mark.parametrize("first", ["level", "leave"])
def test_level_entered_while_draining_and_drain_at_a_level_keep_the_invariants(first):
    """The model fails on a request that is unanswered at the stop, runs past the grace, or is rejected after
    its start."""
    admission_settings = settings()
    model = Model(AdmissionController(admission_settings, 1, 0.0), admission_settings)
    model.batch(0.0)
    model.batch(
        0.1,
        *[
            interface.Arrived(n, n % 3 and 2, time_left=2.9, cost_hint=0.2, subject=f"k{n}")
            for n in range(1, 5)
        ],
    )
    events = {
        "level": interface.LevelChanged(
            interface.ServiceReduction(rejected_workloads=frozenset((0,)), bypass_call=frozenset((0,)))
        ),
        "leave": interface.DrainStarted(2.5),
    }
    model.batch(0.2, events.pop(first))
    model.batch(
        0.25,
        interface.CallRequested(
            next(iter(n for n, sub in model.submissions.items() if sub["state"] == "running"))
        ),
    )
    model.batch(0.3, *events.values())
    out = model.batch(
        0.5,
        interface.Arrived(9, 0, time_left=2.9, cost_hint=0.1),
        interface.Arrived(10, 2, time_left=2.9, cost_hint=0.1),
    )
    assert [a.id for a in out if isinstance(a, interface.Reject)] == [9], "at the level, within the grace"
    assert not any(isinstance(a, interface.Reject) and a.final for a in out), (
        "rejections of a drain are not final"
    )
    for step in range(1, 26):
        model.batch(0.5 + step / 10, interface.TimerFired(0, interface.Gauges(1.0, 4, 0.1, 5)))
    assert not any(sub["awaits_answer"] for sub in model.submissions.values())


@pytest.mark.parametrize("seed", range(6))
def test_invariants_hold_under_any_changes_of_level_and_nothing_started_is_rejected(seed):
    random_source, admission_settings = random.Random(seed), settings(starts_cold=seed % 2 == 0)
    model, number, now, started = (
        Model(AdmissionController(admission_settings, seed, 0.0), admission_settings),
        0,
        0.0,
        set(),
    )
    while now < 14.0:
        now = round(now + 0.01, 6)
        events = []
        if now > 7.0 and model.drain_started_at is None and seed % 3 == 0:
            events.append(interface.DrainStarted(4.0))
        if model.stop_at is not None and now >= model.stop_at:
            break
        if random_source.random() < 0.05:
            events.append(
                interface.LevelChanged(
                    interface.ServiceReduction(
                        frozenset(n for n in range(3) if random_source.random() < 0.4),
                        random_source.choice((0.3, 1.0)),
                        random_source.random() < 0.3,
                        random_source.choice((0.0, 0.5)),
                        frozenset(n for n in range(3) if random_source.random() < 0.3),
                    )
                )
            )
        if now < 9.0 and random_source.random() < 0.25:
            number += 1
            workload, key = random_source.randrange(3), f"k{random_source.randrange(8)}"
            repeats = (
                model.first_try(key, now)
                if WORKLOADS[workload].effect is interface.Effect.DEDUPLICATED
                else None
            )
            events.append(
                interface.Arrived(
                    id=number,
                    workload=workload,
                    tenant=random_source.randrange(2),
                    subject=key,
                    memory=5.0,
                    time_left=random_source.uniform(0.3, 2.5),
                    rank=random_source.random(),
                    cost_hint=random_source.uniform(0.02, 0.5),
                    duplicate_of=repeats,
                )
            )
        for one, sub in list(model.submissions.items()):
            roll = random_source.random()
            if sub["state"] in ("running", "abandoned") and roll < 0.04:
                done = interface.Outcome.DONE if sub["awaits_answer"] else interface.Outcome.CANCELLED
                events.append(interface.Ended(one, done, 0.2))
            elif sub["state"] == "running" and sub["workload"].makes_call and roll < 0.07:
                events.append(interface.CallRequested(one))
            elif sub["state"] == "calling" and roll < 0.1:
                events.append(
                    interface.CallEnded(
                        one, random_source.choice((interface.Outcome.DONE, interface.Outcome.TIMED_OUT)), 0.1
                    )
                )
            elif (
                sub["state"] == "coalesced"
                and model.submissions[sub["event"].duplicate_of]["state"] == "finished"
            ):
                events.append(interface.Ended(one, interface.Outcome.DONE, 0.0))
        if any(t <= now for t in model.timers):
            events.append(interface.TimerFired(0, interface.Gauges(0.9, 3, 10.0, 4)))
        for action in model.batch(now, *events):
            if isinstance(action, interface.Start):
                started.add(action.id)
            assert not (
                isinstance(action, interface.Reject)
                and action.id in started
                and (model.submissions[action.id]["workload"].effect is not interface.Effect.IDEMPOTENT)
            ), "rejected once started"
    assert len(started) > 20


def test_level_reaches_the_admission_controller_is_logged_and_ends_with_its_condition(tmp_path):
    text = LEVEL.replace("cores.busy > 80 %", "cores.busy > 80 % for 300 ms")
    options, faults = schema.check(text, "v.ini", SCHEMAS)
    assert not faults
    ends = DispatcherHarness()
    ends.names = configuration.decode(json.loads(json.dumps(CONFIG))).names
    logged = []
    reducing = DegradationMonitor(
        ends.now,
        build_levels(options.get("level"), ends.names),
        ends.settings,
        ends.count,
        lambda event, fields: logged.append((event, fields)),
    )
    ends.dispatcher.degradation = reducing
    for busy, sweeps in ((0.95, 10), (0.2, 80)):
        for _ in range(sweeps):
            ends.now += 0.1
            ends.dispatcher.executions.gauges, ends.dispatcher.executions.gauges_at = (
                (busy, 0, 1.0, 1),
                ends.now,
            )
            ends.turn(
                messages.DeferredEvent(interface.TimerFired(0, None)), actions=[interface.SetTimer(0.0, 0)]
            )
    reductions = [e.reduction for e in ends.events if isinstance(e, interface.LevelChanged)]
    on_probation = [
        interface.ServiceReduction(within_allowance_only=True, exempt_share=share)
        for share in (0.2, 0.4, 0.6, 0.8)
    ]
    assert reductions == [
        interface.ServiceReduction(within_allowance_only=True),
        *on_probation,
        interface.ServiceReduction(),
    ]
    assert [(e, f["from"], f["to"]) for e, f in logged] == [("level", "none", "a"), ("level", "a", "none")]
    assert ends.counts["levels.changes"] == 2
    assert "cores.busy > 80 %" in logged[0][1]["why"]
    caller = Caller()
    ends.arrive("read", caller)
    assert reducing.signals.sums[REQUESTS] >= 1, "arrivals are counted"
