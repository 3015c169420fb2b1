"""`lab store`: compare the result store with sqlite3 (WAL, synchronous=FULL) in one run, and the store's own
data structures with plain ones.

The work is that of the store: for each submission an intent that must be durable before its run, then a
result of 256 bytes. A hundred submissions are in progress at a time, and what arrives during a write shares
the next one. Both are given the same batches.
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

CONCURRENT_SUBMISSIONS = 100  # in progress at a time
RESULT = bytes(range(256))
MEASURED_SUBMISSIONS = 20_000  # whose waits are measured; later ones only add keys


def key_name(number):
    """Return the key of a submission."""
    return f"parcel-{number:08d}"


def open_store(folder, keys, worker=None):
    """Open a result store with room for this many keys; exit when another process has the folder."""
    directory, boot_id = StoreDirectory(str(folder)), window_clock.read_boot_id()
    if not directory.prepare():
        raise SystemExit(f"valeturn: {folder}: another process has it")
    store_limits = limits.derive_limits(2 * keys * 600 + 100_000_000, max(8_000_000, 150 * keys), 4_000_000)
    environment = StoreEnvironment(
        directory,
        worker or WorkerThread(),
        lambda: window_clock.read_clocks(boot_id),
        lambda *_: None,
        lambda *_: None,
    )
    return ResultStore(environment, StoreSettings(store_limits, 1.0, 86400.0))


def run_submissions(store, keys, wait_histogram):
    """Run this many submissions through the store: log the intent, sync it, log the result.

    The time until each intent is durable is recorded in the histogram, in microseconds.
    """
    in_progress, started, ended = {}, 0, 0
    while ended < keys:
        while len(in_progress) < CONCURRENT_SUBMISSIONS and started < keys:
            started += 1
            digest = store.key_digest("book", key_name(started))
            if store.look_up(digest, 0.0).outcome != "execute" or store.retry_after():
                raise SystemExit(f"valeturn: no room for key {started}")
            in_progress[started] = digest, time.perf_counter()
            store.log_intent(started, digest, 86400.0, started.to_bytes(8, "big"), "book")
        store.flush()
        store.worker.wakeup_socket.recv(65536)
        for kind, number, _ in store.collect():
            if kind != "intent_durable":
                raise SystemExit("valeturn: the disk failed")
            digest, began = in_progress.pop(number)
            wait_histogram.record_value(max(1, int(1e6 * (time.perf_counter() - began))))
            store.end_execution(number, digest, entry_states.SUCCEEDED, RESULT)
            ended += 1
    store.flush()
    while store.pending or store.in_flight:
        store.worker.wakeup_socket.recv(65536)
        store.collect()
        store.flush()


class SqliteStore:
    """The same work in one sqlite3 table: the intent is a row, which the result completes."""

    def __init__(self, folder):
        self.database = sqlite3.connect(os.path.join(folder, "kept.db"), isolation_level=None)
        self.database.execute("pragma journal_mode=WAL")
        self.database.execute("pragma synchronous=FULL")
        self.database.execute(
            "create table if not exists kept(digest blob primary key, until integer, state integer,"
            " call blob, workload text, result blob) without rowid"
        )
        self.database.execute("create index if not exists ends on kept(until)")

    def run_submissions(self, keys, digest, wait_histogram):
        """Run this many submissions; a transaction has a batch of intents and the last batch's results."""
        started, ended, results = 0, 0, []
        while ended < keys:
            began, batch = time.perf_counter(), []
            while len(batch) < CONCURRENT_SUBMISSIONS and started < keys:
                started += 1
                key_digest = digest("book", key_name(started))
                if (
                    self.database.execute("select state from kept where digest=?", (key_digest,)).fetchone()
                    is not None
                ):
                    raise SystemExit("valeturn: a key is there already")
                batch.append((key_digest, 1 << 31, 1, started.to_bytes(8, "big"), "book", None))
            self.database.execute("begin")
            self.database.executemany("update kept set state=2, result=? where digest=?", results)
            self.database.executemany("insert into kept values(?,?,?,?,?,?)", batch)
            self.database.execute("commit")
            results = [(RESULT, row[0]) for row in batch]
            for _ in batch:
                wait_histogram.record_value(max(1, int(1e6 * (time.perf_counter() - began))))
            ended += len(batch)
        self.database.execute("begin")
        self.database.executemany("update kept set state=2, result=? where digest=?", results)
        self.database.execute("commit")


