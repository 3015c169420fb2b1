"""The scenario days: the load, faults and releases of each, drawn from a seed as plain values."""

from __future__ import annotations

import math
from typing import NamedTuple

from ...admission import interface
from ...transport.seeded_random import SeededRandom
from ..emulator import Mix

# Rounded from the operators' brief: shares, core seconds, latency objectives, timeouts, values of an answer.
WORKLOADS = (
    interface.Workload(
        "estimate",
        interface.Effect.IDEMPOTENT,
        1.9,
        4.5,
        1.0,
        late_value_share=0.2,
        makes_call=True,
        degraded_value_share=0.6,
    ),
    interface.Workload("parcel-lookup", interface.Effect.IDEMPOTENT, 1.1, 2.8, 1.0, late_value_share=0.2),
    interface.Workload("file-appraisal", interface.Effect.UNREPEATABLE, 2.6, 6.4, 3.0, makes_call=True),
)
MIX = (Mix(0.48, 0.3, True), Mix(0.3, 0.19, False), Mix(0.22, 0.43, True))
CORES = 6
READ_COST_SHARE = 0.25  # cost of reading a submission over the mean work; the brief has 0.22 to 0.28
MEAN_WORK = sum(mix.share * mix.work for mix in MIX)  # core seconds
# Submissions per second of one server that is never idle.
FULL_RATE = CORES / (MEAN_WORK * (1 + READ_COST_SHARE))
CALL_SHARE = sum(mix.share for mix in MIX if mix.calls)  # of the submissions
CALL_TIME_S = 0.06  # seconds, while the dependency is idle
NEVER = math.inf


class Outage(NamedTuple):
    """Servers that are killed or told to drain; each returns under its name, cold. Times are in seconds."""

    at: float
    servers: tuple
    return_after: float  # seconds from the stop until the restarted server's executor is up
    notice: float | None = None  # seconds from the drain notice to the stop; None: killed
    silent: bool = False  # connections break without notice, as in a network failure


class Partition(NamedTuple):
    """Servers and gateways that cannot reach each other, in both directions; both keep running."""

    at: float
    until: float
    servers: frozenset
    gateways: frozenset


class Slowdown(NamedTuple):
    """Servers that run slower, or fail a share of their runs, for a while."""

    at: float  # seconds
    until: float  # seconds
    servers: frozenset
    factor: float = 1.0  # by which runs are slower
    failing: float = 0.0  # share of runs that fail


class Restart(NamedTuple):
    """Gateways that restart: they lose all knowledge and connections, and had nothing open."""

    at: float
    gateways: tuple
    spread: float  # seconds over which the restarts are spread


class Day(NamedTuple):
    """One scenario day: the fleet, its load and everything that happens to it. Times are in seconds."""

    name: str
    seed: int
    servers: int
    gateways: int
    zones: int
    seconds: float
    load: float  # over the full rate of all cores
    bursts: tuple = ()  # (at, until, factor on the load)
    shift: tuple = ()  # (at, until, zone, factor on the traffic through its gateways)
    outages: tuple = ()
    partitions: tuple = ()
    slowdowns: tuple = ()
    restarts: tuple = ()
    registry_down: tuple = ()  # (at, until): no change reaches any server list
    list_lag: tuple = (2.1, 5.0)  # seconds until a gateway learns of an announced change
    silent_lag: tuple = (6.1, 11.0)  # seconds until it learns of an unannounced one
    dependency_headroom: float = 1.5  # concurrent calls the dependency can hold, over those of the full fleet
    # Share of the gateways that follow retry times, advertised levels and final rejections.
    follows_advice: float = 0.9
    # Share of the gateways that choose a server by a hash of the subject; the others rotate.
    hashes_subject: float = 0.5

    def rate(self, now):
        """Return the submissions per second over all gateways."""
        factor = 1.0
        for at, until, size in self.bursts:
            factor *= size if at <= now < until else 1.0
        return self.servers * FULL_RATE * self.load * factor if now < self.seconds else 0.0


def zone_of(number, zones):
    """Return the zone of a server or gateway; zones are assigned in rotation."""
    return number % zones


def draw_subset(random_source, count, share):
    """Return that share of range(count), drawn without repetition and sorted."""
    pool = list(range(count))
    for index in range(count - 1, 0, -1):
        other = int(random_source.random() * (index + 1))
        pool[index], pool[other] = pool[other], pool[index]
    return tuple(sorted(pool[: round(share * count)]))


def draw_between(random_source, low, high):
    """Return a number drawn uniformly from low to high."""
    return low + (high - low) * random_source.random()


