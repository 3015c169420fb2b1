"""The operator's own file: an INI text read by a grammar, each value with its place, checked by schemas that
the subsystems bring along. Without `--settings` nothing of this is loaded."""
