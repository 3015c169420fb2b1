"""A disk in memory that fails and crashes as a test requires, and a machine that runs a store on it."""

import errno
import random

from valeturn.result_store import limits, window_clock
from valeturn.result_store.environment import StoreEnvironment, StoreSettings
from valeturn.result_store.store import ResultStore
from valeturn.transport.worker_thread import InlineWorker


class MemoryDisk:
    """The content of a disk, which survives a process.

    `names` are the durable entries of the directory and `current_names` the current ones; `data` and `synced`
    hold each file's bytes and the number of durable ones, by an id that a rename keeps.
    """

    def __init__(self):
        self.names, self.current_names, self.data, self.synced = {}, {}, {}, {}
        self.unsynced_changes, self.last_id, self.locked, self.log = [], 0, False, []

    def crash(self, random_source=None):
        """Kill the process or, with a random source, cut the machine's power.

        After a power cut, unsynced changes are lost in part: the first few changes of the directory remain,
        and a part of each file's bytes, some of them changed.
        """
        self.locked = False
        if random_source is None:
            self.names, self.unsynced_changes = dict(self.current_names), []
            self.synced = {key: len(data) for key, data in self.data.items()}
            return
        for change in self.unsynced_changes[: random_source.randrange(len(self.unsynced_changes) + 1)]:
            change(self.names)
        self.unsynced_changes, self.current_names = [], dict(self.names)
        for key, data in self.data.items():
            unsynced = len(data) - self.synced[key]
            del data[self.synced[key] + random_source.randrange(unsynced + 1) :]
            if unsynced and len(data) > self.synced[key] and random_source.random() < 0.3:
                data[random_source.randrange(self.synced[key], len(data))] ^= 0x55
            self.synced[key] = len(data)


