"""Who may import whom, read from the sources."""

import ast
import pathlib

import pytest

ROOT = pathlib.Path(__file__).parent.parent / "valeturn"
DECISIONS = {"interface", "rules", "settings"}
# package -> the others that it may import from; the laboratory may use all, and nothing uses it
MAY = {
    "transport": set(),
    "protocol": set(),
    "options": set(),
    "store": {"options", "transport"},
    "levels": {"options", "interface"},
    "metrics": {"options"},
    "control": {"options", "transport"},
    "fleet": {"options", "transport", "control"},
    "turns": {"options", "fleet", "control"},
    "routing": {"transport", "protocol", "interface", "levels", "store"},
    "wirehost": DECISIONS,
}
MAY["program"] = {*MAY, *DECISIONS} - {"program", "wirehost"}


def imported(path):
    """(package of valeturn, line) for each import of a module, those inside functions too."""
    package = ("valeturn", *path.relative_to(ROOT).parts[:-1])
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.level:
            base = package[: len(package) - node.level + 1]
            names = [*base, *(node.module or "").split(".")] if node.module else list(base)
            whole = [names] if len(names) > 1 else [[*names, one.name] for one in node.names]
            for one in whole:
                yield one[1], node.lineno


@pytest.mark.parametrize("package", MAY)
def test_no_package_imports_one_further_up(package):
    files = list((ROOT / package).rglob("*.py"))
    assert files
    for path in files:
        for name, line in imported(path):
            assert name in MAY[package] | {package, "__version__"}, f"{path.relative_to(ROOT)}:{line} {name}"


def test_the_check_sees_what_it_should():
    seen = {name for name, _ in imported(ROOT / "program" / "server.py")}
    assert {"routing", "transport", "rules"} <= seen
    assert "lab" not in {
        name for path in ROOT.rglob("*.py") if "lab" not in path.parts for name, _ in imported(path)
    }
