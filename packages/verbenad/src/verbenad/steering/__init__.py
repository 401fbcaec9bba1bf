"""An entry instance whose settings, servers and peers come from a platform."""
