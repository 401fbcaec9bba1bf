"""Runs the operators' command line: ``python -m verbena``."""

from verbena.main import main

if __name__ == "__main__":
    main()
