"""Connects sockets to the admission controller.

One task, the dispatcher, owns the controller; all other tasks reach it through the dispatcher's queue.
"""
