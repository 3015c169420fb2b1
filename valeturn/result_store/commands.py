"""`valeturn store inspect|verify|compact DIR`: examines a store without a server, or beside one.

Scripts may read the output: the printed words stay as they are when names in the code change.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Callable, Mapping
from typing import Any, Final

from ..transport.worker_thread import InlineWorker
from . import directory, limits, records, window_clock
from .compaction_policy import LATE_READ_GRACE_S
from .directory import StoreDirectory
from .environment import StoreEnvironment, StoreSettings
from .errors import StoreRefusedError
from .opening import OpenedStore, open_store
from .store import ResultStore

# The names of the states that `inspect` prints, by entry_states.ALL_STATES.
PRINTED_STATES: Final = ("absent", "noted", "sent", "kept", "failed", "maybe")
# Limits that `compact` never reaches: it writes less than the store held before.
COMPACT_DISK_BYTES: Final = 1 << 60
COMPACT_MEMORY_BYTES: Final = 1 << 40
COMPACT_SEGMENT_BYTES: Final = 4_000_000  # the default of the operator's file
COMPACT_RETRY_S: Final = 1.0  # between attempts after a disk failure
CLOSE_TIMEOUT_S: Final = 60.0  # for writing the remaining records


def run(arguments: Mapping[str, Any]) -> int:
    """Run the command that docopt parsed and return its exit code."""
    command = next(name for name in ("inspect", "verify", "compact") if arguments[name])
    return main(command, arguments["DIR"])


def main(command: str, folder: str) -> int:
    """Run a command on a directory; return 0, 1 where something is damaged, 2 where it can't be used."""
    if not os.path.isdir(folder):
        print(f"valeturn: {folder}: no such folder", file=sys.stderr)
        return 2
    commands: dict[str, Callable[[str], int]] = {"inspect": inspect, "verify": verify, "compact": compact}
    try:
        return commands[command](folder)
    except (StoreRefusedError, OSError) as error:
        print(f"valeturn: {folder}: {error}", file=sys.stderr)
        return 2


def _open(folder: str) -> tuple[OpenedStore, float]:
    """Recover the directory without changing it; return the result and the current store time in seconds."""
    reading = window_clock.read_clocks(window_clock.read_boot_id())
    opened = open_store(StoreDirectory(folder), reading, may_create=False)
    return opened, window_clock.resume(opened.recovered.timestamp, reading)


def inspect(folder: str) -> int:
    """Print what a store holds, and return 0.

    It only reads, so a server may be running on the directory; a write in progress may appear torn.
    """
    opened, now = _open(folder)
    recovered = opened.recovered
    counts = dict.fromkeys(PRINTED_STATES, 0)
    expired = 0
    for shard in range(len(recovered.index.shards)):
        for row in recovered.index.shard_rows(shard):
            if row.until + LATE_READ_GRACE_S > now:
                counts[PRINTED_STATES[row.state]] += 1
            else:
                expired += 1
    states = " ".join(f"{name}={count}" for name, count in counts.items() if count)
    print(f"keys={recovered.index.count} {states} ended={expired}")
    log_size = sum(segment.size for segment in recovered.segments.values())
    print(
        f"segments={len(recovered.segments)} log_mb={log_size / 1e6:.3f}"
        f" snapshot_mb={opened.snapshot_size / 1e6:.3f} set_aside={len(opened.set_aside)}"
    )
    print(
        f"longest_window={recovered.longest_window:g} s"
        f" unsure_for={max(0.0, recovered.in_doubt_until - now):.1f} s"
        f" unsettled={len(recovered.unfinished)} passed_over={recovered.unknown_records}"
    )
    for event, fields in recovered.notes:
        print(event, " ".join(f"{key}={value}" for key, value in fields.items()))
    return 0


def verify(folder: str) -> int:
    """Read every segment in full, also those that the snapshot covers; return 1 where one is damaged."""
    opened, _ = _open(folder)
    recovered = opened.recovered
    files = StoreDirectory(folder)
    faults = []
    if opened.snapshot_fault:
        faults.append(f"snapshot: {opened.snapshot_fault}")
    faults += [f"segment {number}: {reason}" for number, reason in recovered.damaged]
    known_damage = {number for number, _ in recovered.damaged}
    known_ends = {**recovered.known_ends, **dict(recovered.segment_ends)}
    frame_count = 0
    record_count = 0
    for number in sorted(recovered.segments):
        data = files.read(directory.segment_file(number))
        frames, record_faults, segment_records, end = _verify_segment(number, data)
        frame_count += frames
        record_count += segment_records
        faults += record_faults
        if number in known_damage:
            continue
        if end < known_ends.get(number, end):
            faults.append(f"segment {number}: damaged at {end} of {len(data)} bytes")
        elif end < len(data):
            print(f"segment {number}: {len(data) - end} bytes behind {end} were never durable")
    for fault in faults:
        print(fault)
    verdict = "damaged" if faults else "whole"
    print(f"{verdict}: segments={len(recovered.segments)} frames={frame_count} records={record_count}")
    return 1 if faults else 0


def _verify_segment(number: int, data: bytes) -> tuple[int, list[str], int, int]:
    """Return the count of frames, the faults, the count of records and the offset after the last frame."""
    offset = len(records.LOG_MAGIC)
    frame_count = 0
    record_count = 0
    faults = []
    while (frame := records.read_frame(data, offset, number)) is not None:
        frame_count += 1
        for record_offset, size, _ in records.decode_records(frame.payload):
            start = frame.offset + record_offset
            if records.decode_single(data[start : start + size]) is None:
                faults.append(f"segment {number}: the record at {start} is damaged")
            record_count += 1
        offset = frame.end
    return frame_count, faults, record_count, offset


def compact(folder: str) -> int:
    """Write the entries that have not expired into a new log and drop the old one.

    No server may run on the directory. Returns 0, 1 where it failed, or 2 where another process uses it.
    """
    files = StoreDirectory(folder)
    if not files.prepare():
        print(f"valeturn: {folder}: another process has it", file=sys.stderr)
        return 2
    boot_id = window_clock.read_boot_id()
    bytes_before = sum(files.size(file) for file in files.names())
    open_store(files, window_clock.read_clocks(boot_id), may_create=False)
    environment = StoreEnvironment(
        files,
        InlineWorker(),
        lambda: window_clock.read_clocks(boot_id),
        count=lambda *_: None,
        log=lambda *_: None,
    )
    derived = limits.derive_limits(COMPACT_DISK_BYTES, COMPACT_MEMORY_BYTES, COMPACT_SEGMENT_BYTES)
    store = ResultStore(environment, StoreSettings(derived, COMPACT_RETRY_S, longest_window=0.0))
    store.collect()
    store.compact_all()
    done = store.close(CLOSE_TIMEOUT_S)
    bytes_after = sum(files.size(file) for file in files.names())
    verdict = "done" if done else "failed"
    print(f"{verdict}: keys={store.index.count} bytes_before={bytes_before} bytes_after={bytes_after}")
    return 0 if done else 1
