"""Recovery of logs that are torn, damaged, incomplete or from other versions."""

import pytest
from memory_disk import Machine, events, filled, key_of, log_files, seeded

from valeturn.result_store import records
from valeturn.result_store.errors import StoreRefusedError


def test_log_cut_at_any_byte_of_last_frame_loses_only_that_frame(machine):
    machine.start()
    machine.complete("first", 1, b"one")
    ((name, data),) = log_files(machine).items()
    whole = len(data)
    machine.begin("second", 2)
    full = bytes(data)
    for cut in range(whole, len(full)):
        other = Machine()
        other.disk.data, other.disk.current_names = (
            {1: bytearray(full[:cut]), 2: bytearray(key_of(machine))},
            {name: 1, "key": 2},
        )
        other.disk.synced = {1: cut, 2: 32}
        other.disk.last_id = 2
        other.start()
        assert other.ask("first") == ("answer", b"one") and other.ask("second")[0] == "execute", cut
        assert ("store_torn_tail_cut" in events(other)) == (
            cut > whole
        ) and "store_damage_found" not in events(other)
        other.complete("second", 3, b"two")
        other.kill()
        other.start()
        assert other.ask("second") == ("answer", b"two") and "store_damage_found" not in events(other)


def test_directory_in_use_or_too_new_or_without_key_is_refused_unchanged(machine):
    machine.start()
    machine.complete("a", 1)
    assert not type(machine.files)(machine.disk).prepare(), "a directory is used by one server offset a time"
    machine.kill()
    ((name, data),) = log_files(machine).items()
    for defect in ("version", "snapshot version", "key", "other key"):
        other = Machine()
        other.disk.data = {
            1: bytearray(data),
            2: bytearray(key_of(machine)),
            3: bytearray(records.file_magic(b"VTSNAP", 2, 0)),
        }
        other.disk.current_names, other.disk.synced = (
            {name: 1, "key": 2, "snapshot": 3},
            {1: len(data), 2: 32, 3: 8},
        )
        if defect == "version":
            other.disk.data[1][:12] = records.file_magic(b"VTKEPT", 9, 0)
        elif defect == "key":
            del other.disk.current_names["key"]
        elif defect == "other key":
            other.disk.data[2][0] ^= 1
        if defect != "snapshot version":
            del other.disk.current_names["snapshot"]
        before = {key: bytes(value) for key, value in other.disk.data.items()}, dict(other.disk.current_names)
        with pytest.raises(StoreRefusedError):
            other.start()
        assert before == (
            {key: bytes(value) for key, value in other.disk.data.items()},
            other.disk.current_names,
        ), defect


def test_records_of_newer_minor_version_are_skipped(machine):
    machine.start()
    machine.complete("a", 1)
    ((name, data),) = log_files(machine).items()
    sequence = machine.store.sequence + 1
    newer_records = [[77, "from the future"], [records.UNSENT, b"x" * 16, "more"]]
    newer_records = b"".join(records._pack(record) for record in newer_records)
    data += records.encode_frame(1, sequence, newer_records)
    machine.kill()
    machine.start()
    assert machine.store.recovered.unknown_records == 1 and machine.ask("a")[0] == "answer"


def damaged_in_the_middle(machine):
    machine.start()
    for number in range(1, 9):
        machine.complete(f"k{number}", number, b"body %d" % number)
    ((name, data),) = log_files(machine).items()
    offset = data.index(b"body 4")
    data[offset] ^= 0xFF
    machine.kill()
    return machine


