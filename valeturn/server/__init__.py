"""The program round the rest: configuration, log, counters, command line."""
