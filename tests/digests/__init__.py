"""Drivers that feed generated input to each decision machine; see `tests/test_decision_digests.py`."""
