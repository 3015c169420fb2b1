"""Control requests: which lines are valid, and how received bytes are split into lines."""

import json

import pytest

from valeturn.control import answers, requests
from valeturn.control.errors import InvalidRequestError, RequestTooLongError
from valeturn.control.line_splitter import LineSplitter


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"{",
        b"[]",
        b'{"do":"odd"}',
        b'{"do":["status"]}',
        b'{"do":"hold"}',
        b'{"do":"hold","level":"a"}',
        b'{"do":"hold","level":"a","for":0}',
        b'{"do":"hold","level":"a","for":1e999}',
        b"[" * 3000,
        b'{"do":"hold","level":"a","for":true}',
        b'{"do":"hold","level":5,"for":5}',
        b"\xff\xfe",
    ],
)
def test_invalid_request_is_rejected_with_reason(line: bytes) -> None:
    with pytest.raises(InvalidRequestError) as caught:
        requests.parse_request(line)
    assert not json.loads(answers.encode_rejection(caught.value.reason))["good"]


def test_requests_are_parsed_however_their_bytes_are_split() -> None:
    text = b'{"do":"status"}\n{"do":"hold","level":"a","for":2}\n'
    splitter = LineSplitter()
    lines = []
    for position in range(len(text)):
        lines += splitter.feed(text[position : position + 1])
    parsed = [requests.parse_request(line) for line in lines]
    assert parsed == [requests.StatusRequest(), requests.HoldLevelRequest("a", 2.0)]


@pytest.mark.parametrize("data", [b"x" * 5000, b"x" * 4097 + b"\n"], ids=["open", "complete"])
def test_line_that_is_too_long_is_an_error(data: bytes) -> None:
    with pytest.raises(RequestTooLongError) as caught:
        LineSplitter().feed(data)
    assert caught.value.max_bytes == 4096
    assert caught.value.reason == "a request has at most 4096 bytes"


def test_longest_line_is_accepted() -> None:
    assert LineSplitter().feed(b"x" * 4096 + b"\n") == [b"x" * 4096]


@pytest.mark.parametrize(
    "line",
    [
        b'{"do":"hold","level":"a","for":' + b"9" * 400 + b"}",
        b'{"do":"turns","what":"out","work":' + b"9" * 400 + b"}",
        b'{"do":"turns","what":"out","work":-' + b"9" * 400 + b"}",
    ],
)
def test_numbers_too_large_for_the_machine_are_rejected(line: bytes) -> None:
    """They raised OverflowError, and the client received no answer."""
    with pytest.raises(InvalidRequestError):
        requests.parse_request(line)


@pytest.mark.parametrize("written", [b"1", b"1.0", b"true"])
def test_urgent_is_a_boolean_however_it_is_written(written: bytes) -> None:
    request = requests.parse_request(b'{"do":"turns","what":"out","urgent":' + written + b"}")
    assert isinstance(request, requests.MaintenanceRequest)
    assert request.urgent is True
