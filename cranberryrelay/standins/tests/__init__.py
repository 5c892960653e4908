"""Tests of cranberryrelay.standins."""
