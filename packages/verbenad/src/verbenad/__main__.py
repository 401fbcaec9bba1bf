"""Runs the daemon: ``python -m verbenad``."""

from verbenad.main import main

if __name__ == "__main__":
    main()
