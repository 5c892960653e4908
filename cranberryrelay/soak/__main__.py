"""Runs the soak's command line."""

from cranberryrelay.soak import main

main()
