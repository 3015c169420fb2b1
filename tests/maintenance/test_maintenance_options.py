"""The section [turns] of the operator's file."""

from types import SimpleNamespace

import pytest

from valeturn.maintenance import options
from valeturn.operator_config.schema import check


def read(text):
    found, faults = check(text, "file", [options.SCHEMA])
    assert not faults
    return found.sections["turns"]


def configuration(servers):
    return SimpleNamespace(names=SimpleNamespace(settings=SimpleNamespace(servers=servers)))


def test_each_key_sets_its_field():
    text = (
        "[turns]\nmost = 3\nshare = 20 %\none_zone = off\nspare = 5 %\nanswers = 7\nidle = 9 s\n"
        "work = 2min\npatience = 11 s\nmissing = give\nempty = echo e\nreturned = echo r\n"
    )
    assert read(text)[:-1] == (3, 0.2, False, 0.05, 7, 9.0, 120.0, 11.0, "give", "echo e", "echo r")
    assert read(text).limits() == (3, 0.2, False, 0.05, 7, 9.0, False)
    assert read("[turns]\n").limits() == (1, 0.1, True, 0.1, 20, 30.0, True)


@pytest.mark.parametrize(("most", "servers", "rules"), [(2, 2, ["all-out"]), (1, 2, []), (5, 1, [])])
def test_all_servers_at_once_are_a_fault(most, servers, rules):
    faults = options.check_deployment(read(f"[turns]\nmost = {most}\n"), configuration(servers))
    assert [fault.rule for fault in faults] == rules


def test_section_wants_a_cluster():
    built = read("[turns]\n")
    assert [fault.rule for fault in options.check_sections(built, {"turns": built})] == ["no-fleet"]
    assert options.check_sections(built, {"turns": built, "fleet": None}) == []
