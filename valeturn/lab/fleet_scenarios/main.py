"""`lab fleet-days`: one day of a fleet, with the module and with another policy on the same demand."""

from __future__ import annotations

import concurrent.futures
import os

from .baselines import policy
from .days import DAYS, draw
from .world import Fleet


def play(name, seed, servers, gateways, seconds, rules):
    """The figures of one day: (line, why what was not served was not, earned, worst 10 s, rules broken)."""
    title, make = policy(rules)
    fleet = Fleet(draw(name, seed, servers, gateways, seconds), make)
    totals = fleet.run()
    return (
        f"day={name} seed={seed} policy={title} {fleet.line()}",
        fleet.unserved_why,
        totals.worth / max(1e-9, totals.all_worth),
        totals.worst(10),
        fleet.witness.broken(),
    )


def main(names, seeds, servers, gateways, seconds, against, out):
    """1 where the module broke a rule. The policy held against it may: that is told and no fault."""
    broken, rows, rules = 0, {}, ("module", *against)
    jobs = [(name, seed, which) for name in names for seed in seeds for which in rules]
    with concurrent.futures.ProcessPoolExecutor(max(1, min(len(jobs), os.cpu_count() or 1))) as pool:
        plays = [
            pool.submit(play, name, seed, servers, gateways, seconds, which) for name, seed, which in jobs
        ]
        for (name, seed, which), played in zip(jobs, plays):
            line, why, earned, worst, bad = played.result()
            rows.setdefault((name, which), []).append((earned, worst))
            broken += bad if which == "module" else 0
            unserved = ",".join(f"{k}:{n}" for k, n in sorted(why.items())) or "none"
            print(f"{line} unserved={unserved}", file=out, flush=True)
    for (name, which), found in rows.items():
        n = len(found)
        print(
            f"day={name} policy={which} servers={servers} seeds={n} "
            f"earned={sum(a for a, _ in found) / n:.4f} least={min(a for a, _ in found):.4f} "
            f"worst_10s={sum(b for _, b in found) / n:.4f}",
            file=out,
        )
    print(f"days={','.join(names)} servers={servers} rules_broken={broken}", file=out)
    return 1 if broken else 0


def days_named(text):
    """`all`, or names with commas between. Raises KeyError with the first that is none."""
    names = list(DAYS) if text == "all" else text.split(",")
    for name in names:
        if name not in DAYS:
            raise KeyError(name)
    return names
