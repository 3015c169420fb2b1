"""A disk in memory, which fails and crashes as a test wants, and a store on it."""

import errno
import random

from valeturn.result_store import limits, window_clock
from valeturn.result_store.environment import StoreEnvironment, StoreSettings
from valeturn.result_store.store import ResultStore
from valeturn.transport.worker_thread import InlineWorker


class MemoryDisk:
    """What outlives a process.

    `names` are the durable entries of the directory and `now_names` the current ones; `data` and `synced`
    hold the files' bytes and how many of them are durable, by an id that a rename keeps.
    """

    def __init__(self):
        self.names, self.now_names, self.data, self.synced = {}, {}, {}, {}
        self.ops, self.next, self.locked, self.log = [], 0, False, []

    def crash(self, random_source=None):
        """Kill the process or, with a random source, cut the machine's power.

        What was not synced then stays in part: the first few changes of the directory, and a part of each
        file's bytes, some of them changed.
        """
        self.locked = False
        if random_source is None:
            self.names, self.ops = dict(self.now_names), []
            self.synced = {key: len(data) for key, data in self.data.items()}
            return
        for change in self.ops[: random_source.randrange(len(self.ops) + 1)]:
            change(self.names)
        self.ops, self.now_names = [], dict(self.names)
        for key, data in self.data.items():
            rest = len(data) - self.synced[key]
            del data[self.synced[key] + random_source.randrange(rest + 1) :]
            if rest and len(data) > self.synced[key] and random_source.random() < 0.3:
                data[random_source.randrange(self.synced[key], len(data))] ^= 0x55
            self.synced[key] = len(data)


class FailingDirectory:
    """A StoreDirectory on a Disk. fail: name of an operation -> how many more of it fail, with
    which error; a descriptor whose sync failed must never be used again."""

    def __init__(self, disk):
        self.disk, self.open, self.bad, self.fail, self.counts = disk, {}, set(), {}, {}
        self.before = lambda what, file: None  # called before each operation that changes something

    def meet(self, what, file=""):
        self.before(what, file)
        self.counts[what] = self.counts.get(what, 0) + 1
        left, code = self.fail.get(what, (0, 0))
        if left:
            self.fail[what] = left - 1, code
            raise OSError(code, f"{what} fails as the test wants it")

    def prepare(self):
        if self.disk.locked:
            return False
        self.disk.locked = True
        return True

    def release(self):
        self.disk.locked = False

    def names(self):
        return sorted(self.disk.now_names)

    def find(self, file):
        if file not in self.disk.now_names:
            raise FileNotFoundError(errno.ENOENT, file)
        return self.disk.data[self.disk.now_names[file]]

    def size(self, file):
        return len(self.find(file))

    def read(self, file, most=None):
        self.meet("read", file)
        return bytes(self.find(file)[:most])

    def read_at(self, file, offset, size):
        self.meet("read", file)
        return bytes(self.find(file)[offset : offset + size])

    def change(self, change):
        change(self.disk.now_names)
        self.disk.ops.append(change)

    def create(self, file):
        self.meet("create", file)
        assert file not in self.disk.now_names, "made over another"
        self.disk.next += 1
        key = self.disk.next
        self.disk.data[key], self.disk.synced[key] = bytearray(), 0
        self.change(lambda names: names.__setitem__(file, key))
        self.open[file] = key

    def write(self, file, data):
        if file not in self.open:
            raise OSError(errno.EBADF, file)
        assert self.open[file] not in self.bad, "written to a descriptor whose sync failed"
        try:
            self.meet("write", file)
        except OSError:
            self.bad.add(self.open[file])
            self.disk.data[self.open[file]] += data[: len(data) // 2]
            raise
        self.disk.data[self.open[file]] += data

    def sync(self, file):
        if file not in self.open:
            raise OSError(errno.EBADF, file)
        key = self.open[file]
        assert key not in self.bad, "synced a descriptor whose sync failed"
        try:
            self.meet("sync", file)
        except OSError:
            self.bad.add(key)
            raise
        self.disk.synced[key] = len(self.disk.data[key])

    def close(self, file):
        self.open.pop(file, None)

    def rename(self, file, new):
        self.meet("rename", file)
        key = self.disk.now_names[file]

        def change(names):
            names.pop(file, None)
            names[new] = key

        self.change(change)

    def remove(self, file):
        self.meet("remove", file)
        self.change(lambda names: names.pop(file, None))

    def sync_folder(self):
        self.meet("sync_folder")
        self.disk.names, self.disk.ops = dict(self.disk.now_names), []


class Machine:
    """Clocks that a test moves, and starts of a store on one disk."""

    def __init__(self, disk=1_000_000, memory=2_000_000, segment=65_536, longest=30.0):
        self.disk, self.wall, self.boot, self.boot_id = MemoryDisk(), 1_800_000_000.0, 1000.0, "first"
        self.limits, self.longest = limits.derive_limits(disk, memory, segment), longest
        self.counts, self.logged, self.retry = {}, [], 1.0
        self.store = self.files = None

    def pass_time(self, seconds):
        self.wall, self.boot = self.wall + seconds, self.boot + seconds

    def moment(self):
        return window_clock.ClockReading(self.wall, self.boot, self.boot_id)

    def count(self, name, amount=1):
        self.counts[name] = self.counts.get(name, 0) + amount

    def start(self, held=False):
        """Open a store as a server that starts does."""
        self.files = FailingDirectory(self.disk)
        assert self.files.prepare()
        self.logged = []
        environment = StoreEnvironment(
            self.files,
            InlineWorker(held),
            self.moment,
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

    # What a server does with the store, in one call.

    def begin(self, key, number, window=30.0):
        """Return the outcome of a new request's look-up, `refused`, or `started` once durable."""
        digest = self.store.key_digest("book", key)
        meets = self.store.look_up(digest, 0.0)
        if meets.outcome != "execute":
            return meets.outcome
        if self.store.retry_after():
            return "refused"
        self.store.log_intent(number, digest, window, number.to_bytes(8, "big"), "book")
        self.store.flush()
        news = self.store.collect()
        return "started" if ("intent_durable", number, None) in news else "refused"

    def finish(self, key, number, given, body=None):
        self.store.end_execution(number, self.store.key_digest("book", key), given, body)
        self.store.flush()
        return self.store.collect()

    def ask(self, key):
        """Return the outcome of a duplicate's look-up, and the result where there is one."""
        meets = self.store.look_up(self.store.key_digest("book", key), 0.0)
        if meets.outcome != "answer":
            return meets.outcome, None
        body = self.store.fetch_result(99, meets)
        if body is None:
            news = [news for news in self.store.collect() if news[0] == "result_read"]
            body = news[0][2] if news else None
        return "answer", body

    def tend(self, sweeps=200, seconds=0.1):
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
        name: machine.disk.data[key] for name, key in machine.disk.now_names.items() if name.endswith(".log")
    }


def events(machine):
    return [event for event, _ in machine.logged]


def key_of(machine):
    return machine.disk.data[machine.disk.now_names["key"]]


def filled(count=60, window=30.0, segment=3000):
    machine = Machine()
    machine.limits = machine.limits._replace(segment=segment)
    machine.start()
    for number in range(1, count + 1):
        machine.complete(f"k{number}", number, b"body %d" % number, window)
    return machine


def same_answers(machine, count=60):
    return all(machine.ask(f"k{n}") == ("answer", b"body %d" % n) for n in range(1, count + 1))
