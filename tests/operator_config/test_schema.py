"""Checks of whole files against the schemas of all subsystems."""

import pathlib
import re

import pytest
from program_support import ROOT

from valeturn.operator_config import schema

# text -> the (line, rule) of each fault, in order
FAULTS_BY_TEXT = {
    "[store]\n": [(1, "missing-key")],
    "[stor]\nfolder = /k\n": [(1, "unknown-section")],
    "[store]\nfolder = /k\ndisc = 1 GB\n": [(3, "unknown-key")],
    "[store]\nfolder = /k\nfolder = /l\n": [(3, "doubled-key")],
    "[store]\nfolder = /k\n[store]\nfolder = /k\n": [(3, "doubled-section")],
    "[store]\nfolder = k\n": [(2, "unreadable-value")],
    "[store]\nfolder = /k\nretry = 2.5\n": [(3, "missing-unit")],
    "[store]\nfolder = /k\nretry = 2.5 MB\n": [(3, "wrong-unit")],
    "[store]\nfolder = /k\nretry = 2.5 seconds\n": [(3, "wrong-unit")],
    "[store]\nfolder = /k\nretry = soon\n": [(3, "unreadable-value")],
    "[store]\nfolder = /k\nretry = 2 d\n": [(3, "out-of-range")],
    "[store]\nfolder = /k\nretry = -1 s\n": [(3, "out-of-range")],
    "[store]\nfolder = /k\ndisk = 1 kB\n": [(3, "out-of-range")],
    "[store]\nfolder = /k\ndisk = 8 MB\nsegment = 4 MB\n": [(3, "too-small")],
    "[store]\nfolder =\n": [(1, "missing-key"), (2, "no-value")],
    "folder = /k\n": [(1, "no-section")],
    "[store\nfolder = /k\n": [(1, "unreadable"), (2, "no-section")],
    "[store]\nfolder /k\n": [(1, "missing-key"), (2, "unreadable")],
    "[store]\nFolder = /k\n": [(1, "missing-key"), (2, "unreadable")],
    "[store one]\nfolder = /k\n": [(1, "label")],
    "[store]\nfolder = k\nretry = 5\n\n[odd]\nx = 1\n": [
        (2, "unreadable-value"),
        (3, "missing-unit"),
        (5, "unknown-section"),
    ],
    "[store]\nfolder = /k\n" + "x" * 5000 + "\n": [(3, "too-long")],
}


@pytest.mark.parametrize("text", FAULTS_BY_TEXT)
def test_all_faults_of_a_file_are_reported_with_line_and_rule(text, schemas):
    options, faults = schema.check(text, "v.ini", schemas)
    assert options is None
    assert [(fault.line, fault.rule) for fault in faults] == FAULTS_BY_TEXT[text]
    for fault in faults:
        assert str(fault).startswith(f"v.ini:{fault.line}:") and "\n" not in str(fault)


def test_valid_file_gives_values_in_base_units_with_their_places(schemas, valid_text):
    options, faults = schema.check(valid_text, "v.ini", schemas)
    store = options.get("store")
    assert not faults and (store.folder, store.disk, store.retry, store.segment) == (
        "/tmp/kept",
        64_000_000,
        0.25,
        4_000_000,
    )
    assert store.where["retry"].line == 5 and store.where["segment"].line == 2
    assert options.get("other") is None


def test_any_text_is_accepted_or_rejected_with_a_line(schemas):
    from hypothesis import given, settings
    from hypothesis import strategies as st

    pieces = st.sampled_from(
        ["[store]", "folder", "=", "/k", " ", "\n", "#", ";", "2.5 s", "[", "]", "\t", "é", "\0"]
    )

    @settings(derandomize=True, max_examples=300, deadline=None, database=None)
    @given(st.one_of(st.text(max_size=80), st.lists(pieces, max_size=30).map("".join)))
    def check(text):
        options, faults = schema.check(text, "v.ini", schemas)
        assert (options is None) == bool(faults)
        lines = max(1, len(text.splitlines()))
        assert all(1 <= fault.line <= lines and fault.rule for fault in faults)

    check()


def test_shipped_file_is_valid_as_it_stands_and_with_every_key_uncommented(options_modules, schemas):
    text = pathlib.Path(ROOT / "deploy/valeturn.ini").read_text()
    options, faults = schema.check(text, "v.ini", schemas)
    assert not faults and options.sections == {}
    uncommented = "\n".join(re.sub(r"^#(\[|[a-z_]+ = )", r"\1", line) for line in text.splitlines())
    options, faults = schema.check(uncommented, "v.ini", schemas)
    assert not faults and set(options.sections) == {section_schema.name for section_schema in schemas}
    assert set(options.get("store").where) == set(options_modules["store"].SCHEMA.fields)
    written = {
        line.split("=")[0].strip() for line in uncommented.splitlines() if "=" in line and line[0] != "#"
    }
    assert written == {key for section_schema in schemas for key in section_schema.fields}, (
        "each key is shown"
    )
