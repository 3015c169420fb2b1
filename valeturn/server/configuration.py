"""Reads and checks the JSON configuration. A fault is reported in one line that names the field."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, NamedTuple

from ..admission.settings import DecodedSettings
from ..errors import ValeturnError

if TYPE_CHECKING:
    from ..admission.interface import Settings

LARGEST_PORT = 65535
LONGEST_PORT = 5  # digits
SHORTEST_SHUTDOWN, LONGEST_SHUTDOWN, USUAL_SHUTDOWN = 1, 3.6e6, 3000  # ms of `stop_ms`
FEWEST_SOCKETS, MOST_SOCKETS, USUAL_SOCKETS = 64, 1e6, 1024  # descriptors
LEAST_MEMORY, MOST_MEMORY, USUAL_MEMORY = 24, 1e6, 192  # MB
FEWEST_CORES, MOST_CORES, USUAL_CORES = 0.01, 1e3, 1.0


class ConfigurationError(ValeturnError):
    """The configuration, or the operator's file, cannot be used.

    Attributes:
        field: What is at fault: a dotted key, a section, a variable of the environment.
        problem: What was expected there, and what was found.
    """

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"{field}: {problem}")
        self.field = field
        self.problem = problem


class OperatorFileError(ConfigurationError):
    """The operator's file cannot be used; the text has a line for each fault, with file, line and rule."""

    def __init__(self, faults: str) -> None:
        super().__init__("operator's file", faults)
        self.args = (faults,)


class Address(NamedTuple):
    """Where another party, or this server, listens."""

    host: str
    port: int


class Configuration(NamedTuple):
    """A checked configuration. Fields bear the names of the keys that they come from."""

    name: str
    listen: Address
    executor: Address
    naming: Address  # of the registry that the server reports to
    ledger: Address
    seed: int
    stop: float  # s from the termination signal to the end of the process
    sockets: int  # descriptors that the process may have open
    memory_mb: float
    cores: float  # that the process may use
    names: DecodedSettings


RELOADABLE = ("executor", "naming", "ledger")  # fields that a reload takes over


def _address(raw: Mapping[str, Any], field: str) -> Address:
    text = raw.get(field)
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    numeric = port.isascii() and port.isdigit() and len(port) <= LONGEST_PORT
    if not colon or not host or not numeric or not 0 < int(port) <= LARGEST_PORT:
        raise ConfigurationError(field, f"wants HOST:PORT, has {text!r}")
    return Address(host, int(port))


def _number(
    table: Mapping[str, Any], key: str, least: float, most: float, default: float, section: str = ""
) -> float:
    value = table.get(key, default)
    if type(value) not in (int, float) or not least <= value <= most:
        raise ConfigurationError(f"{section}{key}", f"wants a number from {least} to {most}, has {value!r}")
    number: float = value
    return number


def _name(raw: Mapping[str, Any]) -> str:
    name = raw.get("name")
    known = isinstance(name, str) and name.isascii() and bool(name)
    if not known or not all(character.isalnum() or character in "-_." for character in str(name)):
        raise ConfigurationError("name", f"wants letters, digits, '-', '_' or '.', has {name!r}")
    return str(name)


def _seed(raw: Mapping[str, Any]) -> int:
    text: Any = raw.get("seed")
    try:
        return int(text, 16)
    except (TypeError, ValueError):
        raise ConfigurationError("seed", f"wants hex digits, has {text!r}") from None


def _limits(raw: Mapping[str, Any]) -> Mapping[str, Any]:
    limits = raw.get("limits", {})
    if not isinstance(limits, dict):
        raise ConfigurationError("limits", f"wants an object, has {limits!r}")
    return limits