def test_damage_in_the_middle_keeps_the_rest_and_puts_unknown_keys_in_doubt(machine):
    damaged_in_the_middle(machine).start()
    assert {"store_damage_found", "store_keys_in_doubt"} <= set(events(machine))
    assert machine.ask("k3") == ("answer", b"body 3") and machine.ask("k5") == ("answer", b"body 5")
    assert machine.ask("k4") == ("fail", None), "its intent is readable, its result is lost"
    assert machine.begin("new", 20) == "refused", "its records may be among the lost ones"
    assert 25 < machine.store.retry_after() <= 30
    machine.run_maintenance(30)  # the snapshot is written, and the segment is set aside
    assert any(name.endswith(".damaged") for name in machine.files.names())
    machine.kill()
    machine.start()
    assert machine.begin("new", 21) == "refused", "the doubt survives a second restart"
    assert machine.ask("k5") == ("answer", b"body 5")
    machine.pass_time(31)
    assert machine.begin("new", 22) == "started"


def test_bad_last_frame_of_same_boot_is_damage(machine):
    machine.start()
    machine.complete("a", 1)
    machine.begin("b", 2)
    ((name, data),) = log_files(machine).items()
    data[-1] ^= 0xFF  # the frame is complete, which a killed process can't have left
    machine.kill()
    machine.start()
    assert "store_damage_found" in events(machine) and machine.begin("b", 3) == "refused"


def test_missing_segment_is_damage(machine):
    machine.limits = machine.limits._replace(segment=500)
    machine.start()
    for number in range(1, 30):
        machine.complete(f"k{number}", number, bytes(100))
    machine.kill()
    names = sorted(log_files(machine))
    assert len(names) > 4
    del machine.disk.current_names[names[2]]
    machine.start()
    assert "store_damage_found" in events(machine) and machine.begin("new", 99) == "refused"
    assert machine.ask("k29")[0] == "answer"


def test_missing_frame_is_damage(machine):
    machine.start()
    for number in range(1, 6):
        machine.complete(f"k{number}", number)
    ((_, data),) = log_files(machine).items()
    offset, frames = len(records.LOG_MAGIC), []
    while (frame := records.read_frame(data, offset, 1)) is not None:
        frames.append((offset, frame.end))
        offset = frame.end
    del data[frames[4][0] : frames[4][1]]
    machine.kill()
    machine.start()
    assert "store_damage_found" in events(machine) and machine.begin("new", 9) == "refused"


@pytest.mark.parametrize("seed", range(30))
def test_randomly_damaged_files_are_read_or_refused(seed):
    random_source, machine = seeded("bytes", seed), filled(20)
    machine.run_maintenance(30)
    machine.kill()
    for name, key in machine.disk.current_names.items():
        data = machine.disk.data[key]
        for _ in range(random_source.randrange(4) if name != "key" and data else 0):
            offset = random_source.randrange(len(data))
            if random_source.random() < 0.5:
                data[offset] = random_source.randrange(256)
            else:
                data[offset : offset + random_source.randrange(40)] = bytes(
                    random_source.randrange(256) for _ in range(random_source.randrange(40))
                )
    try:
        machine.start()
    except StoreRefusedError:
        return
    for number in range(1, 21):
        outcome, body = machine.ask(f"k{number}")
        assert body in (None, b"body %d" % number)
        assert outcome != "execute" or machine.store.retry_after() > 0, (
            "lost without the store being in doubt"
        )


def test_snapshot_that_is_newer_than_the_log_is_noted_once(machine):
    """Guards against noting the finding, and counting its segment as damaged, twice."""
    machine.limits = machine.limits._replace(segment=500)
    machine.start()
    for number in range(1, 30):
        machine.complete(f"k{number}", number, bytes(100))
    machine.store.compact_all()
    machine.kill()
    position = machine.store.position.segment
    newer = [name for name in log_files(machine) if int(name[5:13]) >= position]
    assert newer
    for name in newer:
        del machine.disk.current_names[name]
    older = machine.files
    older.create("kept-00000001.log")
    machine.disk.crash()
    machine.start()
    assert [event for event in events(machine) if "snapshot" in event] == ["store_snapshot_ahead_of_log"]
    assert [one.number for one in machine.store.recovered.damaged] == [position]
