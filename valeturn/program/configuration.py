"""Reads and checks the configuration. What is wrong is told in one line that names the field."""

from __future__ import annotations

import json
import math
import os
from typing import NamedTuple

from ..settings import Names


class Wrong(Exception):
    """The configuration cannot be used."""


class Configuration(NamedTuple):
    name: str
    listen: tuple
    executor: tuple
    naming: tuple
    ledger: tuple
    seed: int
    stop: float  # s from the notice to leave to the end
    sockets: int
    memory_mb: float
    cores: float  # that the process may use
    names: Names


MOVABLE = ("executor", "ledger", "naming")  # what a reload takes over


def _address(raw, field):
    text = raw.get(field)
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise Wrong(f"{field}: wants HOST:PORT, has {text!r}")
    return host, int(port)


def _number(table, field, least, most, absent=None, prefix=""):
    value = table.get(field, absent)
    good = isinstance(value, (int, float)) and not isinstance(value, bool) and math.isfinite(value)
    if not good or not least <= value <= most:
        raise Wrong(f"{prefix}{field}: wants a number from {least} to {most}, has {value!r}")
    return value


def decode(raw, environment=None):
    environment = environment or {}
    if not isinstance(raw, dict):
        raise Wrong("configuration: wants a JSON object")
    told = {"name": environment.get("EDGE_NAME"), "listen": environment.get("EDGE_LISTEN")}
    raw = {**raw, **{field: value for field, value in told.items() if value}}
    name = raw.get("name")
    if not isinstance(name, str) or not name or not all(c.isalnum() or c in "-_." for c in name):
        raise Wrong(f"name: wants letters, digits, '-', '_' or '.', has {name!r}")
    try:
        seed = int(raw.get("seed"), 16)
    except (TypeError, ValueError):
        raise Wrong(f"seed: wants hex digits, has {raw.get('seed')!r}") from None
    limits, settings = raw.get("limits", {}), raw.get("settings")
    if not isinstance(limits, dict):
        raise Wrong(f"limits: wants an object, has {limits!r}")
    if not isinstance(settings, dict):
        raise Wrong("settings: wants an object")
    if not isinstance(settings.get("request_classes"), list) or not settings["request_classes"]:
        raise Wrong("settings.request_classes: wants a list with at least one entry")
    try:
        names = Names(settings)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise Wrong(f"settings: {type(error).__name__}: {error}") from None
    _check(names.settings)
    return Configuration(
        name, _address(raw, "listen"), _address(raw, "executor"), _address(raw, "naming"),
        _address(raw, "ledger"), seed, _number(raw, "stop_ms", 1, 3.6e6, 3000) / 1000.0,
        int(_number(limits, "sockets", 64, 1e6, 1024, "limits.")),
        _number(limits, "memory_mb", 24, 1e6, 192, "limits."),
        _number(limits, "cores", 0.01, 1e3, 1.0, "limits."), names)


def _check(s):
    """What the module divides by or waits for must make sense; the rest it takes as it comes."""
    for field, value, least in (
            ("servers", s.servers, 1), ("domain.cpus", s.cores, 1), ("domain.heap_kb", s.memory, 1),
            ("domain.run_mem_factor", s.run_memory_factor, 1), ("domain.key_kb", s.key_memory, 0),
            ("domain.calls_out", s.calls_share, 0), ("domain.calls_over_ms", s.calls_window, 0),
            ("domain.linger_ms", s.call_linger, 0), ("domain.fresh_ms", s.fresh_for, 0),
            ("rules.overload_factor", s.crowd_factor, 1), ("rules.cold_ms", s.cold_time, 0),
            ("rules.start_capacity", s.cold_speed, 0), ("rules.drain_grace_ms", s.drain_grace, 0),
            ("rules.grace_to_answer_ms", s.answer_slack, 0), ("tick_ms", s.tick, 0)):
        if not isinstance(value, (int, float)) or not value >= least:
            raise Wrong(f"settings.{field}: wants a number of at least {least}, has {value!r}")
    for index, w in enumerate(s.workloads):
        where = f"settings.request_classes[{index}]"
        if not isinstance(w.name, str) or not w.name or w.name in [one.name for one in s.workloads[:index]]:
            raise Wrong(f"{where}.name: wants a name of its own, has {w.name!r}")
        if not 0 < w.latency_goal <= w.cut_off:
            raise Wrong(f"{where}.goal_time_ms: wants more than 0 and no more than give_up_ms")


def load(environment=os.environ, path=None):
    path = path or environment.get("EDGE_CONFIG")
    if not path:
        raise Wrong("EDGE_CONFIG: not set")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise Wrong(f"EDGE_CONFIG: {path}: {error}") from None
    return decode(raw, environment)
