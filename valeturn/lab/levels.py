"""`lab levels`: one load with levels and without, in the emulator, and a report of both."""

from __future__ import annotations

import concurrent.futures
import html
import math
import os
import pathlib

from ..admission import interface
from ..degradation.conditions import ConditionType
from ..degradation.controller import DegradationLevel
from .emulator import Mix, Scene, World

WORKLOADS = (
    interface.Workload(
        "estimate",
        interface.Effect.IDEMPOTENT,
        1.0,
        3.0,
        1.0,
        late_value_share=0.2,
        makes_call=True,
        degraded_value_share=0.7,
    ),
    interface.Workload("parcel-lookup", interface.Effect.IDEMPOTENT, 0.5, 2.0, 0.3, late_value_share=0.2),
    interface.Workload("file-appraisal", interface.Effect.UNREPEATABLE, 2.0, 5.0, 3.0, makes_call=True),
)
MIX = (Mix(0.5, 0.15, True), Mix(0.35, 0.03, False), Mix(0.15, 0.25, True))
CORES = 2
MEAN_WORK = sum(mix.share * mix.work for mix in MIX)
CAPACITY = CORES / MEAN_WORK  # submissions a second of one server, were its cores never idle
CALLS = sum(mix.share for mix in MIX if mix.calls)
LEVELS = (
    (
        "slim",
        1,
        "calls.latency > 3 x usual for 2 s or calls.failing > 20 % for 1 s",
        "calls.latency < 1.5 x usual for 3 s and calls.failing < 5 % for 3 s",
        5.0,
        interface.ServiceReduction(bypass_call=frozenset((0,))),
    ),
    (
        "bare",
        2,
        "turned_back > 50 % for 3 s and cores.busy > 95 % for 3 s",
        "turned_back < 20 % for 5 s",
        8.0,
        interface.ServiceReduction(bypass_call=frozenset((0,)), min_rank=0.2),
    ),
)


def settings(servers):
    return interface.Settings(
        workloads=WORKLOADS,
        tenants=(interface.Tenant("a", 1e6), interface.Tenant("b", 1e6)),
        servers=servers,
        cores=CORES,
        memory=80_000.0,
        run_memory_factor=4.0,
        interruption=interface.Interruption.CANCEL,
        tick=0.005,
        answer_slack=0.1,
        drain_grace=1.0,
        max_concurrency_per_core=8.0,
        cold_start_speed=0.3,
        warm_up_time=10.0,
        call_quota=4.0,
        call_quota_window=5.0,
        call_linger=0.1,
        max_retry_after=1.0,
    )


def levels():
    read = ConditionType().read
    return tuple(
        DegradationLevel(name, rank, read(enter), read(leave), stay, gives)
        for name, rank, enter, leave, stay, gives in LEVELS
    )


ROOM = {"lost-tight": 0.8}  # calls that the dependency can hold, over those of the cores' full rate; else 1.2
SHAPES = {
    "steady": lambda t, seconds: 0.8,
    "step": lambda t, seconds: 0.6 if t < seconds / 3 or t > 2 * seconds / 3 else 1.2,
    "sine": lambda t, seconds: 0.9 - 0.4 * math.cos(2 * math.pi * t * max(1, round(seconds / 120)) / seconds),
    "slow-sine": lambda t, seconds: 0.9 - 0.4 * math.cos(2 * math.pi * t / 1200),
    "mild-sine": lambda t, seconds: 0.9 - 0.2 * math.cos(2 * math.pi * t / 120),
    "wild-sine": lambda t, seconds: 0.9 - 0.7 * math.cos(2 * math.pi * t / 120),
    "burst": lambda t, seconds: 1.6 if t % 60 < 8 else 0.6,
    "slow": lambda t, seconds: 0.8,  # the dependency ten times slower for 8 s of each minute
    "failing": lambda t, seconds: 0.8,  # it fails four calls in five for 8 s of each minute
    "lost-tight": lambda t, seconds: 1.0,  # the same, where the dependency has too little room for that load
    "lost": lambda t, seconds: 1.0,  # a fifth of the servers at a third of the time, cold again after 20 s
}


