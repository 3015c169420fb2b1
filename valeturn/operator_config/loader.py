"""Load the operator's file with the schemas and checks of the subsystems' options modules.

The caller passes the modules, so that this package imports no subsystem.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Mapping
from typing import Any, Generic, NamedTuple, Protocol, TypeVar, runtime_checkable

from ..errors import ValeturnError
from .reader_process import READ_TIMEOUT_S, ReaderFailure, Receive, Sleep, receive_all, run_reader
from .schema import Fault, OperatorConfig, SectionSchema, check_file

DeploymentT = TypeVar("DeploymentT")
DeploymentT_contra = TypeVar("DeploymentT_contra", contravariant=True)


class OptionsModule(Protocol[DeploymentT_contra]):
    """The interface of a subsystem's options module, which declares its section."""

    @property
    def SCHEMA(self) -> SectionSchema[Any]:  # noqa: N802 - a constant of the module
        """The keys of the section, and how its options are built."""
        ...

    def check_deployment(self, options: Any, deployment: DeploymentT_contra, /) -> list[Fault]:  # noqa: ANN401
        """Return the faults of the options that depend on the deployment's configuration."""
        ...


@runtime_checkable
class ChecksSections(Protocol):
    """The additional interface of an options module whose section depends on other sections."""

    def check_sections(self, options: Any, sections: Mapping[str, Any], /) -> list[Fault]:  # noqa: ANN401
        """Return the faults of the options that depend on the file's other sections."""
        ...


class OperatorConfigError(ValeturnError):
    """The operator's file cannot be used.

    Attributes:
        faults: All faults of the file; the error's text has a line for each.
    """

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = faults


def load(
    path: str | os.PathLike[str],
    deployment: DeploymentT,
    options_modules: Mapping[str, OptionsModule[DeploymentT]],
) -> OperatorConfig:
    """Load a file and check it against the schemas, across its sections and against the configuration.

    Args:
        path: The operator's file.
        deployment: The configuration that is passed to `check_deployment` of each module.
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


class LoadRequest(NamedTuple, Generic[DeploymentT]):
    """The request to a reader process."""

    path: str
    deployment: DeploymentT
    # Called only in the reader process, which imports it by name.
    import_options_modules: Callable[[], Mapping[str, OptionsModule[DeploymentT]]]


def load_in_child_process(
    path: str | os.PathLike[str],
    deployment: DeploymentT,
    import_options_modules: Callable[[], Mapping[str, OptionsModule[DeploymentT]]],
    receive: Receive = receive_all,
    sleep: Sleep = time.sleep,
) -> OperatorConfig:
    """Load a file as `load` does, in a separate process that ends afterwards.

    The memory of the grammar is freed with that process. The event loop of a running server continues in the
    meantime if `receive` and `sleep` yield to it.

    Args:
        path: The operator's file.
        deployment: The configuration that the options are checked against.
        import_options_modules: A function of a module that returns the options modules by section.
        receive: Returns all bytes of a connection up to its end.
        sleep: Waits for so many seconds between two checks whether the process has ended.

    Raises:
        OperatorConfigError: The file cannot be read or has a fault, or the process failed.
    """
    file = os.fspath(path)
    request = LoadRequest(file, deployment, import_options_modules)
    try:
        result = run_reader(request, file, receive, sleep)
    except TimeoutError:
        raise _reader_failed(file, f"its reader has not ended after {READ_TIMEOUT_S:g} s") from None
    except OSError as error:
        raise _reader_failed(file, f"its reader can't be started: {error}") from None
    if isinstance(result, OperatorConfig):
        return result
    if isinstance(result, list):
        raise OperatorConfigError(result)
    if isinstance(result, ReaderFailure):
        raise _reader_failed(file, f"its reader failed: {result.error}")
    raise _reader_failed(file, "its reader ended without a reply")


def _reader_failed(path: str, problem: str) -> OperatorConfigError:
    return OperatorConfigError([Fault(path, 0, 0, "unreadable", problem)])


def load_or_faults(request: LoadRequest[DeploymentT]) -> OperatorConfig | list[Fault]:
    """Return what the reader process sends: the loaded options, or the file's faults."""
    try:
        return load(request.path, request.deployment, request.import_options_modules())
    except OperatorConfigError as error:
        return error.faults
