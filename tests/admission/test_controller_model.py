"""Random loads under several settings: the reference model checks each action of the admission controller."""

import random

import pytest
from helpers import DEDUPLICATED, Model, settings

from valeturn.admission import interface
from valeturn.admission.controller import AdmissionController

# UNSTORED is an outcome of runs only.
CALL_OUTCOMES = [outcome for outcome in interface.Outcome if outcome is not interface.Outcome.UNSTORED]
# The length of a name is part of the seed, so renaming a case changes its load.
SETTINGS_BY_CASE = {
    "drop": settings(),
    "pause": settings(interruption=interface.Interruption.SUSPEND),
    "no halting": settings(interruption=interface.Interruption.UNSUPPORTED),
    "cold": settings(starts_cold=True),
    "no tenants": settings(tenants=(), value_per_unit_of_work=False),
    "small memory": settings(memory=700.0, key_memory=30.0),
    "few calls": settings(call_quota=0.6),
}


@pytest.mark.parametrize("case", SETTINGS_BY_CASE)
@pytest.mark.parametrize("seed", range(6))
def test_controller_does_only_what_the_model_allows(case, seed):
    random_source, case_settings = random.Random(seed * 1000 + len(case)), SETTINGS_BY_CASE[case]
    model, now, number, hung = (
        Model(AdmissionController(case_settings, seed, 0.0), case_settings),
        0.0,
        0,
        random_source.random() < 0.3,
    )
    drain_at = random_source.choice((None, 6.0))
    action_counts = {"start": 0, "reject": 0}
    while now < 16.0:
        now = round(now + case_settings.tick * random_source.choice((1, 1, 2, 4)), 6)
        model.now, events = now, []
        if drain_at is not None and now >= drain_at and model.drain_started_at is None:
            events.append(interface.DrainStarted(4.0))
        if model.stop_at is not None and now >= model.stop_at:
            break
        while now < 9.0 and random_source.random() < 0.2:
            number += 1
            workload = random_source.randrange(len(case_settings.workloads))
            key, waited = f"k{random_source.randrange(12)}", random_source.random() * 0.1
            is_deduplicated = case_settings.workloads[workload].effect is DEDUPLICATED
            events.append(
                interface.Arrived(
                    id=number,
                    workload=workload,
                    tenant=random_source.randrange(2) if case_settings.tenants else None,
                    waited=waited,
                    subject=key,
                    caller=random_source.randrange(2),
                    memory=random_source.uniform(2, 30),
                    time_left=random_source.choice((None, random_source.uniform(0.0, 3.0))),
                    duplicate_of=model.first_try(key, now - waited) if is_deduplicated else None,
                    cost_hint=random_source.choice((None, random_source.uniform(0.01, 2.0))),
                    deduplication_ready_in=random_source.choice((0.0, 0.0, 0.0, 0.3, 9.0))
                    if is_deduplicated
                    else 0.0,
                )
            )
            # Two tries in one batch would have to know of each other, so there is one a batch.
            if is_deduplicated:
                break
        for submission_id, submission in list(model.submissions.items()):
            state, roll = submission["state"], random_source.random()
            if state == "running" and not submission["awaits_answer"] or state == "abandoned":
                if submission["start_revocable"] and roll < 0.3:
                    events.append(interface.Ended(submission_id, interface.Outcome.UNSTORED, 0.0))
                elif roll < 0.1:
                    events.append(interface.Ended(submission_id, interface.Outcome.CANCELLED, 0.1))
            elif state == "running" and submission["start_revocable"] and roll < 0.1:
                events.append(interface.Ended(submission_id, interface.Outcome.UNSTORED, 0.0))
            elif state == "running" and roll < (0.0 if hung and now < 8 else 0.02):
                events.append(
                    interface.Ended(
                        submission_id,
                        random_source.choice((interface.Outcome.DONE, interface.Outcome.ERROR)),
                        0.2,
                    )
                )
            elif state == "running" and submission["workload"].makes_call and roll < 0.04:
                events.append(interface.CallRequested(submission_id))
            elif state == "calling" and roll < 0.05:
                events.append(interface.CallEnded(submission_id, random_source.choice(CALL_OUTCOMES), 0.1))
            elif (
                state == "coalesced"
                and model.submissions[submission["event"].duplicate_of]["state"] == "finished"
            ):
                events.append(interface.Ended(submission_id, interface.Outcome.DONE, 0.0))
            elif state != "finished" and submission["awaits_answer"] and roll > 0.998:
                events.append(interface.CallerGone(submission_id))
        if any(fires_at <= now for fires_at in model.timers):
            events.append(
                interface.TimerFired(
                    0, interface.Gauges(random_source.random(), random_source.randrange(8), 0.5, 10)
                )
            )
        for action in model.batch(now, *events):
            action_counts["start"] += isinstance(action, interface.Start)
            action_counts["reject"] += isinstance(action, interface.Reject)
    assert all(not submission["awaits_answer"] for submission in model.submissions.values()), (
        "a submission was never answered"
    )
    assert action_counts["start"] > 3