class FailingDirectory:
    """A StoreDirectory on a MemoryDisk.

    `fail` maps the name of an operation to how many more of it fail and with which errno. A descriptor whose
    sync failed must never be used again."""

    def __init__(self, disk):
        self.disk, self.open, self.failed_files, self.fail, self.counts = disk, {}, set(), {}, {}
        self.before = lambda what, file: None  # called before each operation that changes something

    def count_or_fail(self, what, file=""):
        self.before(what, file)
        self.counts[what] = self.counts.get(what, 0) + 1
        remaining, error_number = self.fail.get(what, (0, 0))
        if remaining:
            self.fail[what] = remaining - 1, error_number
            raise OSError(error_number, f"{what} fails as the test wants it")

    def prepare(self):
        if self.disk.locked:
            return False
        self.disk.locked = True
        return True

    def release(self):
        self.disk.locked = False

    def names(self):
        return sorted(self.disk.current_names)

    def find(self, file):
        if file not in self.disk.current_names:
            raise FileNotFoundError(errno.ENOENT, file)
        return self.disk.data[self.disk.current_names[file]]

    def size(self, file):
        return len(self.find(file))

    def read(self, file, most=None):
        self.count_or_fail("read", file)
        return bytes(self.find(file)[:most])

    def read_at(self, file, offset, size):
        self.count_or_fail("read", file)
        return bytes(self.find(file)[offset : offset + size])

    def change(self, change):
        change(self.disk.current_names)
        self.disk.unsynced_changes.append(change)

    def create(self, file):
        self.count_or_fail("create", file)
        assert file not in self.disk.current_names, "the file exists already"
        self.disk.last_id += 1
        key = self.disk.last_id
        self.disk.data[key], self.disk.synced[key] = bytearray(), 0
        self.change(lambda names: names.__setitem__(file, key))
        self.open[file] = key

    def write(self, file, data):
        if file not in self.open:
            raise OSError(errno.EBADF, file)
        assert self.open[file] not in self.failed_files, "written to a descriptor whose sync failed"
        try:
            self.count_or_fail("write", file)
        except OSError:
            self.failed_files.add(self.open[file])
            self.disk.data[self.open[file]] += data[: len(data) // 2]
            raise
        self.disk.data[self.open[file]] += data

    def sync(self, file):
        if file not in self.open:
            raise OSError(errno.EBADF, file)
        key = self.open[file]
        assert key not in self.failed_files, "synced a descriptor whose sync failed"
        try:
            self.count_or_fail("sync", file)
        except OSError:
            self.failed_files.add(key)
            raise
        self.disk.synced[key] = len(self.disk.data[key])

    def close(self, file):
        self.open.pop(file, None)

    def rename(self, file, new):
        self.count_or_fail("rename", file)
        key = self.disk.current_names[file]

        def change(names):
            names.pop(file, None)
            names[new] = key

        self.change(change)

    def remove(self, file):
        self.count_or_fail("remove", file)
        self.change(lambda names: names.pop(file, None))

    def sync_folder(self):
        self.count_or_fail("sync_folder")
        self.disk.names, self.disk.unsynced_changes = dict(self.disk.current_names), []


class Machine:
    """A machine with clocks that the test advances, and a store that can be restarted on its disk."""

    def __init__(self, disk=1_000_000, memory=2_000_000, segment=65_536, longest=30.0):
        self.disk, self.wall, self.boot, self.boot_id = MemoryDisk(), 1_800_000_000.0, 1000.0, "first"
        self.limits, self.longest = limits.derive_limits(disk, memory, segment), longest
        self.counts, self.logged, self.retry = {}, [], 1.0
        self.store = self.files = None

    def pass_time(self, seconds):
        self.wall, self.boot = self.wall + seconds, self.boot + seconds

    def read_clocks(self):
        return window_clock.ClockReading(self.wall, self.boot, self.boot_id)

    def count(self, name, amount=1):
        self.counts[name] = self.counts.get(name, 0) + amount

    def start(self, held=False):
        """Open the store as a starting server does."""
        self.files = FailingDirectory(self.disk)
        assert self.files.prepare()
        self.logged = []
        environment = StoreEnvironment(
            self.files,
            InlineWorker(held),
            self.read_clocks,
            self.count,
            lambda event, fields=None, fault=None: self.logged.append((event, fields)),
        )
        self.store = ResultStore(environment, StoreSettings(self.limits, self.retry, self.longest))
        if not held:
            self.store.collect()
        return self.store

    def kill(self):
        self.disk.crash()

    def lose_power(self, random_source, down=5.0):
        self.disk.crash(random_source)
        self.wall, self.boot, self.boot_id = self.wall + down, 1.0, f"boot {random_source.random()}"

    # Sequences of store calls that a server makes.

    def begin(self, key, number, window=30.0):
        """Return the outcome of a new request's look-up, `refused`, or `started` once durable."""
        digest = self.store.key_digest("book", key)
        lookup = self.store.look_up(digest, 0.0)
        if lookup.outcome != "execute":
            return lookup.outcome
        if self.store.retry_after():
            return "refused"
        self.store.log_intent(number, digest, window, number.to_bytes(8, "big"), "book")
        self.store.flush()
        reported = self.store.collect()
        return "started" if ("intent_durable", number, None) in reported else "refused"

    def finish(self, key, number, entry_input, body=None):
        self.store.end_execution(number, self.store.key_digest("book", key), entry_input, body)
        self.store.flush()
        return self.store.collect()

    def ask(self, key):
        """Return the outcome of a duplicate's look-up, and the result where there is one."""
        lookup = self.store.look_up(self.store.key_digest("book", key), 0.0)
        if lookup.outcome != "answer":
            return lookup.outcome, None
        body = self.store.fetch_result(99, lookup)
        if body is None:
            reads = [event for event in self.store.collect() if event[0] == "result_read"]
            body = reads[0][2] if reads else None
        return "answer", body

    def run_maintenance(self, sweeps=200, seconds=0.1):
        for _ in range(sweeps):
            self.pass_time(seconds)
            self.store.maintain()
            self.store.collect()

    def complete(self, key, number, body=b"r", window=30.0):
        assert self.begin(key, number, window) == "started", (key, number)
        self.finish(key, number, 3, body)


def seeded(*what):
    return random.Random(repr(what))


def log_files(machine):
    return {
        name: machine.disk.data[key]
        for name, key in machine.disk.current_names.items()
        if name.endswith(".log")
    }


def events(machine):
    return [event for event, _ in machine.logged]


def key_of(machine):
    return machine.disk.data[machine.disk.current_names["key"]]


def filled(count=60, window=30.0, segment=3000):
    machine = Machine()
    machine.limits = machine.limits._replace(segment=segment)
    machine.start()
    for number in range(1, count + 1):
        machine.complete(f"k{number}", number, b"body %d" % number, window)
    return machine


def same_answers(machine, count=60):
    return all(machine.ask(f"k{n}") == ("answer", b"body %d" % n) for n in range(1, count + 1))
