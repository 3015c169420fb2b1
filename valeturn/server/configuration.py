"""Reads and validates the JSON configuration. An error is reported in one line that names the field."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, NamedTuple

from ..admission.settings import DecodedSettings
from ..errors import ValeturnError

if TYPE_CHECKING:
    from ..admission.interface import Settings

MAX_PORT = 65535
MAX_PORT_DIGITS = 5
# Bounds and default of each number of the configuration.
MIN_SHUTDOWN_MS, MAX_SHUTDOWN_MS, DEFAULT_SHUTDOWN_MS = 1, 3.6e6, 3000  # the key `stop_ms`
MIN_SOCKETS, MAX_SOCKETS, DEFAULT_SOCKETS = 64, 1e6, 1024  # file descriptors
MIN_MEMORY_MB, MAX_MEMORY_MB, DEFAULT_MEMORY_MB = 24, 1e6, 192
MIN_CORES, MAX_CORES, DEFAULT_CORES = 0.01, 1e3, 1.0


class ConfigurationError(ValeturnError):
    """The configuration, or the operator's file, cannot be used.

    Attributes:
        field: Where the error is: a dotted key, a section, or an environment variable.
        problem: What was expected there, and what was found.
    """

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"{field}: {problem}")
        self.field = field
        self.problem = problem


class OperatorFileError(ConfigurationError):
    """The operator's file cannot be used; its text has a line for each error, with file, line and rule."""

    def __init__(self, faults: str) -> None:
        super().__init__("operator's file", faults)
        self.args = (faults,)


class Address(NamedTuple):
    """The host and TCP port on which a service listens."""

    host: str
    port: int


class Configuration(NamedTuple):
    """A validated configuration.

    The reload log and error messages show the fields' names.
    """

    name: str
    listen: Address
    executor: Address
    naming: Address  # the registry to which the server reports its health
    ledger: Address
    seed: int
    stop: float  # seconds from the termination signal to the end of the process, at most
    sockets: int  # file descriptors that the process may have open
    memory_mb: float  # memory that the process may use
    cores: float  # CPU cores that the process may use
    names: DecodedSettings  # the settings of admission, with the names of workloads and tenants


RELOADABLE = ("executor", "naming", "ledger")  # fields that take effect without a restart


def _address(raw: Mapping[str, Any], field: str) -> Address:
    """Return the address under a key, whose text is HOST:PORT."""
    text = raw.get(field)
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    numeric = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not colon or not host or not numeric or not 0 < int(port) <= MAX_PORT:
        raise ConfigurationError(field, f"wants HOST:PORT, has {text!r}")
    return Address(host, int(port))


def _number(
    table: Mapping[str, Any], key: str, minimum: float, maximum: float, default: float, section: str = ""
) -> float:
    """Return a number within its bounds; `section` is put before the key in the error."""
    value = table.get(key, default)
    if type(value) not in (int, float) or not minimum <= value <= maximum:
        raise ConfigurationError(
            f"{section}{key}", f"wants a number from {minimum} to {maximum}, has {value!r}"
        )
    number: float = value
    return number


def _name(raw: Mapping[str, Any]) -> str:
    """Return the server's name; its characters are restricted, as it is part of a URL path."""
    name = raw.get("name")
    is_ascii_text = isinstance(name, str) and name.isascii() and bool(name)
    if not is_ascii_text or not all(character.isalnum() or character in "-_." for character in str(name)):
        raise ConfigurationError("name", f"wants letters, digits, '-', '_' or '.', has {name!r}")
    return str(name)


def _seed(raw: Mapping[str, Any]) -> int:
    """Return the seed of random numbers, which is given in hexadecimal digits."""
    text: Any = raw.get("seed")
    try:
        return int(text, 16)
    except (TypeError, ValueError):
        raise ConfigurationError("seed", f"wants hex digits, has {text!r}") from None


def _limits(raw: Mapping[str, Any]) -> Mapping[str, Any]:
    """Return the object with the limits of the process; an empty one where the key is absent."""
    limits = raw.get("limits", {})
    if not isinstance(limits, dict):
        raise ConfigurationError("limits", f"wants an object, has {limits!r}")
    return limits


def _names(raw: Mapping[str, Any]) -> DecodedSettings:
    """Decode and check the settings of admission, with the names of workloads and tenants."""
    settings = raw.get("settings")
    if not isinstance(settings, dict):
        raise ConfigurationError("settings", "wants an object")
    workloads = settings.get("request_classes")
    if not isinstance(workloads, list) or not workloads:
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
    """Validate a parsed configuration and return it.

    Args:
        raw: The parsed JSON text.
        environment: Environment variables; EDGE_NAME and EDGE_LISTEN override the keys `name` and `listen`.

    Raises:
        ConfigurationError: A key is missing or has an invalid value.
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
    shutdown_ms = _number(raw, "stop_ms", MIN_SHUTDOWN_MS, MAX_SHUTDOWN_MS, DEFAULT_SHUTDOWN_MS)
    return Configuration(
        name=name,
        listen=_address(raw, "listen"),
        executor=_address(raw, "executor"),
        naming=_address(raw, "naming"),
        ledger=_address(raw, "ledger"),
        seed=seed,
        stop=shutdown_ms / 1000.0,
        sockets=int(_number(limits, "sockets", MIN_SOCKETS, MAX_SOCKETS, DEFAULT_SOCKETS, "limits.")),
        memory_mb=_number(limits, "memory_mb", MIN_MEMORY_MB, MAX_MEMORY_MB, DEFAULT_MEMORY_MB, "limits."),
        cores=_number(limits, "cores", MIN_CORES, MAX_CORES, DEFAULT_CORES, "limits."),
        names=names,
    )


def _check_settings(settings: Settings) -> None:
    """Raise ConfigurationError for settings with which admission can't decide.

    Admission works with any other value, also with small ones and zero.
    """
    minimum_by_key = (
        ("domain.cpus", settings.cores, 1),
        ("rules.overload_factor", settings.max_concurrency_per_core, 1),
    )
    for key, value, minimum in minimum_by_key:
        if not value >= minimum:
            raise ConfigurationError(
                f"settings.{key}", f"wants a number of at least {minimum}, has {value!r}"
            )
    names = set()
    for index, workload in enumerate(settings.workloads):
        field = f"settings.request_classes[{index}]"
        if not isinstance(workload.name, str) or not workload.name or workload.name in names:
            raise ConfigurationError(f"{field}.name", f"wants a name of its own, has {workload.name!r}")
        names.add(workload.name)
        if not workload.latency_objective > 0:
            raise ConfigurationError(f"{field}.goal_time_ms", "wants more than 0, as give_up_ms does")
    tenants = set()
    for index, tenant in enumerate(settings.tenants):
        if not isinstance(tenant.name, str) or tenant.name in tenants:
            field = f"settings.tenants[{index}].name"
            raise ConfigurationError(field, f"wants a name of its own, has {tenant.name!r}")
        tenants.add(tenant.name)


def load(environment: Mapping[str, str] = os.environ, path: str | None = None) -> Configuration:
    """Read and validate the configuration file.

    Args:
        environment: Environment variables; EDGE_CONFIG names the file if `path` is None, EDGE_NAME and
            EDGE_LISTEN override keys of the file.
        path: The file's path, or None.

    Raises:
        ConfigurationError: The file cannot be read, or is not valid.
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
