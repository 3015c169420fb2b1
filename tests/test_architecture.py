"""Every name on `docs/architecture.md` is one in the code."""

from __future__ import annotations

import ast
import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parent.parent
PACKAGE = ROOT / "valeturn"
PAGE = (ROOT / "docs" / "architecture.md").read_text()
NAMES = sorted(set(re.findall(r"`([^`\n]+)`", PAGE)))
# What stands in backticks and names no code: commands, their words, and sections of the operator's file.
NO_CODE = re.compile(r"python -m .*|fleet|status|store|\[\w+\]|this type")


def members() -> dict[str, set[str]]:
    """Return each class of the package with the methods that it defines."""
    found: dict[str, set[str]] = {}
    for path in PACKAGE.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ClassDef):
                methods = {one.name for one in node.body if isinstance(one, ast.FunctionDef)}
                found.setdefault(node.name, set()).update(methods)
    return found


MEMBERS = members()


def is_known(name: str) -> bool:
    """Return whether a name of the page is a file, a folder, a class or a method."""
    if "/" in name:
        return (PACKAGE / name).exists() or (ROOT / name).exists()
    owner, _, method = name.partition(".")
    return owner in MEMBERS and (not method or method in MEMBERS[owner])


@pytest.mark.parametrize("name", [name for name in NAMES if not NO_CODE.fullmatch(name)])
def test_name_on_the_page_is_one_in_the_code(name: str) -> None:
    assert is_known(name)


@pytest.mark.parametrize("name", ["cluster/nothing.py", "NoSuchClass", "Server.no_such_method"])
def test_unknown_name_is_found(name: str) -> None:
    assert not is_known(name)


def test_page_names_every_package() -> None:
    packages = {path.parent.name for path in PACKAGE.glob("*/__init__.py")}
    assert {name for name in packages if f"{name}/" not in PAGE} == set()
