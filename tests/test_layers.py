"""Each package imports only from the packages of lower layers, as read from the sources."""

import ast
import pathlib
from collections.abc import Iterator

import pytest

PACKAGE_FOLDER = pathlib.Path(__file__).parent.parent / "valeturn"
INTERFACE_MODULE = "admission.interface"
ADMISSION_MODULES = {"admission.controller", INTERFACE_MODULE, "admission.settings"}
# Package -> the other packages that it may import from. The modules of `admission` are listed one by one, as
# most packages use only its types. `lab` may import every package, and no package imports `lab`.
ALLOWED_IMPORTS = {
    "transport": set(),
    "protocol": set(),
    "operator_config": set(),
    "admission": set(),
    "result_store": {"operator_config", "transport"},
    "degradation": {"operator_config", INTERFACE_MODULE},
    "metrics": {"operator_config"},
    "control": {"operator_config", "transport"},
    "cluster": {"operator_config", "transport", "control"},
    "maintenance": {"operator_config", "cluster", "control"},
    "dispatch": {"transport", "protocol", INTERFACE_MODULE, "degradation", "result_store"},
    "simulator_adapter": ADMISSION_MODULES,
}
ALLOWED_IMPORTS["server"] = {*ALLOWED_IMPORTS, *ADMISSION_MODULES} - {"simulator_adapter"}


def imports_of(path: pathlib.Path) -> Iterator[tuple[str, int]]:
    """Yield (package of valeturn, line) for each relative import, including those inside functions.

    A module of `admission` is yielded as `admission.<module>`.
    """
    package = ("valeturn", *path.relative_to(PACKAGE_FOLDER).parts[:-1])
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom) or not node.level:
            continue
        parts = list(package[: len(package) - node.level + 1])
        if node.module:
            parts += node.module.split(".")
        modules = [parts] if len(parts) > 1 else [[*parts, alias.name] for alias in node.names]
        for module in modules:
            if module[1] != "admission":
                yield module[1], node.lineno
            elif len(module) > 2:
                yield f"admission.{module[2]}", node.lineno
            else:
                for alias in node.names:
                    yield f"admission.{alias.name}", node.lineno


@pytest.mark.parametrize("package", ALLOWED_IMPORTS)
def test_package_imports_only_allowed_packages(package: str) -> None:
    paths = list((PACKAGE_FOLDER / package).rglob("*.py"))
    assert paths
    for path in paths:
        for name, line in imports_of(path):
            is_own = name == package or name.startswith(package + ".")
            is_allowed = is_own or name in ALLOWED_IMPORTS[package] | {"__version__", "errors"}
            assert is_allowed, f"{path.relative_to(PACKAGE_FOLDER)}:{line} {name}"


def test_every_package_except_lab_is_listed() -> None:
    packages = {path.parent.name for path in PACKAGE_FOLDER.glob("*/__init__.py")}
    assert packages - {"lab"} == set(ALLOWED_IMPORTS)


def test_imports_are_detected_and_none_is_of_lab() -> None:
    packages = {name for name, _ in imports_of(PACKAGE_FOLDER / "server" / "server.py")}
    assert {"dispatch", "transport", "admission.controller"} <= packages
    paths_outside_lab = [path for path in PACKAGE_FOLDER.rglob("*.py") if "lab" not in path.parts]
    assert "lab" not in {name for path in paths_outside_lab for name, _ in imports_of(path)}
