"""Checks sections against what the subsystems declare, and reports all faults of a file in one go."""

from __future__ import annotations

import difflib
from typing import NamedTuple

from .grammar import Fault, Value, parse
from .value_types import Wants


class Field(NamedTuple):
    """One key: its kind, and what holds where it is absent. REQUIRED ones must be there."""

    kind: object
    absent: object


REQUIRED = object()


class Shape(NamedTuple):
    """What one kind of section may hold. `build` takes the values by key and `where`, the places of those
    that are written, and returns (what the subsystem uses, more faults)."""

    name: str
    fields: dict
    build: object
    labelled: bool = False


class Options(NamedTuple):
    """All sections of a file that can be used: name -> what `build` returned, or {label: that}."""

    file: str
    sections: dict

    def get(self, name):
        return self.sections.get(name)


def _like(word, known):
    near = difflib.get_close_matches(word, known, 1)
    return f"; did you mean {near[0]}?" if near else f"; known: {', '.join(sorted(known))}"


def check(text, file, shapes):
    """(Options, faults in the order of their lines). Options is None where there is a fault."""
    sections, faults = parse(text, file)
    known, made = {shape.name: shape for shape in shapes}, {}
    for section in sections:
        shape = known.get(section.name)
        if shape is None:
            faults.append(
                section.place.fault("unknown-section", f"[{section.name}]{_like(section.name, known)}")
            )
            continue
        if bool(section.label) != shape.labelled:
            text = f"[{section.name}] " + ("wants a name behind it" if shape.labelled else "takes no name")
            faults.append(section.place.fault("label", text))
            continue
        built, wrong = _section(section, shape)
        faults += wrong
        if not wrong and shape.labelled:
            made.setdefault(section.name, {})[section.label] = built
        elif not wrong:
            made[section.name] = built
    faults.sort(key=lambda fault: (fault.line, fault.column))
    return (None if faults else Options(file, made)), faults


def _section(section, shape):
    values, faults = {}, []
    for key, place in section.values.items():
        field = shape.fields.get(key)
        if field is None:
            faults.append(place.fault("unknown-key", f"{key} in [{section.name}]{_like(key, shape.fields)}"))
            continue
        try:
            values[key] = field.kind.read(place.text)
        except Wants as wants:
            faults.append(place.fault(wants.args[0], f"{key} {wants.args[1]}"))
    for key, field in shape.fields.items():
        if key not in section.values:
            if field.absent is REQUIRED:
                faults.append(section.place.fault("missing-key", f"[{section.name}] wants {key}"))
            values[key] = field.absent
    if faults:
        return None, faults
    where = {key: section.values.get(key, section.place) for key in shape.fields}
    return shape.build(values, where)


def load(path, shapes):
    """As `check`, from a file; what keeps it from being read is a fault of the whole file."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        return None, [Fault(str(path), 0, 0, "unreadable", str(error))]
    return check(text, str(path), shapes)


__all__ = ["Fault", "Field", "Options", "REQUIRED", "Shape", "Value", "check", "load"]
