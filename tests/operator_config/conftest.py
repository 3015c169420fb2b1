"""The options modules of all subsystems, as the server hands them to the loader."""

import pytest

from valeturn.server import components


@pytest.fixture(scope="session")
def options_modules():
    return components.options_modules()


@pytest.fixture(scope="session")
def schemas(options_modules):
    return [module.SCHEMA for module in options_modules.values()]
