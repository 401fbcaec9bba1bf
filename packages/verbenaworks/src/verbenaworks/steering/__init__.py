"""Decisions of an entry instance whose settings come from a platform.

The operator's document, backend servers and instances arrive as changes; the
parts here decide which request may run, where it runs, and which instances
callers should use. Nothing here opens a socket or reads a clock.
"""
