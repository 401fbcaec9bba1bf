"""Entry instances that get settings, servers and peers from a platform."""
