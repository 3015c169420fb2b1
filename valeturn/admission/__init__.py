"""Decides for every submission whether, when and how it runs. Performs no I/O and reads no clock.

`interface` defines the settings, events and actions, `controller` makes the decisions, and `settings` decodes
the settings from the configuration.
"""
