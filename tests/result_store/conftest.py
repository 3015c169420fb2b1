"""Fixtures of the result store's tests."""

import pytest
from memory_disk import Machine


@pytest.fixture
def machine():
    return Machine()
