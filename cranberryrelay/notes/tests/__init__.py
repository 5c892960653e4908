"""Tests of cranberryrelay.notes."""
