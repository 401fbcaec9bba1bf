"""Operators' command line of verbenaworks."""
