"""The section [fleet] of the operator's file: the options of the cluster."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any, NamedTuple, Protocol

from ..operator_config.grammar import Fault, LocatedValue
from ..operator_config.schema import REQUIRED, Field, SectionSchema
from ..operator_config.value_types import AbsolutePath, Boolean, InvalidValueError, Quantity, WholeNumber
from . import limits
from .suspicion import SUSPICION_MULTIPLIER

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]*")
# Parts of an IPv4 address, and the exclusive upper bounds of a part and of a port.
ADDRESS_PARTS = 4
PART_END = 256
PORT_END = 65536
# Maximum seeds in the operator's file: enough for one in each zone of a large cluster.
MAX_SEEDS = 16
# Memory of a cluster: msgpack, crc32c and 1,024 members; with 20 members it is 2.1 MB.
MEMORY_BYTES = 3_000_000
# MB of memory that a process takes without any subsystem.
PROCESS_MB = 24


class ValueType(Protocol):
    """A type of values in the operator's file."""

    def read(self, text: str) -> str:
        """Return the value that a text denotes, or raise InvalidValueError."""


class Address(NamedTuple):
    """The type of `HOST:PORT`, with a numeric host: no name is ever resolved."""

    def read(self, text: str) -> str:
        """Return the address in its canonical form.

        Raises:
            InvalidValueError: the text is not an address.
        """
        host, colon, port = text.rpartition(":")
        if not colon or not _is_host(host) or not _is_port(port):
            raise InvalidValueError(
                "unreadable-value", f"wants an address such as 10.0.0.5:7700, has {text!r}"
            )
        return f"{host}:{int(port)}"


def _is_number_below(text: str, end: int) -> bool:
    return text.isascii() and text.isdigit() and int(text) < end


def _is_host(text: str) -> bool:
    parts = text.split(".")
    return len(parts) == ADDRESS_PARTS and all(_is_number_below(part, PART_END) for part in parts)


def _is_port(text: str) -> bool:
    return _is_number_below(text, PORT_END) and int(text) > 0


class Name(NamedTuple):
    """The type of a name of a server, a zone or a cluster."""

    def read(self, text: str) -> str:
        """Return the name.

        Raises:
            InvalidValueError: the text has other characters, or too many.
        """
        if not NAME.fullmatch(text) or len(text) > limits.ADDRESS:
            raise InvalidValueError(
                "unreadable-value", f"wants letters, digits, '-', '_' or '.', has {text!r}"
            )
        return text


class Items(NamedTuple):
    """The type of a list of another type, separated by commas, without duplicates."""

    item_type: ValueType
    max_count: int

    def read(self, text: str) -> tuple[str, ...]:
        """Return the items.

        Raises:
            InvalidValueError: an item is not of the type or listed twice, or there are too many.
        """
        items = tuple(self.item_type.read(item.strip()) for item in text.split(","))
        if len(set(items)) != len(items):
            duplicate = next(item for item in items if items.count(item) > 1)
            raise InvalidValueError("doubled-name", f"names {duplicate} twice")
        if len(items) > self.max_count:
            raise InvalidValueError("out-of-range", f"wants {self.max_count} at the most, has {len(items)}")
        return items


class ClusterOptions(NamedTuple):
    """The options of the cluster. Durations are in seconds."""

    name: str
    listen: str  # host:port for peers
    seeds: tuple[str, ...]  # addresses of servers to join by
    voters: tuple[str, ...]  # names of the servers that bootstrap the cluster and vote
    folder: str | None  # directory of the vote file; None without a durable disk
    zone: str
    probe: float  # between probes of another member
    lease: float  # for which a leader may act after one round of acknowledgements
    even: bool  # whether an even number of voters is intended
    largest: int  # maximum number of servers that the cluster ever has at once
    memory: int = MEMORY_BYTES
    where: Mapping[str, LocatedValue] = {}  # by key: the value's position in the file


def build(values: Mapping[str, Any], where: Mapping[str, LocatedValue]) -> tuple[ClusterOptions, list[Fault]]:
    """Return the options of the section and its faults."""
    options = ClusterOptions(**values, where=where)
    faults = []
    voter_count = len(options.voters)
    if voter_count % 2 == 0 and not options.even:
        text = (
            f"{voter_count} voters survive the loss of no more than "
            f"{voter_count - 1} would; even = on if that is meant"
        )
        faults.append(where["voters"].fault("even-voters", text))
    suspicion = SUSPICION_MULTIPLIER * options.probe
    if options.lease > suspicion:
        text = (
            f"an owner may be held lost after {suspicion:g} s, while its "
            f"lease of {options.lease:g} s still holds; lengthen probe or shorten lease"
        )
        faults.append(where["lease"].fault("lease-past-suspicion", text))
    if options.largest < voter_count:
        faults.append(where["largest"].fault("too-small", f"{voter_count} vote already"))
    if options.seeds == (options.listen,) and voter_count > 1:
        faults.append(where["seeds"].fault("only-itself", "the one seed is this server: it finds nobody"))
    return options, faults


class ServerConfiguration(Protocol):
    """The part of the server's configuration that is used here."""

    listen: tuple[str, int]
    memory_mb: float


def check_deployment(options: ClusterOptions, configuration: ServerConfiguration) -> list[Fault]:
    """Return the faults of the options given the server's configuration."""
    faults = []
    host, _, port = options.listen.rpartition(":")
    gateway_host, gateway_port = configuration.listen[:2]
    any_host = "0.0.0.0"
    if int(port) == gateway_port and (host in (gateway_host, any_host) or gateway_host == any_host):
        text = f"{options.listen} is where gateways come"
        faults.append(options.where["listen"].fault("gateways-address", text))
    if options.memory > (configuration.memory_mb - PROCESS_MB) * 1e6:
        text = (
            f"a fleet takes {options.memory / 1e6:g} MB beside the {PROCESS_MB} of a process; "
            f"limits.memory_mb is {configuration.memory_mb:g}"
        )
        faults.append(options.where["name"].fault("over-the-limits", text))
    return faults


SCHEMA = SectionSchema(
    "fleet",
    {
        "name": Field(Name(), REQUIRED),
        "listen": Field(Address(), REQUIRED),
        "seeds": Field(Items(Address(), MAX_SEEDS), REQUIRED),
        "voters": Field(Items(Name(), limits.VOTERS), REQUIRED),
        "folder": Field(AbsolutePath(), None),
        "zone": Field(Name(), "-"),
        "probe": Field(Quantity("a time", 0.1, 60.0), 1.0),
        "lease": Field(Quantity("a time", 0.2, 60.0), 2.0),
        "even": Field(Boolean(), False),
        "largest": Field(WholeNumber(1, limits.MEMBERS), 200),
    },
    build,
)
