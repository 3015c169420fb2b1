"""Read the operator's file, an INI text, and check it against the schemas of the subsystems.

Every value keeps its line and column, so that each fault is reported with its position, and all faults at
once. This package is imported only if a server is started with `--settings`.
"""
