"""`lab store`: the store and plain sqlite3 (WAL, synchronous=FULL) at the same work in one run, and its own
structures beside plain ones.

The work is the store's: an intent that must be durable before its run, then a result of 256 bytes; a hundred
submissions are under way at a time, and what comes meanwhile shares the next write. Both get the same
grouping.
"""

from __future__ import annotations

import heapq
import os
import pathlib
import shutil
import sqlite3
import subprocess
import sys
import tempfile
import time

from hdrh.histogram import HdrHistogram

from ..result_store import entry_states, limits, window_clock
from ..result_store.directory import StoreDirectory
from ..result_store.environment import StoreEnvironment, StoreSettings
from ..result_store.index import Index
from ..result_store.log_jobs import SnapshotJob
from ..result_store.store import ResultStore
from ..result_store.timing_wheel import TimingWheel
from ..transport.worker_thread import WorkerThread

AT_ONCE = 100  # submissions under way
RESULT = bytes(range(256))
MEASURED = 20_000  # submissions whose waits are taken, after which keys are only filled in


def mark(number):
    return f"parcel-{number:08d}"


def open_kept(folder, keys, helper=None):
    files, boot = StoreDirectory(str(folder)), window_clock.read_boot_id()
    if not files.prepare():
        raise SystemExit(f"valeturn: {folder}: another process has it")
    derived = limits.derive_limits(2 * keys * 600 + 100_000_000, max(8_000_000, 150 * keys), 4_000_000)
    environment = StoreEnvironment(
        files,
        helper or WorkerThread(),
        lambda: window_clock.read_clocks(boot),
        lambda *_: None,
        lambda *_: None,
    )
    return ResultStore(environment, StoreSettings(derived, 1.0, 86400.0))


def submissions(kept, keys, waits):
    """Plays so many submissions through the store: noted, synced, ended. waits: a histogram in
    microseconds."""
    under_way, made, ended = {}, 0, 0
    while ended < keys:
        while len(under_way) < AT_ONCE and made < keys:
            made += 1
            digest = kept.key_digest("book", mark(made))
            if kept.look_up(digest, 0.0).outcome != "execute" or kept.retry_after():
                raise SystemExit(f"valeturn: no room for key {made}")
            under_way[made] = digest, time.perf_counter()
            kept.log_intent(made, digest, 86400.0, made.to_bytes(8, "big"), "book")
        kept.flush()
        kept.worker.wakeup_socket.recv(65536)
        for kind, number, _ in kept.collect():
            if kind != "intent_durable":
                raise SystemExit("valeturn: the disk failed")
            digest, began = under_way.pop(number)
            waits.record_value(max(1, int(1e6 * (time.perf_counter() - began))))
            kept.end_execution(number, digest, entry_states.SUCCEEDED, RESULT)
            ended += 1
    kept.flush()
    while kept.pending or kept.in_flight:
        kept.worker.wakeup_socket.recv(65536)
        kept.collect()
        kept.flush()


class Sqlite:
    """The same in one table, an intent a row that its result fills in."""

    def __init__(self, folder):
        self.db = sqlite3.connect(os.path.join(folder, "kept.db"), isolation_level=None)
        self.db.execute("pragma journal_mode=WAL")
        self.db.execute("pragma synchronous=FULL")
        self.db.execute(
            "create table if not exists kept(digest blob primary key, until integer, state integer,"
            " call blob, workload text, result blob) without rowid"
        )
        self.db.execute("create index if not exists ends on kept(until)")

    def submissions(self, keys, digest, waits):
        made, ended, results = 0, 0, []
        while ended < keys:
            began, batch = time.perf_counter(), []
            while len(batch) < AT_ONCE and made < keys:
                made += 1
                one = digest("book", mark(made))
                if self.db.execute("select state from kept where digest=?", (one,)).fetchone() is not None:
                    raise SystemExit("valeturn: a key is there already")
                batch.append((one, 1 << 31, 1, made.to_bytes(8, "big"), "book", None))
            self.db.execute("begin")
            self.db.executemany("update kept set state=2, result=? where digest=?", results)
            self.db.executemany("insert into kept values(?,?,?,?,?,?)", batch)
            self.db.execute("commit")
            results = [(RESULT, one[0]) for one in batch]
            for _ in batch:
                waits.record_value(max(1, int(1e6 * (time.perf_counter() - began))))
            ended += len(batch)
        self.db.execute("begin")
        self.db.executemany("update kept set state=2, result=? where digest=?", results)
        self.db.execute("commit")


def size_of(folder):
    return sum(file.stat().st_size for file in pathlib.Path(folder).iterdir())


def ms(histogram, percentile):
    return histogram.get_value_at_percentile(percentile) / 1000


CHILD = """
import sys, time
sys.path.insert(0, {root!r})
from valeturn.lab import storebench
from valeturn.transport.worker_thread import InlineWorker
before, began = storebench.resident(), time.perf_counter()
{what}
print(time.perf_counter() - began, storebench.resident() - before)
"""


