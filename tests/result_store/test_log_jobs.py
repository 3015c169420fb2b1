"""Snapshots and compaction of the log."""

from memory_disk import Machine, events, filled, log_files, same_answers

from valeturn.result_store import snapshot
from valeturn.result_store.log_jobs import CompactionJob


def test_start_from_snapshot_reads_only_records_behind_it():
    machine = filled()
    machine.tend(40)
    assert machine.counts["store.snapshots"] >= 1 and "snapshot" in machine.files.names()
    machine.complete("after", 100, b"it")
    machine.kill()
    store = machine.start()
    assert (
        store.recovered.record_count < 60
        and same_answers(machine)
        and machine.ask("after") == ("answer", b"it")
    )


def test_old_and_damaged_snapshots_are_made_up_for_by_the_log():
    machine = filled()
    machine.tend(40)
    old = bytes(machine.disk.data[machine.disk.now_names["snapshot"]])
    for number in range(61, 121):
        machine.complete(f"k{number}", number, b"body %d" % number)
    machine.tend(40)
    for spoilt in (old, old[: len(old) // 2], b"", bytes(len(old))):
        machine.kill()
        machine.disk.data[machine.disk.now_names["snapshot"]][:] = spoilt
        machine.start()
        assert same_answers(machine, 120) and "store_damage_found" not in events(machine)
        assert ("store_snapshot_rejected" in events(machine)) == (spoilt != old)


def test_snapshot_newer_than_its_log_is_damage():
    machine = filled()
    machine.tend(40)
    machine.kill()
    place = max(name for name in machine.disk.now_names if name.endswith(".log"))
    del machine.disk.data[machine.disk.now_names[place]][20:]
    machine.start()
    assert "store_snapshot_ahead_of_log" in events(machine) and machine.begin("new", 200) == "refused"


def test_snapshot_with_missing_shard_is_rejected():
    machine = filled()
    machine.tend(40)
    machine.kill()
    data = machine.disk.data[machine.disk.now_names["snapshot"]]
    at = len(snapshot.SNAPSHOT_MAGIC)
    at += snapshot.HEAD_HEADER.size + snapshot.HEAD_HEADER.unpack_from(data, at)[0]
    _, length, _ = snapshot.SHARD_HEADER.unpack_from(data, at)
    del data[at : at + snapshot.SHARD_HEADER.size + length]
    machine.start()
    assert "store_snapshot_rejected" in events(machine) and same_answers(machine)


def test_expired_segments_are_dropped_with_their_keys():
    machine = filled(window=10.0)
    machine.pass_time(20)
    machine.tend(100)
    assert machine.store.index.count == 0 and machine.counts["store.keys_expired"] == 60
    assert len(log_files(machine)) <= 2 and machine.counts["store.segments_dropped"] >= 1
    machine.kill()
    machine.start()
    assert machine.ask("k1")[0] == "execute" and "store_damage_found" not in events(machine)


def test_compaction_killed_at_any_step_loses_no_entry_in_its_window():
    """Killed before each operation on the disk, one after another, until a run comes through whole."""

    class Killed(BaseException):
        pass

    for point in range(200):
        machine = Machine()
        machine.limits = machine.limits._replace(segment=3000)
        machine.start()
        for number in range(1, 61):
            machine.complete(f"k{number}", number, b"body %d" % number, 30.0 if number % 3 else 2.0)
        machine.pass_time(8.0)  # a third is over
        left = [point]

        def before(what, file, left=left):
            if what != "read":
                left[0] -= 1
                if left[0] < 0:
                    raise Killed

        machine.store.maintain()
        machine.files.before = before
        whole = False
        try:
            machine.store.compact_all()
            machine.tend(30)
            whole = True
        except Killed:
            pass
        machine.kill()
        machine.start()
        assert "store_damage_found" not in events(machine), point
        for number in range(1, 61):
            expected = ("answer", b"body %d" % number) if number % 3 else ("execute", None)
            assert machine.ask(f"k{number}") == expected, (point, number)
        if whole:
            assert point > 10
            return
    raise AssertionError("never came through")


def test_compacted_segment_stays_until_its_copies_are_durable():
    machine = filled()
    machine.tend(40)
    number = min(machine.store.recovered.segments)
    held = machine.store.worker
    machine.store.job = job = CompactionJob(machine.store, number)
    machine.store.collect()
    held.paused = True  # a disk that hangs with the copies on their way
    for _ in range(50):
        machine.store.maintain()
        machine.store.collect()
    assert job.copied and machine.store.job is job and number in machine.store.recovered.segments
    machine.disk.crash()
    machine.start()
    assert same_answers(machine) and "store_damage_found" not in events(machine)
