"""The grammar of the operator's file."""

from valeturn.operator_config import grammar


def test_values_keep_their_line_and_column():
    sections, faults = grammar.parse("\n\n[store]\n   folder   =   /a b # c\n", "f")
    value = sections[0].values["folder"]
    assert not faults and (value.text, value.line, value.column) == ("/a b", 4, 17)
