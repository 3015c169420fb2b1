"""`valeturn store inspect|verify|compact DIR`: a folder looked at without a server on it, or beside one."""

from __future__ import annotations

import os
import sys

from ..transport.worker_thread import Inline
from . import directory, limits, records, window_clock
from .compaction_policy import LATE_READ_GRACE
from .directory import StoreDirectory
from .errors import StoreRefusedError
from .opening import open_store
from .store import Kept

# The names of the entries' states that `inspect` prints, by entry_states.ALL_STATES.
STATES = ("absent", "noted", "sent", "kept", "failed", "maybe")


class Plain:
    """What Kept asks of the operator's file."""

    retry = 1.0


def run(given):
    """The exit code for docopt's words."""
    return main(next(what for what in ("inspect", "verify", "compact") if given[what]), given["DIR"])


def main(what, folder):
    if not os.path.isdir(folder):
        print(f"valeturn: {folder}: no such folder", file=sys.stderr)
        return 2
    try:
        return {"inspect": inspect, "verify": verify, "compact": compact}[what](folder)
    except (StoreRefusedError, OSError) as error:
        print(f"valeturn: {folder}: {error}", file=sys.stderr)
        return 2


def _open(folder):
    moment = window_clock.read_clocks(window_clock.read_boot_id())
    opened = open_store(StoreDirectory(folder), moment, may_create=False)
    return opened, window_clock.resume(opened.recovered.timestamp, moment)


def inspect(folder):
    """Reads alone, so it may be used beside a server; what that one is writing just then may look torn."""
    opened, now = _open(folder)
    found, states, ended = opened.recovered, dict.fromkeys(STATES, 0), 0
    for shard in range(len(found.index.shards)):
        for row in found.index.shard_rows(shard):
            if row.until + LATE_READ_GRACE > now:
                states[STATES[row.state]] += 1
            else:
                ended += 1
    print(
        f"keys={found.index.count} "
        + " ".join(f"{k}={n}" for k, n in states.items() if n)
        + f" ended={ended}"
    )
    print(
        f"segments={len(found.segments)} log_mb={sum(s.size for s in found.segments.values()) / 1e6:.3f}"
        f" snapshot_mb={opened.snapshot_size / 1e6:.3f} set_aside={len(opened.set_aside)}"
    )
    print(
        f"longest_window={found.longest_window:g} s unsure_for={max(0.0, found.in_doubt_until - now):.1f} s"
        f" unsettled={len(found.unfinished)} passed_over={found.unknown_records}"
    )
    for event, fields in found.notes:
        print(event, " ".join(f"{key}={value}" for key, value in fields.items()))
    return 0


def verify(folder):
    """Reads every byte of every segment, those before the snapshot too. 1 where something is not whole."""
    opened, _ = _open(folder)
    files, bad = StoreDirectory(folder), []
    if opened.snapshot_fault:
        bad.append(f"snapshot: {opened.snapshot_fault}")
    bad += [f"segment {number}: {why}" for number, why in opened.recovered.damaged]
    seen = {number for number, _ in opened.recovered.damaged}
    frames = count = 0
    for number in sorted(opened.recovered.segments):
        data, at = files.read(directory.segment_file(number)), len(records.LOG_MAGIC)
        while (frame := records.read_frame(data, at, number)) is not None:
            frames += 1
            for offset, size, _ in records.decode_records(frame.payload):
                start = frame.offset + offset
                if records.decode_single(data[start : start + size]) is None:
                    bad.append(f"segment {number}: the record at {start} is damaged")
                count += 1
            at = frame.end
        ends = {**opened.recovered.known_ends, **dict(opened.recovered.segment_ends)}
        if at < ends.get(number, at) and number not in seen:
            bad.append(f"segment {number}: damaged at {at} of {len(data)} bytes")
        elif at < len(data) and number not in seen:
            print(f"segment {number}: {len(data) - at} bytes behind {at} were never durable")
    for line in bad:
        print(line)
    verdict = "damaged" if bad else "whole"
    print(f"{verdict}: segments={len(opened.recovered.segments)} frames={frames} records={count}")
    return 1 if bad else 0


def compact(folder):
    """Writes what is still in its window into a new log, then drops the old one; a server may not run on
    it."""
    files = StoreDirectory(folder)
    if not files.prepare():
        print(f"valeturn: {folder}: another process has it", file=sys.stderr)
        return 2
    boot_id = window_clock.read_boot_id()
    before = sum(files.size(file) for file in files.names())
    open_store(files, window_clock.read_clocks(boot_id), may_create=False)
    said = []
    derived = limits.derive_limits(1 << 60, 1 << 40, 4_000_000)
    kept = Kept(
        Plain,
        derived,
        files,
        Inline(),
        lambda: window_clock.read_clocks(boot_id),
        0.0,
        lambda *_: None,
        lambda event, fields: said.append((event, fields)),
    )
    kept.collect()
    kept.compact_all()
    done = kept.close(60.0)
    after = sum(StoreDirectory(folder).size(file) for file in StoreDirectory(folder).names())
    print(
        f"{'done' if done else 'failed'}: keys={kept.index.count} bytes_before={before} bytes_after={after}"
    )
    return 0 if done else 1
