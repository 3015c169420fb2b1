"""Machines go out for work in an order that the servers settle among themselves, on top of `cluster`.

`order` decides at the owner who goes next, `place` at each server what it does about that; both without I/O.
docs/design/turns.md has the ways weighed.
"""
