"""The options modules of all subsystems, as the server passes them to the loader, and a valid file."""

import pytest

from valeturn.server import components


@pytest.fixture(scope="session")
def options_modules():
    return components.options_modules()


@pytest.fixture(scope="session")
def schemas(options_modules):
    return [module.SCHEMA for module in options_modules.values()]


@pytest.fixture
def valid_text():
    return """# stored results
[store]
folder = /tmp/kept   ; made where it is missing
disk = 64 MB
retry = 250 ms
"""
