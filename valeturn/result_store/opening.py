"""Reads a folder at the start, and for the commands: refuses what can't be used, touching nothing."""

from __future__ import annotations

import os

import blake3

from . import directory as names
from . import recovery, snapshot
from .recovery import Refused

KNOWN = b"valeturn kept results"  # what the key's check is made of
HEAD_BYTES = 65536  # of a segment, that hold its head however many files it tells of


def digest_key(files, may_make):
    """The folder's key. One that is missing beside a log is no key at all: nothing could be told apart."""
    listed = files.names()
    if names.KEY in listed:
        key = files.read(names.KEY)
        if len(key) != 32:
            raise Refused(f"the file {names.KEY} has {len(key)} bytes, wants 32")
        return key
    if any(names.SEGMENT.fullmatch(file) for file in listed):
        raise Refused(f"the file {names.KEY} is missing beside a log that was written with it")
    if not may_make:
        raise Refused("there is no store in this folder")
    key, new = os.urandom(32), names.KEY + ".new"
    files.remove(new)
    files.create(new)
    files.write(new, key)
    files.sync(new)
    files.close(new)
    files.rename(new, names.KEY)
    files.sync_folder()
    return key


def check_of(key):
    return blake3.blake3(KNOWN, key=key).digest(8)


class Opened:
    """A folder as it was found."""

    def __init__(self, key, found, covered, snapshot_size, snapshot_bad, position, set_aside):
        self.key, self.found, self.covered, self.snapshot_size = key, found, covered, snapshot_size
        self.snapshot_bad, self.position, self.set_aside = snapshot_bad, position, set_aside


def open_folder(files, moment, may_make=True):
    """Raises Refused, or OSError where the folder can't be read."""
    key = digest_key(files, may_make)
    listed = files.names()
    numbers = sorted(int(m.group(1)) for m in map(names.SEGMENT.fullmatch, listed) if m)
    aside = sorted(int(m.group(1)) for m in map(names.DAMAGED.fullmatch, listed) if m)
    shot, bad, size = None, None, 0
    first = {number: files.read(names.name(number), HEAD_BYTES) for number in numbers}
    if names.SNAPSHOT in listed:
        data = files.read(names.SNAPSHOT)
        size, got = len(data), snapshot.read(data)
        shot, bad = (None, got) if isinstance(got, str) else (got, None)
    found = recovery.recover(
        shot, numbers, lambda number: files.read(names.name(number)), first, check_of(key), moment, aside
    )
    for number in numbers:
        if number not in found.segments:  # in front of the snapshot, and gone from its list
            found.segments[number] = recovery.Segment(number, files.size(names.name(number)))
    for number in list(found.segments):
        if number not in numbers:
            del found.segments[number]
    found.last = max([found.last, *aside])
    if bad:
        found.note("snapshot_unusable", why=bad)
    position = shot.position if shot is not None else None
    return Opened(key, found, position[0] if position else 0, size, bad, position, aside)
