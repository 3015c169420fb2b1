"""The server program: configuration, startup and shutdown, log, counters, status and command line."""
