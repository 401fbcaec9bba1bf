"""Small stand-ins for the outside systems that verbenaworks meets.

A key-value store, the platform's instance list, backend servers and delayed
links, each with switches for its failures, and a load tool. Tests, the demo
and measurements use them; the product never imports them.
"""