def resident():
    """Bytes of this process that are in memory."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def child(what):
    """(seconds, bytes of memory) of a start in a process of its own."""
    text = CHILD.format(root=str(pathlib.Path(__file__).resolve().parents[2]), what=what)
    done = subprocess.run([sys.executable, "-c", text], capture_output=True, text=True, check=True)
    return tuple(float(word) for word in done.stdout.split())


def structures(keys, out):
    """The index beside a dict, the wheel beside a heap."""
    digests = [os.urandom(16) for _ in range(keys)]
    rows = {}
    began, most, last = time.perf_counter(), 0.0, time.perf_counter()
    for digest in digests:
        rows[digest] = (1, 2, 3, 4, 5)
        now = time.perf_counter()
        most, last = max(most, now - last), now
    took = time.perf_counter() - began
    each = (sys.getsizeof(rows) + keys * (sys.getsizeof(digests[0]) + 96)) / keys
    print(
        f"index dict: put_us={1e6 * took / keys:.2f} longest_ms={1e3 * most:.2f} bytes_a_key={each:.0f}",
        file=out,
    )
    index = Index()
    began, most, last = time.perf_counter(), 0.0, time.perf_counter()
    for digest in digests:
        index.put(digest, 1, 2, 3, 4, entry_states.STORED)
        now = time.perf_counter()
        most, last = max(most, now - last), now
    took = time.perf_counter() - began
    began = time.perf_counter()
    found = sum(index.get(digest) is not None for digest in digests[:50_000])
    get = (time.perf_counter() - began) / found
    print(
        f"index ours: put_us={1e6 * took / keys:.2f} longest_ms={1e3 * most:.2f} "
        f"bytes_a_key={index.memory_bytes() / keys:.0f} get_us={1e6 * get:.2f}",
        file=out,
    )
    del rows, index
    for name, make in (("heap", Heap), ("wheel", TimingWheel)):
        ends, began = make(0), time.perf_counter()
        for number, digest in enumerate(digests):
            ends.add(digest, 600 + number * 7919 % 3600)
        added = time.perf_counter() - began
        began, gone = time.perf_counter(), 0
        for now in range(600, 4300):
            gone += len(ends.pop_due(now, 1 << 30))
        took = time.perf_counter() - began
        print(
            f"expiry {name}: add_us={1e6 * added / keys:.2f} due_us={1e6 * took / gone:.2f} "
            f"bytes_a_key={make.BYTES}",
            file=out,
        )


class Heap:
    """The plain way: (second, digest) in a heap."""

    BYTES = 8 + 56  # a slot and a tuple; the digest and the number are counted with the index

    def __init__(self, now):
        self.heap = []

    def add(self, digest, second):
        heapq.heappush(self.heap, (second, digest))

    def pop_due(self, now, most):
        out = []
        while self.heap and self.heap[0][0] <= now and len(out) < most:
            out.append(heapq.heappop(self.heap)[1])
        return out


TimingWheel.BYTES = 24


def main(keys, folder, out):
    base = pathlib.Path(folder) if folder else pathlib.Path(tempfile.mkdtemp(prefix="valeturn-lab-"))
    try:
        return measure(keys, base, out)
    finally:
        if folder is None:
            shutil.rmtree(base, ignore_errors=True)


def tell(name, keys, took, cpu, waits, folder, out):
    print(
        f"{name}: durable_a_second={keys / took:.0f} cpu_us={1e6 * cpu / keys:.1f} "
        f"wait_p50_ms={ms(waits, 50):.2f} wait_p99_ms={ms(waits, 99):.2f} wait_most_ms={ms(waits, 100):.2f} "
        f"disk_mb={size_of(folder) / 1e6:.1f}",
        file=out,
        flush=True,
    )


def measure(keys, base, out):
    ours, theirs = base / "kept", base / "sqlite"
    for one in (ours, theirs):
        one.mkdir(parents=True)
    waits = HdrHistogram(1, 60_000_000, 3)
    kept = open_kept(ours, keys)
    key, began, cpu = kept.key_digest, time.perf_counter(), time.process_time()
    submissions(kept, keys, waits)
    took, cpu = time.perf_counter() - began, time.process_time() - cpu
    tell("store", keys, took, cpu, waits, ours, out)
    waits = HdrHistogram(1, 60_000_000, 3)
    other, began, cpu = Sqlite(theirs), time.perf_counter(), time.process_time()
    other.submissions(keys, key, waits)
    took, cpu = time.perf_counter() - began, time.process_time() - cpu
    tell("sqlite3", keys, took, cpu, waits, theirs, out)
    other.db.close()
    # Starts: from the log alone, from a snapshot, and what sqlite3 needs to answer its first question.
    kept.close(10.0)
    (ours / "snapshot").unlink(missing_ok=True)
    open_it = f"kept = storebench.open_kept({str(ours)!r}, {keys}, InlineWorker())"
    check = f"assert kept.look_up(kept.key_digest('book', storebench.mark({keys})), 0.0).outcome == 'answer'"
    took, memory = child(f"{open_it}\n{check}")
    print(
        f"start from the log: seconds={took:.3f} bytes_a_key={memory / keys:.0f}",
        file=out,
        flush=True,
    )
    kept = open_kept(ours, keys)
    kept.finish(SnapshotJob(kept))
    kept.close(10.0)
    took, memory = child(f"{open_it}\n{check}")
    print(
        f"start from a snapshot: seconds={took:.3f} bytes_a_key={memory / keys:.0f} "
        f"index_bytes_a_key={kept.index.memory_bytes() / keys:.0f}",
        file=out,
        flush=True,
    )
    took, memory = child(
        f"db = storebench.Sqlite({str(theirs)!r})\n"
        "assert db.db.execute('select count(*) from kept').fetchone()"
    )
    print(f"start of sqlite3: seconds={took:.3f} memory_mb={memory / 1e6:.1f}", file=out, flush=True)
    structures(min(keys, 1_000_000), out)
    return 0
