"""Decides for every request whether, when and how it runs; no I/O.

`controller` decides, `interface` has the events, actions and settings it is called with, `settings` decodes
the settings from the configuration.
"""