def draw(name, seed, servers, gateways, seconds):
    """Return the scenario day of that name, drawn from its seed. Raise KeyError for an unknown name."""
    build = DAYS[name]
    random_source = SeededRandom(seed * 7919 + sum(name.encode()))
    for _ in range(8):
        random_source.random()  # the first draws of neighbouring seeds are alike
    zones = 1 + int(random_source.random() * 3)
    day = Day(
        name,
        seed,
        servers,
        gateways,
        zones,
        seconds,
        load=draw_between(random_source, 0.6, 0.68),
        dependency_headroom=draw_between(random_source, 1.2, 1.9),
        follows_advice=draw_between(random_source, 0.7, 1.0),
        hashes_subject=(0.0, 0.5, 1.0)[int(random_source.random() * 3)],
    )
    return build(day, random_source)


def calm(day, random_source):
    """A short burst, and traffic that shifts to one zone: the baseline."""
    at = 0.3 * day.seconds
    return day._replace(
        bursts=((at, at + 6.0, 1.5),), shift=((0.6 * day.seconds, 0.8 * day.seconds, 0, 1.6),)
    )


def in_batches(random_source, names, first, size, interval, return_after, notice):
    """Return outages of `names` in batches of `size`, one batch every `interval` seconds."""
    return tuple(
        Outage(first + interval * number, tuple(names[start : start + size]), return_after, notice)
        for number, start in enumerate(range(0, len(names), size))
    )


def roll(day, random_source):
    """A rolling release over half of the servers, and gateways that restart in four waves."""
    names = draw_subset(random_source, day.servers, 0.5)
    batch_size = max(1, round(0.08 * day.servers))
    outages = in_batches(
        random_source,
        names,
        5.0,
        batch_size,
        max(2.0, (day.seconds - 18.0) * batch_size / len(names)),
        4.5,
        3.2,
    )
    gateway_restarts = tuple(Restart(8.0 + 6.0 * n, tuple(range(n, day.gateways, 4)), 2.0) for n in range(4))
    return day._replace(outages=outages, restarts=gateway_restarts)


def herd(day, random_source):
    """A release during which most gateways restart at once while the registry is down."""
    names = draw_subset(random_source, day.servers, draw_between(random_source, 0.5, 0.9))
    batch_size = max(1, round(0.12 * day.servers))
    at = 0.35 * day.seconds
    return day._replace(
        outages=in_batches(random_source, names, 6.0, batch_size, 3.0, 4.5, 3.2),
        restarts=(Restart(at, draw_subset(random_source, day.gateways, 0.7), 1.0),),
        registry_down=((at - 3.0, at + 8.0),),
    )


def zone(day, random_source):
    """A zone is lost, one server in eight is slow or failing, and another zone is partitioned off."""
    lost = (
        tuple(n for n in range(day.servers) if zone_of(n, day.zones) == 0)
        if day.zones > 1
        else draw_subset(random_source, day.servers, 0.3)
    )
    impaired = frozenset(draw_subset(random_source, day.servers, 0.125))
    factor, failing = ((draw_between(random_source, 4.3, 9.3), 0.0), (1.0, 0.6))[
        int(2 * random_source.random())
    ]
    partitions = ()
    if day.zones > 1:
        isolated = frozenset(n for n in range(day.servers) if zone_of(n, day.zones) == 1)
        others = frozenset(n for n in range(day.gateways) if zone_of(n, day.zones) != 1)
        partitions = (Partition(0.65 * day.seconds, 0.65 * day.seconds + 5.0, isolated, others),)
    return day._replace(
        outages=(Outage(0.25 * day.seconds, lost, 5.0),),
        partitions=partitions,
        slowdowns=(Slowdown(0.5 * day.seconds, 0.85 * day.seconds, impaired, factor, failing),),
    )


def split(day, random_source):
    """Servers are partitioned from the gateways while all lists lag more than usual."""
    at = 0.4 * day.seconds
    if day.zones > 1:
        isolated = frozenset(n for n in range(day.servers) if zone_of(n, day.zones) == 0)
        others = frozenset(n for n in range(day.gateways) if zone_of(n, day.zones) != 0)
    else:
        isolated, others = (
            frozenset(draw_subset(random_source, day.servers, 0.2)),
            frozenset(range(day.gateways)),
        )
    return day._replace(
        partitions=(Partition(at, at + 6.0, isolated, others),), list_lag=(5.0, 8.0), silent_lag=(8.0, 14.0)
    )


def join(day, random_source):
    """Three fifths of the servers restart within seven seconds and join cold."""
    names = draw_subset(random_source, day.servers, 0.6)
    batch_size = max(1, round(len(names) / 7))
    return day._replace(
        outages=in_batches(random_source, names, 0.35 * day.seconds, batch_size, 1.0, 4.5, 3.2)
    )


DAYS = {"calm": calm, "roll": roll, "herd": herd, "zone": zone, "split": split, "join": join}
