"""The grammar of the operator's file. Each line is read alone, so that one bad line hides no other fault.

Lark keeps line and column; the line's number is added here, as each line is given to the parser by itself.
"""

from __future__ import annotations

import functools
from typing import NamedTuple

MOST_FILE = 1 << 20  # bytes: a thousand times what all sections together need
MOST_LINE = 4096  # bytes of one line: a path and its key

LINE = r"""
    line: section | entry | remark
    section: "[" NAME LABEL? "]" REMARK?
    entry: KEY "=" VALUE? REMARK?
    remark: REMARK?

    NAME: /[a-z][a-z-]*/
    LABEL.2: /[ \t]+[A-Za-z0-9][A-Za-z0-9_.-]*/
    KEY: /[a-z][a-z0-9_]*/
    VALUE: /[^\s#;]([^#;]*[^\s#;])?/
    REMARK: /[#;].*/
    %ignore /[ \t]+/
"""

VALUE = r"""
    quantity: NUMBER UNIT?
    NUMBER: /[+-]?(\d+(\.\d*)?|\.\d+)/
    UNIT: /\/?[A-Za-z%]+/
    %ignore /[ \t]+/
"""


@functools.cache
def _parser(start):
    """Built when first asked for: a server keeps values, and never the grammar's seven megabytes."""
    from lark import Lark

    return Lark(LINE if start == "line" else VALUE, start=start, parser="lalr", propagate_positions=True)


def _parse(start, text):
    """The tree, or the column (from 1; 0 at the end) where the text is none."""
    from lark.exceptions import UnexpectedInput

    try:
        return _parser(start).parse(text)
    except UnexpectedInput as error:
        return max(0, getattr(error, "column", 0))


class Fault(NamedTuple):
    """One thing that is wrong with a file. Column 0 stands for the whole line, line 0 for the whole file."""

    file: str
    line: int
    column: int
    rule: str  # a short name that does not change between versions
    text: str

    def __str__(self):
        place = ":".join([self.file, *(str(n) for n in (self.line, self.column) if n)])
        return f"{place}: {self.rule}: {self.text}"


class Value(NamedTuple):
    """A value as written, and where."""

    text: str
    file: str
    line: int
    column: int

    def fault(self, rule, text):
        return Fault(self.file, self.line, self.column, rule, text)


class Section(NamedTuple):
    """`[name label]` with its values by key; label is "" where there is none."""

    name: str
    label: str
    place: Value  # of its head
    values: dict


def parse(text, file):
    """The sections of a text in their order, and all its faults."""
    sections, faults, seen = [], [], {}
    if len(text) > MOST_FILE:
        return [], [Fault(file, 0, 0, "too-long", f"the file has more than {MOST_FILE} characters")]
    for number, line in enumerate(text.splitlines(), 1):
        if len(line) > MOST_LINE:
            faults.append(
                Fault(file, number, 0, "too-long", f"the line has more than {MOST_LINE} characters")
            )
            continue
        tree = _parse("line", line)
        if isinstance(tree, int):
            text = "wants [section], key = value, or a remark after # or ;"
            faults.append(Fault(file, number, tree, "unreadable", text))
            continue
        tree = tree.children[0]
        tokens = {token.type: token for token in tree.children}
        if tree.data == "section":
            name, label = str(tokens["NAME"]), str(tokens.get("LABEL", "")).strip()
            place = Value(name, file, number, tokens["NAME"].column)
            if (name, label) in seen:
                faults.append(
                    place.fault(
                        "doubled-section",
                        f"[{name} {label}]".replace(" ]", "]")
                        + f" stands in line {seen[name, label]} already",
                    )
                )
            seen.setdefault((name, label), number)
            sections.append(Section(name, label, place, {}))
        elif tree.data == "entry":
            _entry(tokens, sections, faults, file, number)
    return sections, faults


def _entry(tokens, sections, faults, file, number):
    key, found = str(tokens["KEY"]), tokens.get("VALUE")
    place = Value(str(found or "").strip(), file, number, (found or tokens["KEY"]).column)
    if not sections:
        faults.append(place.fault("no-section", f"{key} stands before the first [section]"))
    elif found is None:
        faults.append(place.fault("no-value", f"{key} has no value"))
    elif key in sections[-1].values:
        before = sections[-1].values[key].line
        faults.append(place.fault("doubled-key", f"{key} stands in line {before} already"))
    else:
        sections[-1].values[key] = place


def quantity(text):
    """(number, unit or "") of a text such as `2.5 s`, or None where it is no quantity."""
    tree = _parse("quantity", text)
    if isinstance(tree, int):
        return None
    tokens = tree.children
    return float(tokens[0]), str(tokens[1]) if len(tokens) > 1 else ""
