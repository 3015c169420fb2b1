"""Load the operator's file with the schemas and checks of the subsystems' options modules.

The modules are handed in by the caller, so that this package imports no subsystem.
"""

from __future__ import annotations

import os
import pickle
import socket
from collections.abc import Callable, Mapping
from typing import Any, Protocol, TypeVar, runtime_checkable

from ..errors import ValeturnError
from .schema import Fault, OperatorConfig, SectionSchema, check_file

RECEIVE_BYTES = 65536  # of one read from the child process: a whole file's options in one or two reads

DeploymentT = TypeVar("DeploymentT")
DeploymentT_contra = TypeVar("DeploymentT_contra", contravariant=True)


class OptionsModule(Protocol[DeploymentT_contra]):
    """What a subsystem's options module declares of its section."""

    @property
    def SCHEMA(self) -> SectionSchema[Any]:  # noqa: N802 - a constant of the module
        """The keys of the section, and how its options are built."""
        ...

    def check_deployment(self, options: Any, deployment: DeploymentT_contra, /) -> list[Fault]:  # noqa: ANN401
        """Return the faults of the section's options that show only with the deployment's configuration."""
        ...


@runtime_checkable
class ChecksSections(Protocol):
    """What an options module may declare besides, if its section depends on others."""

    def check_sections(self, options: Any, sections: Mapping[str, Any], /) -> list[Fault]:  # noqa: ANN401
        """Return the faults of the section's options that show only with all sections of the file."""
        ...


class OperatorConfigError(ValeturnError):
    """The operator's file cannot be used.

    Attributes:
        faults: Everything that is wrong with it; the error's text has a line for each.
    """

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = faults


def load(
    path: str | os.PathLike[str],
    deployment: DeploymentT,
    options_modules: Mapping[str, OptionsModule[DeploymentT]],
) -> OperatorConfig:
    """Return the options of a file that fit together and with the deployment's configuration.

    Args:
        path: The operator's file.
        deployment: The configuration that `check_deployment` of each module is given.
        options_modules: Section name -> the options module of its subsystem.

    Raises:
        OperatorConfigError: The file cannot be read or has a fault.
    """
    config, faults = check_file(path, [module.SCHEMA for module in options_modules.values()])
    if config is None:
        raise OperatorConfigError(faults)
    for name, options in config.sections.items():
        faults += options_modules[name].check_deployment(options, deployment)
    for name, options in config.sections.items():
        module = options_modules[name]
        if isinstance(module, ChecksSections):
            faults += module.check_sections(options, config.sections)
    if faults:
        raise OperatorConfigError(faults)
    return config


def receive_all(connection: socket.socket) -> bytes:
    """Return all bytes up to the end of the stream; blocks until then."""
    chunks = []
    while chunk := connection.recv(RECEIVE_BYTES):
        chunks.append(chunk)
    return b"".join(chunks)


def load_in_child_process(
    path: str | os.PathLike[str],
    deployment: DeploymentT,
    import_options_modules: Callable[[], Mapping[str, OptionsModule[DeploymentT]]],
    receive: Callable[[socket.socket], bytes] = receive_all,
) -> OperatorConfig:
    """Load a file as `load` does, in a forked process that ends with it.

    The memory of the grammar goes with that process. A running server's event loop goes on meanwhile where
    `receive` yields to it.

    Args:
        path: The operator's file.
        deployment: The configuration that the options are checked against.
        import_options_modules: Returns the options modules by section; called in the child process only.
        receive: Returns all bytes of a connection up to its end.

    Raises:
        OperatorConfigError: The file cannot be read or has a fault, or the child process failed.
    """
    parent_end, child_end = socket.socketpair()
    child = os.fork()
    if child == 0:
        try:
            child_end.sendall(pickle.dumps(_load_or_faults(path, deployment, import_options_modules)))
        finally:
            os._exit(0)  # also after an error: nothing of the parent's may run in the child
    child_end.close()
    with parent_end:
        data = receive(parent_end)
    os.waitpid(child, 0)
    try:
        result = pickle.loads(data)
    except (EOFError, pickle.UnpicklingError):
        result = [Fault(str(path), 0, 0, "unreadable", "its reader ended without a word")]
    if isinstance(result, OperatorConfig):
        return result
    raise OperatorConfigError(result)


def _load_or_faults(
    path: str | os.PathLike[str],
    deployment: DeploymentT,
    import_options_modules: Callable[[], Mapping[str, OptionsModule[DeploymentT]]],
) -> OperatorConfig | list[Fault]:
    """Return what the child process sends: the loaded options, or the file's faults."""
    try:
        return load(path, deployment, import_options_modules())
    except OperatorConfigError as error:
        return error.faults