def size_of(folder):
    """Return the size of the folder's files in bytes."""
    return sum(file.stat().st_size for file in pathlib.Path(folder).iterdir())


def percentile_ms(histogram, percentile):
    """Return a percentile of a histogram of microseconds, in milliseconds."""
    return histogram.get_value_at_percentile(percentile) / 1000


# Measures the time and the memory of a start in a process of its own.
CHILD_PROGRAM = """
import sys, time
sys.path.insert(0, {root!r})
from valeturn.lab import storebench
from valeturn.transport.worker_thread import InlineWorker
before, began = storebench.resident_bytes(), time.perf_counter()
{statements}
print(time.perf_counter() - began, storebench.resident_bytes() - before)
"""


def resident_bytes():
    """Return the resident memory of this process in bytes."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def run_child(statements):
    """Run statements in a new process; return their duration in seconds and their memory in bytes."""
    program = CHILD_PROGRAM.format(
        root=str(pathlib.Path(__file__).resolve().parents[2]), statements=statements
    )
    completed = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, check=True)
    return tuple(float(word) for word in completed.stdout.split())


def measure_structures(keys, out):
    """Print the figures of the index and of a dict, and of the timing wheel and of a heap."""
    digests = [os.urandom(16) for _ in range(keys)]
    entries = {}
    began, longest_s, last = time.perf_counter(), 0.0, time.perf_counter()
    for digest in digests:
        entries[digest] = (1, 2, 3, 4, 5)
        now = time.perf_counter()
        longest_s, last = max(longest_s, now - last), now
    duration_s = time.perf_counter() - began
    bytes_per_key = (sys.getsizeof(entries) + keys * (sys.getsizeof(digests[0]) + 96)) / keys
    print(
        f"index dict: put_us={1e6 * duration_s / keys:.2f} longest_ms={1e3 * longest_s:.2f} "
        f"bytes_a_key={bytes_per_key:.0f}",
        file=out,
    )
    index = Index()
    began, longest_s, last = time.perf_counter(), 0.0, time.perf_counter()
    for digest in digests:
        index.put(digest, 1, 2, 3, 4, entry_states.STORED)
        now = time.perf_counter()
        longest_s, last = max(longest_s, now - last), now
    duration_s = time.perf_counter() - began
    began = time.perf_counter()
    found = sum(index.get(digest) is not None for digest in digests[:50_000])
    get_s = (time.perf_counter() - began) / found
    print(
        f"index ours: put_us={1e6 * duration_s / keys:.2f} longest_ms={1e3 * longest_s:.2f} "
        f"bytes_a_key={index.memory_bytes() / keys:.0f} get_us={1e6 * get_s:.2f}",
        file=out,
    )
    del entries, index
    for name, make in (("heap", Heap), ("wheel", TimingWheel)):
        expirations, began = make(0), time.perf_counter()
        for number, digest in enumerate(digests):
            expirations.add(digest, 600 + number * 7919 % 3600)
        adding_s = time.perf_counter() - began
        began, expired = time.perf_counter(), 0
        for now in range(600, 4300):
            expired += len(expirations.pop_due(now, 1 << 30))
        duration_s = time.perf_counter() - began
        print(
            f"expiry {name}: add_us={1e6 * adding_s / keys:.2f} due_us={1e6 * duration_s / expired:.2f} "
            f"bytes_a_key={make.BYTES_PER_KEY}",
            file=out,
        )


class Heap:
    """Expirations as (second, digest) in a binary heap, with the interface of the timing wheel."""

    BYTES_PER_KEY = 8 + 56  # a slot and a tuple; digest and number are counted with the index

    def __init__(self, now):
        self.heap = []

    def add(self, digest, second):
        """Add an expiration."""
        heapq.heappush(self.heap, (second, digest))

    def pop_due(self, now, limit):
        """Remove and return up to `limit` digests that are due."""
        due = []
        while self.heap and self.heap[0][0] <= now and len(due) < limit:
            due.append(heapq.heappop(self.heap)[1])
        return due


TimingWheel.BYTES_PER_KEY = 24


def main(keys, folder, out):
    """Measure in the given folder, or in a temporary one that is removed."""
    base = pathlib.Path(folder) if folder else pathlib.Path(tempfile.mkdtemp(prefix="valeturn-lab-"))
    try:
        return measure(keys, base, out)
    finally:
        if folder is None:
            shutil.rmtree(base, ignore_errors=True)


def print_figures(name, keys, duration_s, cpu_s, wait_histogram, folder, out):
    """Print one store's throughput, CPU time, waits and disk use."""
    print(
        f"{name}: durable_a_second={keys / duration_s:.0f} cpu_us={1e6 * cpu_s / keys:.1f} "
        f"wait_p50_ms={percentile_ms(wait_histogram, 50):.2f} "
        f"wait_p99_ms={percentile_ms(wait_histogram, 99):.2f} "
        f"wait_most_ms={percentile_ms(wait_histogram, 100):.2f} "
        f"disk_mb={size_of(folder) / 1e6:.1f}",
        file=out,
        flush=True,
    )


