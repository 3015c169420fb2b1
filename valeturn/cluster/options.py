"""The section [fleet] of the operator's file."""

from __future__ import annotations

import re
from typing import NamedTuple

from ..operator_config.schema import REQUIRED, Field, SectionSchema
from ..operator_config.value_types import AbsolutePath, Boolean, InvalidValueError, Quantity, WholeNumber
from . import limits
from .suspicion import SUSPICION_MULTIPLIER

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]*")


class Address(NamedTuple):
    """The kind of `HOST:PORT`, the host as four numbers: no name is ever looked up."""

    def read(self, text):
        host, colon, port = text.rpartition(":")
        numbers = host.split(".")
        good = len(numbers) == 4 and all(n.isascii() and n.isdigit() and int(n) < 256 for n in numbers)
        if not colon or not good or not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
            raise InvalidValueError(
                "unreadable-value", f"wants an address such as 10.0.0.5:7700, has {text!r}"
            )
        return f"{host}:{int(port)}"


class Word(NamedTuple):
    """The kind of a name of a server, a zone or a fleet."""

    def read(self, text):
        if not NAME.fullmatch(text) or len(text) > limits.ADDRESS:
            raise InvalidValueError(
                "unreadable-value", f"wants letters, digits, '-', '_' or '.', has {text!r}"
            )
        return text


class Many(NamedTuple):
    """A list of another kind, parted by commas, each once; more than `most` are none."""

    kind: object
    most: int

    def read(self, text):
        found = tuple(self.kind.read(one.strip()) for one in text.split(","))
        if len(set(found)) != len(found):
            twice = next(one for one in found if found.count(one) > 1)
            raise InvalidValueError("doubled-name", f"names {twice} twice")
        if len(found) > self.most:
            raise InvalidValueError("out-of-range", f"wants {self.most} at the most, has {len(found)}")
        return found


class FleetOptions(NamedTuple):
    name: str
    listen: str
    seeds: tuple
    voters: tuple  # names of those that found the fleet and vote
    folder: str | None  # for the vote, where a disk outlasts the server
    zone: str
    probe: float  # s between probes of another member
    lease: float  # s that an owner acts on one round of answers
    even: bool  # an even number of voters is meant
    largest: int  # servers that the fleet may ever have at once
    memory: int = 3_000_000  # bytes: msgpack, crc32c and 1,024 members; measured 2.1 MB with 20
    where: dict = {}


def build(values, where):
    options = FleetOptions(**values, where=where)
    faults = []
    if len(options.voters) % 2 == 0 and not options.even:
        faults.append(
            where["voters"].fault(
                "even-voters",
                f"{len(options.voters)} voters survive the loss of no more than "
                f"{len(options.voters) - 1} would; even = on if that is meant",
            )
        )
    if options.lease > SUSPICION_MULTIPLIER * options.probe:
        faults.append(
            where["lease"].fault(
                "lease-past-suspicion",
                f"an owner may be held lost after {SUSPICION_MULTIPLIER * options.probe:g} s, while its "
                f"lease of {options.lease:g} s still holds; lengthen probe or shorten lease",
            )
        )
    if options.largest < len(options.voters):
        faults.append(where["largest"].fault("too-small", f"{len(options.voters)} vote already"))
    if options.listen in options.seeds and len(options.seeds) == 1 and len(options.voters) > 1:
        faults.append(where["seeds"].fault("only-itself", "the one seed is this server: it finds nobody"))
    return options, faults


def check_deployment(built, c):
    """What is wrong with it beside a configuration."""
    faults, host = [], built.listen.rpartition(":")
    if (
        int(host[2]) == c.listen[1]
        and host[0] in (c.listen[0], "0.0.0.0")
        or (int(host[2]) == c.listen[1] and c.listen[0] == "0.0.0.0")
    ):
        faults.append(
            built.where["listen"].fault("gateways-address", f"{built.listen} is where gateways come")
        )
    if built.memory > (c.memory_mb - 24) * 1e6:
        faults.append(
            built.where["name"].fault(
                "over-the-limits",
                f"a fleet takes {built.memory / 1e6:g} MB beside the 24 of a process; "
                f"limits.memory_mb is {c.memory_mb:g}",
            )
        )
    return faults


SCHEMA = SectionSchema(
    "fleet",
    {
        "name": Field(Word(), REQUIRED),
        "listen": Field(Address(), REQUIRED),
        "seeds": Field(Many(Address(), 16), REQUIRED),
        "voters": Field(Many(Word(), limits.VOTERS), REQUIRED),
        "folder": Field(AbsolutePath(), None),
        "zone": Field(Word(), "-"),
        "probe": Field(Quantity("a time", 0.1, 60.0), 1.0),
        "lease": Field(Quantity("a time", 0.2, 60.0), 2.0),
        "even": Field(Boolean(), False),
        "largest": Field(WholeNumber(1, limits.MEMBERS), 200),
    },
    build,
)
