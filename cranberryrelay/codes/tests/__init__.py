"""Tests of cranberryrelay.codes."""
