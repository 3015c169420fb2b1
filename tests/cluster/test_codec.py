"""The encoding of messages between servers: decoding and its failures."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from valeturn.cluster import codec
from valeturn.cluster.codec import DecodeError, DecodeFailure
from valeturn.cluster.limits import MESSAGE
from valeturn.errors import ValeturnError

FAST = settings(derandomize=True, deadline=None, max_examples=150)


def reasons(results):
    """Return the reasons of results that are all failures."""
    assert all(type(result) is DecodeError for result in results)
    return [result.reason for result in results]


@FAST
@given(st.binary(max_size=200), st.integers(1, 7))
def test_any_bytes_are_messages_or_one_error_however_they_are_cut(data, step):
    stream = codec.encode("f", "n", 3, "ping", [1, [["é", 2]]]) + data
    decoder = codec.Decoder("f")
    results = []
    for start in range(0, len(stream), step):
        results += decoder.feed(stream[start : start + step])
    assert results[0] == codec.Message("n", 3, "ping", [1, [["é", 2]]])
    assert sum(isinstance(result, DecodeError) for result in results) <= 1
    assert not any(isinstance(result, DecodeError) for result in results[:-1]), "nothing comes after an error"


def test_each_kind_of_undecodable_bytes_has_its_reason():
    good = codec.encode("f", "n", 3, "ping", [1])
    flipped = good[:-1] + bytes((good[-1] ^ 1,))
    assert reasons(codec.Decoder("f").feed(flipped)) == [DecodeFailure.CHECKSUM]
    assert reasons(codec.Decoder("g").feed(good)) == [DecodeFailure.OTHER_CLUSTER]
    assert reasons(codec.Decoder("f").feed(b"\xff\xff\xff\x7f" + good)) == [DecodeFailure.TOO_LONG]


def test_nothing_is_decoded_after_an_error():
    good = codec.encode("f", "n", 3, "ping", [1])
    flipped = good[:-1] + bytes((good[-1] ^ 1,))
    decoder = codec.Decoder("f")
    assert reasons(decoder.feed(flipped + good)) == [DecodeFailure.CHECKSUM]
    assert decoder.feed(good) == []


def test_message_over_the_limit_is_not_encoded():
    with pytest.raises(codec.MessageTooLongError) as raised:
        codec.encode("f", "n", 3, "sync", ["x" * MESSAGE])
    assert isinstance(raised.value, ValeturnError)
    assert raised.value.kind == "sync"
    assert raised.value.size > MESSAGE


def test_boolean_generation_of_a_sender_is_malformed():
    (result,) = codec.Decoder("lab").feed(codec.encode("lab", "a", True, "ping", []))
    assert isinstance(result, codec.DecodeError) and result.reason is codec.DecodeFailure.MALFORMED
