"""Reads and checks the configuration. What is wrong is told in one line that names the field."""

from __future__ import annotations

import json
import os
from typing import NamedTuple

from ..admission.settings import Names


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
    good = colon and host and port.isascii() and port.isdigit() and len(port) <= 5 and 0 < int(port) < 65536
    if not good:
        raise Wrong(f"{field}: wants HOST:PORT, has {text!r}")
    return host, int(port)


def _number(table, field, least, most, absent=None, prefix=""):
    value = table.get(field, absent)
    if type(value) not in (int, float) or not least <= value <= most:
        raise Wrong(f"{prefix}{field}: wants a number from {least} to {most}, has {value!r}")
    return value


def decode(raw, environment=None):
    environment = environment or {}
    if not isinstance(raw, dict):
        raise Wrong("configuration: wants a JSON object")
    told = {"name": environment.get("EDGE_NAME"), "listen": environment.get("EDGE_LISTEN")}
    raw = {**raw, **{field: value for field, value in told.items() if value}}
    name = raw.get("name")
    if (
        not isinstance(name, str)
        or not name.isascii()
        or not name
        or not all(c.isalnum() or c in "-_." for c in name)
    ):
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
    except ValueError as error:
        raise Wrong(f"settings.{error}") from None
    except (KeyError, TypeError, AttributeError, ArithmeticError) as error:
        raise Wrong(f"settings: {type(error).__name__}: {error}") from None
    _check(names.settings)
    return Configuration(
        name,
        _address(raw, "listen"),
        _address(raw, "executor"),
        _address(raw, "naming"),
        _address(raw, "ledger"),
        seed,
        _number(raw, "stop_ms", 1, 3.6e6, 3000) / 1000.0,
        int(_number(limits, "sockets", 64, 1e6, 1024, "limits.")),
        _number(limits, "memory_mb", 24, 1e6, 192, "limits."),
        _number(limits, "cores", 0.01, 1e3, 1.0, "limits."),
        names,
    )


def _check(s):
    """What the module can't decide with; the rest it takes as it comes, small and zero too."""
    for field, value, least in (("domain.cpus", s.cores, 1), ("rules.overload_factor", s.crowd_factor, 1)):
        if not value >= least:
            raise Wrong(f"settings.{field}: wants a number of at least {least}, has {value!r}")
    for index, w in enumerate(s.workloads):
        where = f"settings.request_classes[{index}]"
        if not isinstance(w.name, str) or not w.name or w.name in [one.name for one in s.workloads[:index]]:
            raise Wrong(f"{where}.name: wants a name of its own, has {w.name!r}")
        if not w.latency_goal > 0:
            raise Wrong(f"{where}.goal_time_ms: wants more than 0, as give_up_ms does")
    for index, tenant in enumerate(s.tenants):
        if not isinstance(tenant.name, str) or tenant.name in [one.name for one in s.tenants[:index]]:
            raise Wrong(f"settings.tenants[{index}].name: wants a name of its own, has {tenant.name!r}")


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
