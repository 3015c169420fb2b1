"""The cluster of servers: membership, Raft consensus, singleton tasks and quotas of calls.

Off unless the operator's file has [fleet]. Decisions are in modules without I/O, which receive messages and
the time as values. docs/design/one-owner.md describes the alternatives and the structure.
"""
