"""Tests of cranberryrelay.entry."""
