"""Steering decisions of an instance whose settings come from a platform.

The operator's document, backend servers and instances arrive as changes. The
modules of this package decide which request may run, where it runs, and which
instances callers should use. They open no sockets and read no clocks.
"""
