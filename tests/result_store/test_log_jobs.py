"""Snapshots and compaction of the log."""

from memory_disk import Machine, events, filled, log_files, same_answers

from valeturn.result_store import snapshot
from valeturn.result_store.log_jobs import CompactionJob


def test_start_from_snapshot_reads_only_records_after_it():
    machine = filled()
    machine.run_maintenance(40)
    assert machine.counts["store.snapshots"] >= 1 and "snapshot" in machine.files.names()
    machine.complete("after", 100, b"it")
    machine.kill()
    store = machine.start()
    assert (
        store.recovered.record_count < 60
        and same_answers(machine)
        and machine.ask("after") == ("answer", b"it")
    )


def test_log_replaces_old_and_damaged_snapshots():
    machine = filled()
    machine.run_maintenance(40)
    old = bytes(machine.disk.data[machine.disk.current_names["snapshot"]])
    for number in range(61, 121):
        machine.complete(f"k{number}", number, b"body %d" % number)
    machine.run_maintenance(40)
    for snapshot_bytes in (old, old[: len(old) // 2], b"", bytes(len(old))):
        machine.kill()
        machine.disk.data[machine.disk.current_names["snapshot"]][:] = snapshot_bytes
        machine.start()
        assert same_answers(machine, 120) and "store_damage_found" not in events(machine)
        assert ("store_snapshot_rejected" in events(machine)) == (snapshot_bytes != old)


def test_snapshot_newer_than_its_log_is_damage():
    machine = filled()
    machine.run_maintenance(40)
    machine.kill()
    place = max(name for name in machine.disk.current_names if name.endswith(".log"))
    del machine.disk.data[machine.disk.current_names[place]][20:]
    machine.start()
    assert "store_snapshot_ahead_of_log" in events(machine) and machine.begin("new", 200) == "refused"


def test_snapshot_with_missing_shard_is_rejected():
    machine = filled()
    machine.run_maintenance(40)
    machine.kill()
    data = machine.disk.data[machine.disk.current_names["snapshot"]]
    offset = len(snapshot.SNAPSHOT_MAGIC)
    offset += snapshot.HEAD_HEADER.size + snapshot.HEAD_HEADER.unpack_from(data, offset)[0]
    _, length, _ = snapshot.SHARD_HEADER.unpack_from(data, offset)
    del data[offset : offset + snapshot.SHARD_HEADER.size + length]
    machine.start()
    assert "store_snapshot_rejected" in events(machine) and same_answers(machine)


def test_expired_segments_are_dropped_with_their_keys():
    machine = filled(window=10.0)
    machine.pass_time(20)
    machine.run_maintenance(100)
    assert machine.store.index.count == 0 and machine.counts["store.keys_expired"] == 60
    assert len(log_files(machine)) <= 2 and machine.counts["store.segments_dropped"] >= 1
    machine.kill()
    machine.start()
    assert machine.ask("k1")[0] == "execute" and "store_damage_found" not in events(machine)


def test_compaction_killed_at_any_step_loses_no_entry_in_its_window():
    """Kills the process before each disk operation in turn, until a run completes."""

    class Killed(BaseException):
        pass

    for point in range(200):
        machine = Machine()
        machine.limits = machine.limits._replace(segment=3000)
        machine.start()
        for number in range(1, 61):
            machine.complete(f"k{number}", number, b"body %d" % number, 30.0 if number % 3 else 2.0)
        machine.pass_time(8.0)  # a third of the windows have ended
        operations_left = [point]

        def before(what, file, operations_left=operations_left):
            if what != "read":
                operations_left[0] -= 1
                if operations_left[0] < 0:
                    raise Killed

        machine.store.maintain()
        machine.files.before = before
        completed = False
        try:
            machine.store.compact_all()
            machine.run_maintenance(30)
            completed = True
        except Killed:
            pass
        machine.kill()
        machine.start()
        assert "store_damage_found" not in events(machine), point
        for number in range(1, 61):
            expected = ("answer", b"body %d" % number) if number % 3 else ("execute", None)
            assert machine.ask(f"k{number}") == expected, (point, number)
        if completed:
            assert point > 10
            return
    raise AssertionError("no run completed")


def test_compacted_segment_stays_until_its_copies_are_durable():
    machine = filled()
    machine.run_maintenance(40)
    number = min(machine.store.recovered.segments)
    worker = machine.store.worker
    machine.store.job = job = CompactionJob(machine.store, number)
    machine.store.collect()
    worker.paused = True  # the disk hangs while the copies are being written
    for _ in range(50):
        machine.store.maintain()
        machine.store.collect()
    assert job.copied and machine.store.job is job and number in machine.store.recovered.segments
    machine.disk.crash()
    machine.start()
    assert same_answers(machine) and "store_damage_found" not in events(machine)
