import random

import pytest
from helpers import DEDUPLICATED, Model, settings

from valeturn.admission import interface
from valeturn.admission.controller import AdmissionController

CALL_ENDS = [one for one in interface.Outcome if one is not interface.Outcome.UNSTORED]  # that is a run's
CASES = {
    "drop": settings(),
    "pause": settings(interruption=interface.Interruption.SUSPEND),
    "no halting": settings(interruption=interface.Interruption.UNSUPPORTED),
    "cold": settings(starts_cold=True),
    "no tenants": settings(tenants=(), value_per_unit_of_work=False),
    "small memory": settings(memory=700.0, key_memory=30.0),
    "few calls": settings(call_quota=0.6),
}


@pytest.mark.parametrize("case", CASES)
@pytest.mark.parametrize("seed", range(6))
def test_module_and_model_agree(case, seed):
    chance, s = random.Random(seed * 1000 + len(case)), CASES[case]
    model, now, number, hung = Model(AdmissionController(s, seed, 0.0), s), 0.0, 0, chance.random() < 0.3
    leave_at = chance.choice((None, 6.0))
    kinds = {"start": 0, "turned back": 0}
    while now < 16.0:
        now = round(now + s.tick * chance.choice((1, 1, 2, 4)), 6)
        model.now, events = now, []
        if leave_at is not None and now >= leave_at and model.leave is None:
            events.append(interface.DrainStarted(4.0))
        if model.stop is not None and now >= model.stop:
            break
        while now < 9.0 and chance.random() < 0.2:
            number += 1
            workload = chance.randrange(len(s.workloads))
            key, waited = f"k{chance.randrange(12)}", chance.random() * 0.1
            same = s.workloads[workload].effect is DEDUPLICATED
            events.append(
                interface.Arrived(
                    id=number,
                    workload=workload,
                    tenant=chance.randrange(2) if s.tenants else None,
                    waited=waited,
                    subject=key,
                    caller=chance.randrange(2),
                    memory=chance.uniform(2, 30),
                    time_left=chance.choice((None, chance.uniform(0.0, 3.0))),
                    duplicate_of=model.first_try(key, now - waited) if same else None,
                    cost_hint=chance.choice((None, chance.uniform(0.01, 2.0))),
                    deduplication_ready_in=chance.choice((0.0, 0.0, 0.0, 0.3, 9.0)) if same else 0.0,
                )
            )
            if same:  # two tries that come in one batch would know of each other; here one a batch is enough
                break
        for number_of, sub in list(model.subs.items()):
            at, roll = sub["at"], chance.random()
            if at == "running" and not sub["owed"] or at == "spent":
                if sub["fresh"] and roll < 0.3:
                    events.append(interface.Ended(number_of, interface.Outcome.UNSTORED, 0.0))
                elif roll < 0.1:
                    events.append(interface.Ended(number_of, interface.Outcome.CANCELLED, 0.1))
            elif at == "running" and sub["fresh"] and roll < 0.1:
                events.append(interface.Ended(number_of, interface.Outcome.UNSTORED, 0.0))
            elif at == "running" and roll < (0.0 if hung and now < 8 else 0.02):
                events.append(
                    interface.Ended(
                        number_of, chance.choice((interface.Outcome.DONE, interface.Outcome.ERROR)), 0.2
                    )
                )
            elif at == "running" and sub["workload"].makes_call and roll < 0.04:
                events.append(interface.CallRequested(number_of))
            elif at == "calling" and roll < 0.05:
                events.append(interface.CallEnded(number_of, chance.choice(CALL_ENDS), 0.1))
            elif at == "joined" and model.subs[sub["event"].duplicate_of]["at"] == "over":
                events.append(interface.Ended(number_of, interface.Outcome.DONE, 0.0))
            elif at != "over" and sub["owed"] and roll > 0.998:
                events.append(interface.CallerGone(number_of))
        if any(t <= now for t in model.timers):
            events.append(
                interface.TimerFired(0, interface.Gauges(chance.random(), chance.randrange(8), 0.5, 10))
            )
        for a in model.batch(now, *events):
            kinds["start"] += isinstance(a, interface.Start)
            kinds["turned back"] += isinstance(a, interface.Reject)
    assert all(not sub["owed"] for sub in model.subs.values()), "lost"
    assert kinds["start"] > 3
