"""Runs admission controllers for the simulator: JSON lines on stdin and stdout; makes no decisions."""
