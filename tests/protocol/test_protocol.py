"""The protocols' decoders and encoders on bytes: every split, round trips, bounds, malformed input."""

import json
import random

import pytest
from helpers import frame, submission

from valeturn.protocol import executor, frames, http


def feed_in_pieces(decoder, data, cuts):
    messages, edges = [], [0, *sorted(cuts), len(data)]
    for start, end in zip(edges, edges[1:]):
        messages += decoder.feed(data[start:end])
    return messages


@pytest.mark.parametrize("limit", [1, 3, 32])
def test_frames_beyond_the_limit_of_a_call_are_returned_by_the_next_ones(limit):
    data = b"".join(submission(stream) + frame(9, stream) for stream in range(1, 30))
    decoder, messages = frames.FrameDecoder(), []
    found = decoder.feed(data + submission(30)[:50], limit)
    while found:
        assert len(found) <= limit and decoder.unfinished
        messages += found
        found = decoder.feed(b"", limit)
    assert messages == frames.FrameDecoder().feed(data)


def test_frames_decode_the_same_however_they_are_split():
    data = (
        submission(1, body=b"\x00\xff body")
        + frame(9, 1)
        + frame(1, 2, b"\x01\x03e2e\x01\x001")
        + submission(7)
    )
    whole = frames.FrameDecoder().feed(data)
    assert [type(message) for message in whole] == [
        frames.Submission,
        frames.CancelRequest,
        frames.HealthCheckRequest,
        frames.Submission,
    ]
    assert whole[0].body == b"\x00\xff body" and whole[2].deep
    for cut in range(len(data) + 1):
        assert feed_in_pieces(frames.FrameDecoder(), data, [cut]) == whole
    assert feed_in_pieces(frames.FrameDecoder(), data, range(len(data))) == whole


def test_a_submission_is_decoded_to_seconds():
    (decoded,) = frames.FrameDecoder().feed(submission(3, rank="0.625", body=b"b"))
    assert decoded == frames.Submission(
        3,
        "9b1f03aa5c7e2d41",
        "quote",
        "acme",
        1764576000.123,
        0.48,
        0.0125,
        24.5,
        0.625,
        4,
        None,
        None,
        False,
        b"b",
    )


@pytest.mark.parametrize(
    "changes, reason",
    [
        ({"call": "9b1f03aa5c7e2d4"}, "16 hex"),
        ({"call": "9B1F03AA5C7E2D41"}, "16 hex"),
        ({"op": ""}, "op"),
        ({"recv": None}, "recv is missing"),
        ({"recv": "soon"}, "recv is unreadable"),
        ({"heap": "nan"}, "heap"),
        ({"heap": None}, "heap is missing"),
        ({"heap": "0"}, "heap"),
        ({"heap": "3000"}, "heap"),
        ({"ttl": "-1"}, "ttl"),
        ({"crit": "x"}, "crit"),
        ({"body": b"x" * 2049}, "body too long"),
    ],
)
def test_an_invalid_field_does_not_break_the_connection(changes, reason):
    bad, good = frames.FrameDecoder().feed(submission(5, **changes) + submission(6))
    assert isinstance(bad, frames.InvalidSubmission) and bad.stream == 5 and reason in bad.reason
    assert isinstance(good, frames.Submission)


@pytest.mark.parametrize(
    "data",
    [
        b"\x04\x00\x00\x00\x07\x00\x00\x00\x00",
        b"\x01\x00\x04\x00",
        frame(5, 1),
        frame(7, 1),
        frame(7, 1, b"\x01\x09ab"),
        frame(7, 1, b"\x01\x02op\xff\xffx"),
        frame(7, 1, b"\x01\x02\xff\xfe\x01\x00a"),
        frame(9, 1, b"x"),
        submission(0),
    ],
)
def test_after_a_protocol_violation_nothing_more_is_decoded(data):
    decoder = frames.FrameDecoder()
    decoded = decoder.feed(submission(1) + data + submission(2))
    assert [type(message) for message in decoded] == [frames.Submission, frames.ProtocolViolation]
    assert decoder.feed(submission(3)) == []


def test_a_large_frame_is_skipped_without_being_buffered():
    large = submission(1, body=b"x" * 200000)
    data = large + submission(2) + submission(3, body=b"y" * 20000) + submission(4)
    for size in (1000, 65536, len(data)):
        decoder, decoded = frames.FrameDecoder(), []
        for start in range(0, len(data), size):
            decoded += decoder.feed(data[start : start + size])
            assert len(decoder.buffer) <= frames.MAX_BUFFERED_BYTES
        assert [type(message) for message in decoded] == [frames.InvalidSubmission, frames.Submission] * 2
        assert [message.stream for message in decoded] == [1, 2, 3, 4]
    decoded = frames.FrameDecoder().feed(frame(9, 1, b"x" * 20000) + submission(2))
    assert [type(message) for message in decoded] == [frames.ProtocolViolation]


def test_corrupted_frames_never_raise_and_at_most_one_frame_is_buffered():
    random_source = random.Random(5)
    for _ in range(300):
        decoder = frames.FrameDecoder()
        data = bytearray(submission(1) + submission(2))
        for _ in range(random_source.randrange(1, 6)):
            data[random_source.randrange(len(data))] = random_source.randrange(256)
        for message in decoder.feed(bytes(data)):
            assert type(message) in (
                frames.Submission,
                frames.InvalidSubmission,
                frames.CancelRequest,
                frames.HealthCheckRequest,
                frames.ProtocolViolation,
            )
        assert len(decoder.buffer) <= frames.MAX_FRAME_LENGTH + 4


