"""Check the sections of an operator's file against the schemas that the subsystems declare.

All faults of a file are collected and reported together.
"""

from __future__ import annotations

import difflib
import os
from collections.abc import Iterable, Mapping
from typing import Any, Final, Generic, NamedTuple, Protocol, TypeVar

from .grammar import Fault, LocatedValue, Section, parse
from .value_types import InvalidValueError, ValueType

__all__ = [
    "REQUIRED",
    "BuildOptions",
    "CheckedFile",
    "Fault",
    "Field",
    "LocatedValue",
    "OperatorConfig",
    "SectionSchema",
    "check",
    "check_file",
]

OptionsT = TypeVar("OptionsT")
OptionsT_co = TypeVar("OptionsT_co", covariant=True)

REQUIRED: Final = object()  # the default of a field that must be written


class Field(NamedTuple):
    """One key of a section.

    Attributes:
        value_type: Reads the value that is written.
        default: The value where the key is not written; REQUIRED where it must be.
    """

    value_type: ValueType[object]
    default: object


class BuildOptions(Protocol[OptionsT_co]):
    """Makes a subsystem's options of one section."""

    def __call__(
        self, values: dict[str, Any], where: dict[str, LocatedValue], /
    ) -> tuple[OptionsT_co, list[Fault]]:
        """Return the options, and faults that show only between the values of this section.

        Args:
            values: The value of each field, read or its default.
            where: The place of each field; that of the section's header where the key is not written.
        """
        ...


class SectionSchema(NamedTuple, Generic[OptionsT]):
    """What the sections of one name may hold.

    Attributes:
        name: The section's name in the file.
        fields: The section's fields by key.
        build: Makes the subsystem's options of the values.
        labelled: Whether the file has any number of these sections, each with a label behind the name.
    """

    name: str
    fields: dict[str, Field]
    build: BuildOptions[OptionsT]
    labelled: bool = False


class OperatorConfig(NamedTuple):
    """The options of all sections of a file without faults.

    Attributes:
        file: The file's path.
        sections: Section name -> what the schema's `build` made, or {label: that} of a labelled section.
    """

    file: str
    sections: dict[str, Any]

    def get(self, name: str) -> Any:  # noqa: ANN401 - each section's options have a type of their own
        """Return the options of a section, or None where the file does not have it."""
        return self.sections.get(name)


class CheckedFile(NamedTuple):
    """The options of a file, None where it has a fault, and its faults in the order of their lines."""

    config: OperatorConfig | None
    faults: list[Fault]


def check(text: str, file: str, schemas: Iterable[SectionSchema[Any]]) -> CheckedFile:
    """Check a text against the schemas of all sections that it may hold; `file` names it in the faults."""
    sections, faults = parse(text, file)
    schemas_by_name = {schema.name: schema for schema in schemas}
    options_by_section: dict[str, Any] = {}
    for section in sections:
        schema = schemas_by_name.get(section.name)
        if schema is None:
            text = f"[{section.name}]{_suggest(section.name, schemas_by_name)}"
            faults.append(section.header.fault("unknown-section", text))
            continue
        if bool(section.label) != schema.labelled:
            expectation = "wants a name behind it" if schema.labelled else "takes no name"
            faults.append(section.header.fault("label", f"[{section.name}] {expectation}"))
            continue
        options, section_faults = _check_section(section, schema)
        faults += section_faults
        if section_faults:
            continue
        if schema.labelled:
            options_by_section.setdefault(section.name, {})[section.label] = options
        else:
            options_by_section[section.name] = options
    faults.sort(key=lambda fault: (fault.line, fault.column))
    config = None if faults else OperatorConfig(file, options_by_section)
    return CheckedFile(config, faults)


def check_file(path: str | os.PathLike[str], schemas: Iterable[SectionSchema[Any]]) -> CheckedFile:
    """Check a file as `check` does a text; a file that cannot be read has one fault, at line 0."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        return CheckedFile(None, [Fault(str(path), 0, 0, "unreadable", str(error))])
    return check(text, str(path), schemas)


def _check_section(section: Section, schema: SectionSchema[OptionsT]) -> tuple[OptionsT | None, list[Fault]]:
    """Return a section's options and its faults; there are options only if all its values can be read."""
    values, faults = _read_values(section, schema.fields)
    for key, field in schema.fields.items():
        if key in section.values:
            continue
        if field.default is REQUIRED:
            faults.append(section.header.fault("missing-key", f"[{section.name}] wants {key}"))
        values[key] = field.default
    if faults:
        return None, faults
    where = {key: section.values.get(key, section.header) for key in schema.fields}
    return schema.build(values, where)


def _read_values(section: Section, fields: Mapping[str, Field]) -> tuple[dict[str, Any], list[Fault]]:
    """Return the values that are written in a section by key, and the faults of those that cannot be read."""
    values: dict[str, Any] = {}
    faults = []
    for key, written in section.values.items():
        field = fields.get(key)
        if field is None:
            text = f"{key} in [{section.name}]{_suggest(key, fields)}"
            faults.append(written.fault("unknown-key", text))
            continue
        try:
            values[key] = field.value_type.read(written.text)
        except InvalidValueError as error:
            faults.append(written.fault(error.rule, f"{key} {error.text}"))
    return values, faults


def _suggest(name: str, known_names: Iterable[str]) -> str:
    """Return the end of a fault about an unknown name: the nearest known name, or all of them."""
    candidates = list(known_names)
    nearest = difflib.get_close_matches(name, candidates, 1)
    return f"; did you mean {nearest[0]}?" if nearest else f"; known: {', '.join(sorted(candidates))}"
