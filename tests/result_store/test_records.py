"""Decoding of the log's frames."""

from valeturn.result_store import records, segment_scan


def test_frame_of_another_segment_or_with_wrong_length_is_not_read():
    data = records.encode_frame(3, 8, b"payload")
    assert records.read_frame(data, 0, 3).payload == b"payload" and records.read_frame(data, 0, 4) is None
    assert (
        records.read_frame(data[:-1], 0, 3) is None and records.read_frame_header(b"\xff" * 16, 0, 3) is None
    )
    got = segment_scan.scan(data + b"\1" * 40 + records.encode_frame(3, 10, b"more"), 3, 0, None, True)
    assert [frame.sequence for frame in got.frames] == [
        8,
        10,
    ] and got.verdict == segment_scan.ScanVerdict.DAMAGED