def test_answers_have_the_bytes_of_the_specification():
    assert frames.rejected(3, 0.25, True, 0.5) == frame(
        8, 3, b"\x00\x03\x04load\x06\x000.5000\x08pushback\x03\x00250\x04stop\x01\x001"
    )
    assert frames.delivered(4, b"\x01\x02") == frame(8, 4, b"\x01\x00\x01\x02")
    assert frames.failed(4) == frame(8, 4, b"\x09\x00")
    assert frames.health(2, False) == frame(2, 2, b"\x00\x00")
    assert frames.no_more() == frame(3, 0)


LINES = (
    b'{"t":"WELCOME","status":"booting","time_ms":1500}\n{"t":"EXIT","no":1,"rid":"a","status":"success",'
    b'"time_ms":20,"b64":"AP8="}\n{"t":"CALLOUT","no":2,"rid":"b","b64":"aGk="}\n{"t":"LOG","no":3,"status":"x"}\n'
    b'{"t":"NEWS"}\n{"t":"METERS","mark":"4","v":[0.5,3,0.1,2]}\n{"t":"BAD","status":"EXEC","rid":"c"}\n'
)


def test_notices_decode_the_same_however_they_are_split():
    whole = executor.LineDecoder().feed(LINES)
    assert whole == [
        executor.JoinAccepted(True, 1.5),
        executor.RunEnded(1, "a", executor.RunResult.DONE, 0.02, b"\x00\xff"),
        executor.CallRequest(2, "b", b"hi"),
        executor.OtherNotice(3),
        executor.OtherNotice(None),
        executor.GaugesReported("4", (0.5, 3, 0.1, 2)),
        executor.CommandRejected("EXEC", "c"),
    ]
    for cut in range(len(LINES) + 1):
        assert feed_in_pieces(executor.LineDecoder(), LINES, [cut]) == whole


@pytest.mark.parametrize(
    "line",
    [
        b"no json\n",
        b"[1]\n",
        b"{}\n",
        b'{"t":"EXIT","no":1}\n',
        b'{"t":"EXIT","no":1,"rid":"a","status":"odd","time_ms":1}\n',
        b'{"t":"CALLOUT","no":1,"rid":"a","b64":"*"}\n',
        b"x" * 70000,
        b'"' + b"x" * 70000 + b'"\n',
        b"[" * 60000 + b"\n",
    ],
)
def test_after_a_malformed_line_no_notice_is_decoded(line):
    decoder = executor.LineDecoder()
    decoded = decoder.feed(line + LINES)
    assert len(decoded) == 1 and isinstance(decoded[0], executor.Malformed) and decoder.feed(LINES) == []


def test_commands_are_lines_of_json_with_the_body_in_base64():
    assert json.loads(executor.start("a", "quote", b"\x00\xff")) == {
        "t": "EXEC",
        "rid": "a",
        "route": "quote",
        "b64": "AP8=",
    }
    assert json.loads(executor.bypass("a", 7)) == {"t": "BYPASS", "rid": "a", "no": 7}
    assert executor.join(0).endswith(b"\n") and executor.join(0).count(b"\n") == 1


RESPONSES = {
    "sized": (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-Untouched: 1\r\n\r\nabc", 200, b"abc", True),
    "none": (b"HTTP/1.1 204 No Content\r\n\r\n", 204, b"", True),
    "chunked": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=1\r\nab\r\n1\r\nc\r\n0\r\nA: b\r\n\r\n",
        200,
        b"abc",
        True,
    ),
    "closing": (b"HTTP/1.1 503 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", 503, b"", False),
    "interim": (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 200, b"", True),
    "old": (b"HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nx", 200, b"x", False),
}


@pytest.mark.parametrize("name", RESPONSES)
def test_responses_decode_the_same_however_they_are_split(name):
    data, status, body, keep_alive = RESPONSES[name]
    for cut in range(len(data)):
        decoder = http.ResponseDecoder()
        early = decoder.feed(data[:cut])
        decoded = early or decoder.feed(data[cut:])
        assert (decoded.status, decoded.body, decoded.keep_alive) == (status, body, keep_alive), cut


def test_a_response_without_a_length_ends_with_its_connection():
    decoder = http.ResponseDecoder()
    assert decoder.feed(b"HTTP/1.1 200 OK\r\n\r\nab") is None
    assert decoder.end()[2:] == (b"ab", False)
    assert isinstance(http.ResponseDecoder().end(), http.Malformed)


@pytest.mark.parametrize(
    "data",
    [
        b"SSH-2.0-x\r\n\r\n",
        b"HTTP/1.1 abc\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n bad\r\n\r\n",
        b"x" * 20000,
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n",
    ],
)
def test_malformed_http_is_returned_as_a_value(data):
    assert isinstance(http.ResponseDecoder().feed(data), http.Malformed)


def test_a_request_has_a_host_and_a_content_length():
    assert http.request("POST", "/post", "h:1", [("X-Txn-Ref", "a")], b"hi") == (
        b"POST /post HTTP/1.1\r\nHost: h:1\r\nX-Txn-Ref: a\r\nContent-Length: 2\r\n\r\nhi"
    )


def test_rejections_of_unknown_commands_share_one_name():
    words = (b'"KILL"', b'"odd"', b'["x"]', b"null")
    notices = [executor.decode_notice(b'{"t":"BAD","status":%s}' % word) for word in words]
    assert [notice.command for notice in notices] == ["KILL", "other", "other", "other"]
