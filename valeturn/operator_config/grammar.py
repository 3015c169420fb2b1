"""Parse the text of the operator's file into sections, line by line.

Each line is parsed separately, so that a malformed line does not hide other faults. Lark reports the column
within the line; the line number is added here.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, NamedTuple, cast

from ..errors import ValeturnError

if TYPE_CHECKING:
    from lark import Lark, Token, Tree

MAX_FILE_LENGTH = 1 << 20  # characters: a thousand times as many as all sections together need
MAX_LINE_LENGTH = 4096  # characters: enough for the system's longest path with its key

LINE_GRAMMAR = r"""
    line: section | entry | comment
    section: "[" NAME LABEL? "]" COMMENT?
    entry: KEY "=" VALUE? COMMENT?
    comment: COMMENT?

    NAME: /[a-z][a-z-]*/
    LABEL.2: /[ \t]+[A-Za-z0-9][A-Za-z0-9_.-]*/
    KEY: /[a-z][a-z0-9_]*/
    VALUE: /[^\s#;]([^#;]*[^\s#;])?/
    COMMENT: /[#;].*/
    %ignore /[ \t]+/
"""

QUANTITY_GRAMMAR = r"""
    quantity: NUMBER UNIT?
    NUMBER: /[+-]?(\d+(\.\d*)?|\.\d+)/
    UNIT: /\/?[A-Za-z%]+/
    %ignore /[ \t]+/
"""

GRAMMARS = {"line": LINE_GRAMMAR, "quantity": QUANTITY_GRAMMAR}  # start rule -> grammar


class Fault(NamedTuple):
    """One fault of a file: where it is, which rule is broken, and what was expected.

    Attributes:
        file: The path as the operator gave it.
        line: Line number from 1; 0 stands for the whole file.
        column: Column number from 1; 0 stands for the whole line.
        rule: Short name of the broken rule, stable between versions.
        text: What was expected and what was found.
    """

    file: str
    line: int
    column: int
    rule: str
    text: str

    def __str__(self) -> str:
        numbers = [str(number) for number in (self.line, self.column) if number]
        location = ":".join([self.file, *numbers])
        return f"{location}: {self.rule}: {self.text}"


class LocatedValue(NamedTuple):
    """A value as it is written in the file, with its file, line and column (both from 1)."""

    text: str
    file: str
    line: int
    column: int

    def fault(self, rule: str, text: str) -> Fault:
        """Return a fault at the position of this value."""
        return Fault(self.file, self.line, self.column, rule, text)


class Section(NamedTuple):
    """A section `[name label]` with its values by key; the label is empty if none is written."""

    name: str
    label: str
    header: LocatedValue
    values: dict[str, LocatedValue]

    @property
    def heading(self) -> str:
        """The section's name and label in brackets, as an operator writes them."""
        return f"[{self.name} {self.label}]" if self.label else f"[{self.name}]"


class ParsedFile(NamedTuple):
    """The sections of a text in order, and the faults of its lines."""

    sections: list[Section]
    faults: list[Fault]


class ParsedQuantity(NamedTuple):
    """A number with its unit, which is empty if none is written."""

    number: float
    unit: str


class _UnparsableTextError(ValeturnError):
    """A text does not match its grammar at `column` (from 1; 0 if it ends too early)."""

    def __init__(self, column: int) -> None:
        super().__init__(column)
        self.column = column


@functools.cache
def _parser(start: str) -> Lark:
    """Build the parser of a start rule on first use.

    A server that reads its file in a child process never needs the 7 MB that the grammar takes.
    """
    from lark import Lark

    return Lark(GRAMMARS[start], start=start, parser="lalr", propagate_positions=True)


def _parse_text(start: str, text: str) -> Tree[Token]:
    """Return the syntax tree of a text.

    Raises:
        _UnparsableTextError: The text does not match the grammar.
    """
    from lark.exceptions import UnexpectedInput

    try:
        return _parser(start).parse(text)
    except UnexpectedInput as error:
        raise _UnparsableTextError(max(0, getattr(error, "column", 0))) from error


def parse(text: str, file: str) -> ParsedFile:
    """Return the sections of a text and all faults of its lines; `file` names it in the faults."""
    if len(text) > MAX_FILE_LENGTH:
        fault = Fault(file, 0, 0, "too-long", f"the file has more than {MAX_FILE_LENGTH} characters")
        return ParsedFile([], [fault])
    file_parser = _FileParser(file)
    for line_number, line in enumerate(text.splitlines(), 1):
        file_parser.add_line(line, line_number)
    return ParsedFile(file_parser.sections, file_parser.faults)


class _FileParser:
    """Collects the sections and faults of one file, whose lines are added in order."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.sections: list[Section] = []
        self.faults: list[Fault] = []
        self.first_lines: dict[tuple[str, str], int] = {}  # name and label of a section -> its first line

    def add_line(self, line: str, line_number: int) -> None:
        """Parse one line and add its section, its entry or its fault."""
        if len(line) > MAX_LINE_LENGTH:
            text = f"the line has more than {MAX_LINE_LENGTH} characters"
            self.faults.append(Fault(self.file, line_number, 0, "too-long", text))
            return
        try:
            tree = _parse_text("line", line)
        except _UnparsableTextError as error:
            text = "wants [section], key = value, or a comment after # or ;"
            self.faults.append(Fault(self.file, line_number, error.column, "unreadable", text))
            return
        content = cast("Tree[Token]", tree.children[0])
        tokens = {token.type: token for token in cast("list[Token]", content.children)}
        if content.data == "section":
            self._add_section(tokens, line_number)
        elif content.data == "entry":
            self._add_entry(tokens, line_number)

    def _add_section(self, tokens: dict[str, Token], line_number: int) -> None:
        header = self._locate(str(tokens["NAME"]), tokens["NAME"], line_number)
        section = Section(header.text, str(tokens.get("LABEL", "")).strip(), header, {})
        identity = (section.name, section.label)
        if identity in self.first_lines:
            text = f"{section.heading} is already in line {self.first_lines[identity]}"
            self.faults.append(header.fault("doubled-section", text))
        self.first_lines.setdefault(identity, line_number)
        self.sections.append(section)

    def _add_entry(self, tokens: dict[str, Token], line_number: int) -> None:
        key = str(tokens["KEY"])
        value_token = tokens.get("VALUE")
        if value_token is None:
            value = self._locate("", tokens["KEY"], line_number)
        else:
            value = self._locate(str(value_token).strip(), value_token, line_number)
        if not self.sections:
            self.faults.append(value.fault("no-section", f"{key} is before the first [section]"))
            return
        values = self.sections[-1].values
        if value_token is None:
            self.faults.append(value.fault("no-value", f"{key} has no value"))
        elif key in values:
            text = f"{key} is already in line {values[key].line}"
            self.faults.append(value.fault("doubled-key", text))
        else:
            values[key] = value

    def _locate(self, text: str, token: Token, line_number: int) -> LocatedValue:
        return LocatedValue(text, self.file, line_number, cast(int, token.column))


def parse_quantity(text: str) -> ParsedQuantity | None:
    """Return the number and the unit of a text such as `2.5 s`, or None if it is not a quantity."""
    try:
        tree = _parse_text("quantity", text)
    except _UnparsableTextError:
        return None
    number, *unit = cast("list[Token]", tree.children)
    return ParsedQuantity(float(number), str(unit[0]) if unit else "")
