"""The days of a fleet's year that hurt: what each draws from its seed, as values; nothing here acts."""

from __future__ import annotations

import math
from typing import NamedTuple

from ...admission import interface
from ...transport.seeded_random import SeededRandom
from ..emulator import Mix

# As the operators' brief has it, rounded: shares, work of one core, goals, cut-offs, what an answer earns.
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
INTAKE = 0.25  # of the mean work, to read one: the brief has 0.22 to 0.28
MEAN_WORK = sum(mix.share * mix.work for mix in MIX)
RATE = CORES / (MEAN_WORK * (1 + INTAKE))  # submissions a second of one server that is never idle
CALLS = sum(mix.share for mix in MIX if mix.calls)
CALL_TIME = 0.06  # s of an idle dependency
NEVER = math.inf


class Out(NamedTuple):
    """Servers that go: killed outright, or told to drain; each is back under its name, cold."""

    at: float
    servers: tuple
    back_after: float  # s from the going until the next one's executor is up
    notice: float | None = None  # s from the notice to the stop, None: killed
    silent: bool = False  # its connections break with no word, as if its network had gone


class Cut(NamedTuple):
    """Servers that some gateways can't reach, in both directions; they live on."""

    at: float
    until: float
    servers: frozenset
    gateways: frozenset  # that can't reach them


class Slow(NamedTuple):
    at: float
    until: float
    servers: frozenset
    times: float = 1.0  # slower
    failing: float = 0.0  # share of runs that fail


class Restart(NamedTuple):
    """Gateways that start anew: they know nothing, connect anew and had nothing open."""

    at: float
    gateways: tuple
    over: float  # s over which they do


class Day(NamedTuple):
    name: str
    seed: int
    servers: int
    gateways: int
    zones: int
    seconds: float
    load: float  # of what the cores can do
    bursts: tuple = ()  # (at, until, times as much)
    shift: tuple = ()  # (at, until, zone, times as much from its gateways)
    outs: tuple = ()
    cuts: tuple = ()
    slows: tuple = ()
    restarts: tuple = ()
    registry_down: tuple = ()  # (at, until): no change reaches any list
    list_lag: tuple = (2.1, 5.0)  # s until a gateway hears of what was told
    silent_lag: tuple = (6.1, 11.0)  # s until it hears of what was not
    room: float = 1.5  # calls that the dependency holds, over those of the full fleet
    heeds: float = 0.9  # share of the gateways that heed advice, level and the wish not to go on
    hashes: float = 0.5  # share of the gateways that choose by subject; the others take turns

    def rate(self, t):
        """Submissions a second over all gateways."""
        times = 1.0
        for at, until, size in self.bursts:
            times *= size if at <= t < until else 1.0
        return self.servers * RATE * self.load * times if t < self.seconds else 0.0


def zone_of(number, zones):
    return number % zones


def some(random_source, number, share):
    """So large a share of numbers, drawn without repeats."""
    pool = list(range(number))
    for index in range(number - 1, 0, -1):
        other = int(random_source.random() * (index + 1))
        pool[index], pool[other] = pool[other], pool[index]
    return tuple(sorted(pool[: round(share * number)]))


def between(random_source, low, high):
    return low + (high - low) * random_source.random()


def draw(name, seed, servers, gateways, seconds):
    """The day of that name. Raises KeyError for a name that is none."""
    build = DAYS[name]
    random_source = SeededRandom(seed * 7919 + sum(name.encode()))
    for _ in range(8):
        random_source.random()  # seeds side by side begin alike
    zones = 1 + int(random_source.random() * 3)
    day = Day(
        name,
        seed,
        servers,
        gateways,
        zones,
        seconds,
        load=between(random_source, 0.6, 0.68),
        room=between(random_source, 1.2, 1.9),
        heeds=between(random_source, 0.7, 1.0),
        hashes=(0.0, 0.5, 1.0)[int(random_source.random() * 3)],
    )
    return build(day, random_source)


def calm(day, random_source):
    at = 0.3 * day.seconds
    return day._replace(
        bursts=((at, at + 6.0, 1.5),), shift=((0.6 * day.seconds, 0.8 * day.seconds, 0, 1.6),)
    )


def in_steps(random_source, who, first, step, every, back_after, notice):
    """`who` goes in batches, one batch every so many seconds."""
    return tuple(
        Out(first + every * n, tuple(who[start : start + step]), back_after, notice)
        for n, start in enumerate(range(0, len(who), step))
    )


def roll(day, random_source):
    who = some(random_source, day.servers, 0.5)
    step = max(1, round(0.08 * day.servers))
    outs = in_steps(random_source, who, 5.0, step, max(2.0, (day.seconds - 18.0) * step / len(who)), 4.5, 3.2)
    waves = tuple(Restart(8.0 + 6.0 * n, tuple(range(n, day.gateways, 4)), 2.0) for n in range(4))
    return day._replace(outs=outs, restarts=waves)


def herd(day, random_source):
    who = some(random_source, day.servers, between(random_source, 0.5, 0.9))
    step = max(1, round(0.12 * day.servers))
    at = 0.35 * day.seconds
    return day._replace(
        outs=in_steps(random_source, who, 6.0, step, 3.0, 4.5, 3.2),
        restarts=(Restart(at, some(random_source, day.gateways, 0.7), 1.0),),
        registry_down=((at - 3.0, at + 8.0),),
    )


def zone(day, random_source):
    lost = (
        tuple(n for n in range(day.servers) if zone_of(n, day.zones) == 0)
        if day.zones > 1
        else some(random_source, day.servers, 0.3)
    )
    odd = frozenset(some(random_source, day.servers, 0.125))
    times, failing = ((between(random_source, 4.3, 9.3), 0.0), (1.0, 0.6))[int(2 * random_source.random())]
    cuts = ()
    if day.zones > 1:
        apart = frozenset(n for n in range(day.servers) if zone_of(n, day.zones) == 1)
        others = frozenset(n for n in range(day.gateways) if zone_of(n, day.zones) != 1)
        cuts = (Cut(0.65 * day.seconds, 0.65 * day.seconds + 5.0, apart, others),)
    return day._replace(
        outs=(Out(0.25 * day.seconds, lost, 5.0),),
        cuts=cuts,
        slows=(Slow(0.5 * day.seconds, 0.85 * day.seconds, odd, times, failing),),
    )


def split(day, random_source):
    at = 0.4 * day.seconds
    if day.zones > 1:
        apart = frozenset(n for n in range(day.servers) if zone_of(n, day.zones) == 0)
        others = frozenset(n for n in range(day.gateways) if zone_of(n, day.zones) != 0)
    else:
        apart, others = frozenset(some(random_source, day.servers, 0.2)), frozenset(range(day.gateways))
    return day._replace(cuts=(Cut(at, at + 6.0, apart, others),), list_lag=(5.0, 8.0), silent_lag=(8.0, 14.0))


def join(day, random_source):
    who = some(random_source, day.servers, 0.6)
    step = max(1, round(len(who) / 7))
    return day._replace(outs=in_steps(random_source, who, 0.35 * day.seconds, step, 1.0, 4.5, 3.2))


DAYS = {"calm": calm, "roll": roll, "herd": herd, "zone": zone, "split": split, "join": join}