def measure(keys, base, out):
    """Run the comparison with this many keys and print its figures."""
    store_folder, sqlite_folder = base / "kept", base / "sqlite"
    for directory_path in (store_folder, sqlite_folder):
        directory_path.mkdir(parents=True)
    wait_histogram = HdrHistogram(1, 60_000_000, 3)
    store = open_store(store_folder, keys)
    key_digest, began, cpu_s = store.key_digest, time.perf_counter(), time.process_time()
    run_submissions(store, keys, wait_histogram)
    duration_s, cpu_s = time.perf_counter() - began, time.process_time() - cpu_s
    print_figures("store", keys, duration_s, cpu_s, wait_histogram, store_folder, out)
    wait_histogram = HdrHistogram(1, 60_000_000, 3)
    sqlite_store, began, cpu_s = SqliteStore(sqlite_folder), time.perf_counter(), time.process_time()
    sqlite_store.run_submissions(keys, key_digest, wait_histogram)
    duration_s, cpu_s = time.perf_counter() - began, time.process_time() - cpu_s
    print_figures("sqlite3", keys, duration_s, cpu_s, wait_histogram, sqlite_folder, out)
    sqlite_store.database.close()
    # Starts: from the log alone, from a snapshot, and of sqlite3 up to its first answer.
    store.close(10.0)
    (store_folder / "snapshot").unlink(missing_ok=True)
    open_statement = f"store = storebench.open_store({str(store_folder)!r}, {keys}, InlineWorker())"
    check_statement = (
        f"assert store.look_up(store.key_digest('book', storebench.key_name({keys})), 0.0)"
        ".outcome == 'answer'"
    )
    duration_s, memory = run_child(f"{open_statement}\n{check_statement}")
    print(
        f"start from the log: seconds={duration_s:.3f} bytes_a_key={memory / keys:.0f}",
        file=out,
        flush=True,
    )
    store = open_store(store_folder, keys)
    store.finish(SnapshotJob(store))
    store.close(10.0)
    duration_s, memory = run_child(f"{open_statement}\n{check_statement}")
    print(
        f"start from a snapshot: seconds={duration_s:.3f} bytes_a_key={memory / keys:.0f} "
        f"index_bytes_a_key={store.index.memory_bytes() / keys:.0f}",
        file=out,
        flush=True,
    )
    duration_s, memory = run_child(
        f"store = storebench.SqliteStore({str(sqlite_folder)!r})\n"
        "assert store.database.execute('select count(*) from kept').fetchone()"
    )
    print(f"start of sqlite3: seconds={duration_s:.3f} memory_mb={memory / 1e6:.1f}", file=out, flush=True)
    measure_structures(min(keys, 1_000_000), out)
    return 0
