"""Small stand-ins for the external systems that verbenaworks depends on.

They are a key-value store, the platform's instance list, backend servers and
network links with delays, and most can simulate failures. The package also
has a load generator. Tests, the demo and measurements use it; the product
never imports it.
"""
