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

REQUIRED: Final = object()  # the default of a field that the file must contain


class Field(NamedTuple):
    """One key of a section.

    Attributes:
        value_type: Parses the value's text.
        default: The value if the file lacks the key; REQUIRED if it must have it.
    """

    value_type: ValueType[object]
    default: object


class BuildOptions(Protocol[OptionsT_co]):
    """Builds a subsystem's options from one section."""

    def __call__(
        self, values: dict[str, Any], where: dict[str, LocatedValue], /
    ) -> tuple[OptionsT_co, list[Fault]]:
        """Return the options, and faults of the section's values in combination.

        Args:
            values: The value of each field, as parsed or its default.
            where: The position of each field; that of the section's header if the file lacks the key.
        """
        ...


class SectionSchema(NamedTuple, Generic[OptionsT]):
    """The schema of the sections of one name.

    Attributes:
        name: The section's name in the file.
        fields: The section's fields by key.
        build: Builds the subsystem's options from the values.
        labelled: Whether the file may have several of these sections, each with a label after the name.
    """

    name: str
    fields: dict[str, Field]
    build: BuildOptions[OptionsT]
    labelled: bool = False


class OperatorConfig(NamedTuple):
    """The options of all sections of a file without faults.

    Attributes:
        file: The file's path.
        sections: Section name -> the options that the schema's `build` returned; for labelled sections a
            dictionary of them by label.
    """

    file: str
    sections: dict[str, Any]

    def get(self, name: str) -> Any:  # noqa: ANN401 - each section has its own type
        """Return the options of a section, or None if the file does not have it."""
        return self.sections.get(name)


class CheckedFile(NamedTuple):
    """The options of a file, None if it has a fault, and its faults in the order of their lines."""

    config: OperatorConfig | None
    faults: list[Fault]


def check(text: str, file: str, schemas: Iterable[SectionSchema[Any]]) -> CheckedFile:
    """Check a text against the schemas of all sections that it may have; `file` names it in the faults."""
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
            expectation = "wants a name after it" if schema.labelled else "takes no name"
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
    """Return a section's options and its faults; no options if a value can't be parsed or is missing."""
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
    """Return a section's values by key, and the faults of unknown keys and invalid values."""
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
    """Return the end of a message about an unknown name: the most similar known name, or all known names."""
    candidates = list(known_names)
    nearest = difflib.get_close_matches(name, candidates, 1)
    return f"; did you mean {nearest[0]}?" if nearest else f"; known: {', '.join(sorted(candidates))}"
