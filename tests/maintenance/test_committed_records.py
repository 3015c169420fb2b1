"""Reading the maintenance records from the replicated log."""

from types import SimpleNamespace

import pytest

from valeturn.cluster.node import KnownState
from valeturn.maintenance.committed_records import CommittedRecords
from valeturn.maintenance.records import InvalidRecordError, MaintenanceRecord


def make_node(*encoded):
    log_state = SimpleNamespace(maintenance_records=encoded, maintenance_held=True)
    return SimpleNamespace(known_state=lambda: KnownState(1, log_state, "a"))


def test_records_are_decoded_once_for_each_state_of_the_log():
    record = MaintenanceRecord("a", 1, "kernel", False, 60.0)
    records = CommittedRecords(make_node(tuple(record.encode())))
    first = records.read()
    assert first == [record]
    assert records.read() is first
    assert records.find("a") == record
    assert records.find("b") is None
    assert records.paused()


def test_malformed_record_is_reported_at_each_reading():
    records = CommittedRecords(make_node(("a", 1, "kernel", False, 60.0, 9, 0, 0, 0, False, False)))
    for _ in range(2):
        with pytest.raises(InvalidRecordError):
            records.read()
