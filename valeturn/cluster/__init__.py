"""Servers that may talk to each other: who is there (membership), and messages between them.

Off unless the operator's file has [fleet]. Decisions stand in modules without I/O; links come to them as
values. docs/design/one-owner.md has the ways weighed and the order in which it is built.
"""