def _names(raw: Mapping[str, Any]) -> DecodedSettings:
    settings = raw.get("settings")
    if not isinstance(settings, dict):
        raise ConfigurationError("settings", "wants an object")
    classes = settings.get("request_classes")
    if not isinstance(classes, list) or not classes:
        raise ConfigurationError("settings.request_classes", "wants a list with at least one entry")
    try:
        names = DecodedSettings(settings)
    except ValueError as error:
        field, _, problem = f"settings.{error}".partition(": ")
        raise ConfigurationError(field, problem) from None
    except (KeyError, TypeError, AttributeError, ArithmeticError) as error:
        raise ConfigurationError("settings", f"{type(error).__name__}: {error}") from None
    _check_settings(names.settings)
    return names


def decode(raw: object, environment: Mapping[str, str] | None = None) -> Configuration:
    """Check a parsed configuration.

    Args:
        raw: What the JSON text held.
        environment: EDGE_NAME and EDGE_LISTEN in it go before the configuration's own.

    Raises:
        ConfigurationError: It cannot be used.
    """
    environment = environment or {}
    if not isinstance(raw, dict):
        raise ConfigurationError("configuration", "wants a JSON object")
    from_environment = {"name": environment.get("EDGE_NAME"), "listen": environment.get("EDGE_LISTEN")}
    raw = {**raw, **{field: value for field, value in from_environment.items() if value}}
    name = _name(raw)
    seed = _seed(raw)
    limits = _limits(raw)
    names = _names(raw)
    shutdown_ms = _number(raw, "stop_ms", SHORTEST_SHUTDOWN, LONGEST_SHUTDOWN, USUAL_SHUTDOWN)
    return Configuration(
        name=name,
        listen=_address(raw, "listen"),
        executor=_address(raw, "executor"),
        naming=_address(raw, "naming"),
        ledger=_address(raw, "ledger"),
        seed=seed,
        stop=shutdown_ms / 1000.0,
        sockets=int(_number(limits, "sockets", FEWEST_SOCKETS, MOST_SOCKETS, USUAL_SOCKETS, "limits.")),
        memory_mb=_number(limits, "memory_mb", LEAST_MEMORY, MOST_MEMORY, USUAL_MEMORY, "limits."),
        cores=_number(limits, "cores", FEWEST_CORES, MOST_CORES, USUAL_CORES, "limits."),
        names=names,
    )


def _check_settings(settings: Settings) -> None:
    """Refuse what admission can't decide with; the rest it takes as it comes, small and zero too."""
    least_of = (
        ("domain.cpus", settings.cores, 1),
        ("rules.overload_factor", settings.max_concurrency_per_core, 1),
    )
    for key, value, least in least_of:
        if not value >= least:
            raise ConfigurationError(f"settings.{key}", f"wants a number of at least {least}, has {value!r}")
    names = set()
    for index, request_class in enumerate(settings.workloads):
        where = f"settings.request_classes[{index}]"
        if not isinstance(request_class.name, str) or not request_class.name or request_class.name in names:
            raise ConfigurationError(f"{where}.name", f"wants a name of its own, has {request_class.name!r}")
        names.add(request_class.name)
        if not request_class.latency_objective > 0:
            raise ConfigurationError(f"{where}.goal_time_ms", "wants more than 0, as give_up_ms does")
    tenants = set()
    for index, tenant in enumerate(settings.tenants):
        if not isinstance(tenant.name, str) or tenant.name in tenants:
            where = f"settings.tenants[{index}].name"
            raise ConfigurationError(where, f"wants a name of its own, has {tenant.name!r}")
        tenants.add(tenant.name)


def load(environment: Mapping[str, str] = os.environ, path: str | None = None) -> Configuration:
    """Read and check the configuration file.

    Args:
        environment: EDGE_CONFIG in it names the file where `path` does not.
        path: The file.

    Raises:
        ConfigurationError: It cannot be read or used.
    """
    path = path or environment.get("EDGE_CONFIG")
    if not path:
        raise ConfigurationError("EDGE_CONFIG", "not set")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigurationError("EDGE_CONFIG", f"{path}: {error}") from None
    return decode(raw, environment)
