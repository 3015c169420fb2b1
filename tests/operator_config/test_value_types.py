"""The types of values: which texts they parse, and which they reject."""

import pytest

from valeturn.operator_config import value_types
from valeturn.operator_config.value_types import InvalidValueError, Quantity


@pytest.mark.parametrize(
    ("text", "seconds"),
    [("2.5 s", 2.5), ("2.5ms", 0.0025), (".5 min", 30.0), ("1 h", 3600.0), ("+3 s", 3.0), ("1. s", 1.0)],
)
def test_times_are_parsed_in_seconds(text, seconds):
    assert Quantity("a time", 0, 1e6).read(text) == pytest.approx(seconds)


@pytest.mark.parametrize(
    "text", ["", "s", "1 2 s", "1 s s", "0x10 s", "1e3 s", "nan s", "inf s", "1,5 s", "१ s\x00"]
)
def test_invalid_times_are_rejected(text):
    with pytest.raises(InvalidValueError):
        Quantity("a time", 0, 1e6).read(text)


def test_other_types_parse_valid_texts_and_reject_others():
    assert value_types.Boolean().read("on") is True
    assert value_types.WholeNumber(1, 9).read("7") == 7
    assert value_types.Quantity("a rate", 0, 1e9).read("120 /min") == 2.0
    assert value_types.Quantity("a share", 0, 1).read("20 %") == pytest.approx(0.2)
    for value_type, text in (
        (value_types.Boolean(), "yes"),
        (value_types.WholeNumber(1, 9), "1.5"),
        (value_types.WholeNumber(1, 9), "10"),
        (value_types.WholeNumber(1, 9), "3 s"),
        (value_types.AbsolutePath(), "a/b"),
    ):
        with pytest.raises(InvalidValueError):
            value_type.read(text)


@pytest.mark.parametrize("text", ["9" * 400, "1" + "0" * 400, "9" * 5000])
def test_numbers_too_large_for_the_machine_are_out_of_range(text):
    """They raised OverflowError, and the reader process ended without a reply about the faulty value."""
    for value_type in (value_types.WholeNumber(1, 64), Quantity("a time", 0.1, 60.0)):
        with pytest.raises(InvalidValueError) as raised:
            value_type.read(text if isinstance(value_type, value_types.WholeNumber) else text + " s")
        assert raised.value.rule == "out-of-range"
