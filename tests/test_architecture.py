"""Every code name in `docs/architecture.md` exists in the code, and the page names every package."""

from __future__ import annotations

import ast
import pathlib
import re

import pytest

REPOSITORY = pathlib.Path(__file__).parent.parent
PACKAGE_FOLDER = REPOSITORY / "valeturn"
PAGE = (REPOSITORY / "docs" / "architecture.md").read_text()
NAMES = sorted(set(re.findall(r"`([^`\n]+)`", PAGE)))
# Texts in backticks that name no code: commands, their words, and sections of the operator's file.
NOT_CODE = re.compile(r"python -m .*|fleet|status|store|\[\w+\]|this type")


def methods_by_class() -> dict[str, set[str]]:
    """Return each class name of the package with the methods that the class defines."""
    found: dict[str, set[str]] = {}
    for path in PACKAGE_FOLDER.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ClassDef):
                methods = {
                    statement.name for statement in node.body if isinstance(statement, ast.FunctionDef)
                }
                found.setdefault(node.name, set()).update(methods)
    return found


METHODS_BY_CLASS = methods_by_class()


def exists_in_code(name: str) -> bool:
    """Return whether a name is an existing file, folder, class or method."""
    if "/" in name:
        return (PACKAGE_FOLDER / name).exists() or (REPOSITORY / name).exists()
    class_name, _, method = name.partition(".")
    return class_name in METHODS_BY_CLASS and (not method or method in METHODS_BY_CLASS[class_name])


@pytest.mark.parametrize("name", [name for name in NAMES if not NOT_CODE.fullmatch(name)])
def test_name_on_architecture_page_exists_in_code(name: str) -> None:
    assert exists_in_code(name)


@pytest.mark.parametrize("name", ["cluster/nothing.py", "NoSuchClass", "Server.no_such_method"])
def test_unknown_name_is_detected(name: str) -> None:
    assert not exists_in_code(name)


def test_architecture_page_names_every_package() -> None:
    packages = {path.parent.name for path in PACKAGE_FOLDER.glob("*/__init__.py")}
    assert {name for name in packages if f"{name}/" not in PAGE} == set()
