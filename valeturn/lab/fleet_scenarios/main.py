"""`lab fleet-days`: a scenario day of a fleet, under the controller and baseline policies on equal demand."""

from __future__ import annotations

import concurrent.futures
import os

from .baselines import find_policy
from .days import DAYS, draw
from .simulation import FleetSimulation


def play(name, seed, servers, gateways, seconds, policy_name):
    """Simulate one day under one policy.

    Return its summary line, the counts of unserved requests by reason, the earned share of the offered value,
    the earned share of the worst 10 seconds, and the number of violations.
    """
    title, factory = find_policy(policy_name)
    fleet = FleetSimulation(draw(name, seed, servers, gateways, seconds), factory)
    totals = fleet.run()
    return (
        f"day={name} seed={seed} policy={title} {fleet.summary()}",
        fleet.unserved_reasons,
        totals.earned_value / max(1e-9, totals.offered_value),
        totals.worst_window(10),
        fleet.history.violation_count(),
    )


def main(names, seeds, servers, gateways, seconds, against, out):
    """Simulate all days, print their figures, and return 1 if the controller violated a guarantee, else 0.

    Violations by the baseline policies are printed but do not affect the exit code.
    """
    violations, rows, policies = 0, {}, ("module", *against)
    jobs = [(name, seed, policy_name) for name in names for seed in seeds for policy_name in policies]
    with concurrent.futures.ProcessPoolExecutor(max(1, min(len(jobs), os.cpu_count() or 1))) as pool:
        plays = [
            pool.submit(play, name, seed, servers, gateways, seconds, policy_name)
            for name, seed, policy_name in jobs
        ]
        for (name, seed, policy_name), played in zip(jobs, plays):
            line, reasons, earned, worst, violation_count = played.result()
            rows.setdefault((name, policy_name), []).append((earned, worst))
            violations += violation_count if policy_name == "module" else 0
            unserved = ",".join(f"{reason}:{count}" for reason, count in sorted(reasons.items())) or "none"
            print(f"{line} unserved={unserved}", file=out, flush=True)
    for (name, policy_name), found in rows.items():
        seeds_played = len(found)
        print(
            f"day={name} policy={policy_name} servers={servers} seeds={seeds_played} "
            f"earned={sum(earned for earned, _ in found) / seeds_played:.4f} "
            f"least={min(earned for earned, _ in found):.4f} "
            f"worst_10s={sum(worst for _, worst in found) / seeds_played:.4f}",
            file=out,
        )
    print(f"days={','.join(names)} servers={servers} rules_broken={violations}", file=out)
    return 1 if violations else 0


def days_named(text):
    """Return the days of `all` or of a comma-separated list. Raise KeyError with the first unknown one."""
    names = list(DAYS) if text == "all" else text.split(",")
    for name in names:
        if name not in DAYS:
            raise KeyError(name)
    return names
