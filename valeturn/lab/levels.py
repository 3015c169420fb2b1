"""`lab levels`: one load with degradation levels and without, in the emulator, and a report of both."""

from __future__ import annotations

import concurrent.futures
import html
import math
import os
import pathlib

from ..admission import interface
from ..degradation.conditions import ConditionType
from ..degradation.controller import DegradationLevel
from .emulator import Mix, Scenario, Simulation

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
CORES = 2  # per server
MEAN_WORK = sum(mix.share * mix.work for mix in MIX)  # core seconds
CAPACITY = CORES / MEAN_WORK  # submissions per second of one server whose cores are never idle
CALL_SHARE = sum(mix.share for mix in MIX if mix.calls)  # of the submissions
# Name, rank, condition to enter, condition to leave, least stay in seconds, and the reduction of service.
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
    """Return the admission settings of the emulated servers."""
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
    """Return LEVELS as the degradation monitor takes them."""
    read = ConditionType().read
    return tuple(
        DegradationLevel(name, rank, read(enter), read(leave), stay, reduction)
        for name, rank, enter, leave, stay, reduction in LEVELS
    )


# Concurrent calls that the dependency can hold, over those of the cores' full rate; 1.2 for other shapes.
CALL_HEADROOM = {"lost-tight": 0.8}
# Load over the capacity of all servers, by time and length of the run, both in seconds.
SHAPES = {
    "steady": lambda t, seconds: 0.8,
    "step": lambda t, seconds: 0.6 if t < seconds / 3 or t > 2 * seconds / 3 else 1.2,
    "sine": lambda t, seconds: 0.9 - 0.4 * math.cos(2 * math.pi * t * max(1, round(seconds / 120)) / seconds),
    "slow-sine": lambda t, seconds: 0.9 - 0.4 * math.cos(2 * math.pi * t / 1200),
    "mild-sine": lambda t, seconds: 0.9 - 0.2 * math.cos(2 * math.pi * t / 120),
    "wild-sine": lambda t, seconds: 0.9 - 0.7 * math.cos(2 * math.pi * t / 120),
    "burst": lambda t, seconds: 1.6 if t % 60 < 8 else 0.6,
    "slow": lambda t, seconds: 0.8,  # dependency ten times slower for 8 s of each minute
    "failing": lambda t, seconds: 0.8,  # dependency fails four calls in five for 8 s of each minute
    "lost-tight": lambda t, seconds: 1.0,  # as "lost", with too little dependency capacity for the load
    # A fifth of the servers crashes at a third of the time and returns cold after 20 s.
    "lost": lambda t, seconds: 1.0,
}


def make_scenario(shape, servers, seconds, with_levels):
    """Return the emulator's scenario for one of SHAPES."""
    impaired = lambda t: 20 <= t % 60 < 28  # noqa: E731
    return Scenario(
        servers,
        seconds,
        settings(servers),
        MIX,
        load=lambda t: servers * CAPACITY * SHAPES[shape](t, seconds) if t < seconds else 0.0,
        # A capacity of 4 x rate x time just sustains that rate: calls take time / (1 - utilization), with a
        # utilization of one half. A fifth more is the default.
        call_capacity=max(4.0, CALL_HEADROOM.get(shape, 1.2) * 4 * servers * CAPACITY * CALL_SHARE * 0.04),
        call_time=0.04,
        slowdown=(lambda t: 10.0 if impaired(t) else 1.0) if shape == "slow" else (lambda t: 1.0),
        failing=(lambda t: 0.8 if impaired(t) else 0.0) if shape == "failing" else (lambda t: 0.0),
        crashes=((seconds / 3, 0.2, 20.0, True),) if shape.startswith("lost") else (),
        levels=levels() if with_levels else (),
    )


def play(shape, servers, seconds, with_levels, seed):
    """Run the emulator on one seed and return its totals."""
    totals = Simulation(make_scenario(shape, servers, seconds, with_levels), seed).run()
    return totals