def scene(shape, servers, seconds, with_levels):
    trouble = lambda t: 20 <= t % 60 < 28  # noqa: E731
    return Scene(
        servers,
        seconds,
        settings(servers),
        MIX,
        load=lambda t: servers * CAPACITY * SHAPES[shape](t, seconds) if t < seconds else 0.0,
        # With room for 4 x rate x time it can just hold that rate (time / (1 - crowd), crowd a half): a fifth
        # more.
        call_room=max(4.0, ROOM.get(shape, 1.2) * 4 * servers * CAPACITY * CALLS * 0.04),
        call_time=0.04,
        slow=(lambda t: 10.0 if trouble(t) else 1.0) if shape == "slow" else (lambda t: 1.0),
        failing=(lambda t: 0.8 if trouble(t) else 0.0) if shape == "failing" else (lambda t: 0.0),
        crashes=((seconds / 3, 0.2, 20.0, True),) if shape.startswith("lost") else (),
        levels=levels() if with_levels else (),
    )


def play(shape, servers, seconds, with_levels, seed):
    totals = World(scene(shape, servers, seconds, with_levels), seed).run()
    return totals


def report(folder, shape, seconds, without, with_them):
    """An HTML page with plots that can be read without the program."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    folder = pathlib.Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    figure, rows = pyplot.subplots(3, 1, figsize=(10, 8), sharex=True)
    for name, totals in (("without levels", without), ("with levels", with_them)):
        data = totals.by_second[: int(seconds)]
        smooth = [
            [sum(row[i] for row in data[max(0, n - 4) : n + 1]) / 5 for n in range(len(data))]
            for i in range(4)
        ]
        if totals is without:
            rows[0].plot(smooth[0], color="black", label="revenue sent a second")
        rows[0].plot(smooth[1], label=f"earned, {name}")
        rows[1].plot(smooth[3], label=f"turned back a second, {name}")
    rows[2].plot([row[2] for row in with_them.by_second[: int(seconds)]], label="mean level of the servers")
    for row in rows:
        row.legend(loc="upper right")
        row.grid(alpha=0.3)
    rows[2].set_xlabel("s")
    figure.tight_layout()
    figure.savefig(folder / "levels.png", dpi=90)
    pyplot.close(figure)
    lines = "".join(
        f"<tr><td>{name}<td><code>{html.escape(totals.line())}</code>"
        for name, totals in (("without", without), ("with", with_them))
    )
    (folder / "index.html").write_text(
        f"<!doctype html><title>levels: {shape}</title><h1>Levels of reduced service: {shape}</h1>"
        f"<table border=1 cellpadding=6>{lines}</table><img src=levels.png>"
        "<p>Virtual time, the real module. Plots are means over five seconds.",
        encoding="utf-8",
    )


def main(shape, minutes, servers, seeds, folder, out):
    """Plays each seed with levels and without. 1 where something was refused after its start."""
    seconds, bad, gains = 60.0 * minutes, 0, []
    with concurrent.futures.ProcessPoolExecutor(max(1, min(8, os.cpu_count() or 1))) as pool:
        jobs = [
            (seed, [pool.submit(play, shape, servers, seconds, on, seed) for on in (False, True)])
            for seed in seeds
        ]
        for seed, (one, other) in jobs:
            without, with_them = one.result(), other.result()
            bad += without.refused_after_start + with_them.refused_after_start
            gains.append((without, with_them))
            print(f"seed={seed} without: {without.line()}", file=out)
            print(f"seed={seed} with:    {with_them.line()}", file=out, flush=True)
    if folder is not None:
        report(folder, shape, seconds, *gains[0])
    earned = [(a.worth / max(1e-9, a.all_worth), b.worth / max(1e-9, b.all_worth)) for a, b in gains]
    worst = [(a.worst(10), b.worst(10)) for a, b in gains]
    n = len(gains)
    print(
        f"shape={shape} minutes={minutes:g} servers={servers} seeds={n} "
        f"changes_a_server={sum(b.changes for _, b in gains) / n / servers:.1f} refused_after_start={bad} "
        f"earned={sum(a for a, _ in earned) / n:.4f}->{sum(b for _, b in earned) / n:.4f} "
        f"least_gain={min(b - a for a, b in earned):+.4f} "
        f"worst_10s={sum(a for a, _ in worst) / n:.4f}->{sum(b for _, b in worst) / n:.4f} "
        f"delivered={sum(sum(b.delivered) for _, b in gains)} slim={sum(sum(b.slim) for _, b in gains)} "
        f"failed={sum(b.written_off for _, b in gains)}",
        file=out,
    )
    return 1 if bad else 0
