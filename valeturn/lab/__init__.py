"""The laboratory: stand-ins for the parties a server talks with, scripted gateways, kills, and a checker.

Loopback only. Nothing of it is loaded by a server that serves.
"""
