"""Tests of cranberryrelay.measure."""
