"""Read the operator's file, an INI text, and check it against the schemas of the subsystems.

Every value keeps its line and column, so that each fault names its place and all faults are reported at once.
Nothing of this package is loaded unless a server is started with `--settings`.
"""