def report(folder, shape, seconds, without, with_them):
    """Write an HTML page with plots that can be read without the program."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    folder = pathlib.Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    figure, plots = pyplot.subplots(3, 1, figsize=(10, 8), sharex=True)
    for name, totals in (("without levels", without), ("with levels", with_them)):
        data = totals.by_second[: int(seconds)]
        smoothed = [
            [
                sum(row[column] for row in data[max(0, second - 4) : second + 1]) / 5
                for second in range(len(data))
            ]
            for column in range(4)
        ]
        if totals is without:
            plots[0].plot(smoothed[0], color="black", label="value offered per second")
        plots[0].plot(smoothed[1], label=f"earned, {name}")
        plots[1].plot(smoothed[3], label=f"rejected per second, {name}")
    plots[2].plot([row[2] for row in with_them.by_second[: int(seconds)]], label="mean level of the servers")
    for plot in plots:
        plot.legend(loc="upper right")
        plot.grid(alpha=0.3)
    plots[2].set_xlabel("s")
    figure.tight_layout()
    figure.savefig(folder / "levels.png", dpi=90)
    pyplot.close(figure)
    lines = "".join(
        f"<tr><td>{name}<td><code>{html.escape(totals.summary())}</code>"
        for name, totals in (("without", without), ("with", with_them))
    )
    (folder / "index.html").write_text(
        f"<!doctype html><title>levels: {shape}</title><h1>Levels of reduced service: {shape}</h1>"
        f"<table border=1 cellpadding=6>{lines}</table><img src=levels.png>"
        "<p>Virtual time, the real admission controller. Plots are means over five seconds.",
        encoding="utf-8",
    )


def main(shape, minutes, servers, seeds, folder, out):
    """Run each seed with levels and without, and print the figures.

    Return 1 if a submission was rejected after its start, else 0.
    """
    seconds, violations, pairs = 60.0 * minutes, 0, []
    with concurrent.futures.ProcessPoolExecutor(max(1, min(8, os.cpu_count() or 1))) as pool:
        jobs = [
            (
                seed,
                [
                    pool.submit(play, shape, servers, seconds, with_levels, seed)
                    for with_levels in (False, True)
                ],
            )
            for seed in seeds
        ]
        for seed, (baseline, degrading) in jobs:
            without, with_them = baseline.result(), degrading.result()
            violations += without.rejected_after_start + with_them.rejected_after_start
            pairs.append((without, with_them))
            print(f"seed={seed} without: {without.summary()}", file=out)
            print(f"seed={seed} with:    {with_them.summary()}", file=out, flush=True)
    if folder is not None:
        report(folder, shape, seconds, *pairs[0])
    earned = [
        (one.earned_value / max(1e-9, one.offered_value), other.earned_value / max(1e-9, other.offered_value))
        for one, other in pairs
    ]
    worst = [(one.worst_window(10), other.worst_window(10)) for one, other in pairs]
    seeds_played = len(pairs)
    print(
        f"shape={shape} minutes={minutes:g} servers={servers} seeds={seeds_played} "
        f"changes_a_server={sum(other.level_changes for _, other in pairs) / seeds_played / servers:.1f} "
        f"refused_after_start={violations} "
        f"earned={sum(before for before, _ in earned) / seeds_played:.4f}->"
        f"{sum(after for _, after in earned) / seeds_played:.4f} "
        f"least_gain={min(after - before for before, after in earned):+.4f} "
        f"worst_10s={sum(before for before, _ in worst) / seeds_played:.4f}->"
        f"{sum(after for _, after in worst) / seeds_played:.4f} "
        f"delivered={sum(sum(other.delivered) for _, other in pairs)} "
        f"slim={sum(sum(other.degraded) for _, other in pairs)} "
        f"failed={sum(other.failed for _, other in pairs)}",
        file=out,
    )
    return 1 if violations else 0
