"""Messages between servers as bytes: what is read, and what fails."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from valeturn.cluster import codec
from valeturn.cluster.limits import MESSAGE

FAST = settings(derandomize=True, deadline=None, max_examples=150)


@FAST
@given(st.binary(max_size=200), st.integers(1, 7))
def test_any_bytes_are_messages_or_one_fault_and_cuts_do_not_matter(data, step):
    good = codec.encode("f", "n", 3, "ping", [1, [["é", 2]]])
    decoder, out = codec.Decoder("f"), []
    for start in range(0, len(good + data), step):
        out += decoder.feed((good + data)[start : start + step])
    assert out[0] == codec.Message("n", 3, "ping", [1, [["é", 2]]])
    assert sum(isinstance(one, codec.Fault) for one in out) <= 1
    assert not any(isinstance(one, codec.Fault) for one in out[:-1]), "nothing comes after the first"


def test_each_fault_of_a_message_is_told():
    good = codec.encode("f", "n", 3, "ping", [1])
    flipped = good[:-1] + bytes((good[-1] ^ 1,))
    assert codec.Decoder("f").feed(flipped) == [codec.Fault("damaged")]
    assert codec.Decoder("g").feed(good) == [codec.Fault("other_fleet")]
    assert codec.Decoder("f").feed(b"\xff\xff\xff\x7f" + good) == [codec.Fault("too_long")]
    decoder = codec.Decoder("f")
    assert decoder.feed(flipped + good) == [codec.Fault("damaged")] and decoder.feed(good) == []
    with pytest.raises(ValueError):
        codec.encode("f", "n", 3, "sync", ["x" * MESSAGE])
