"""Tests of cranberryrelay.timing."""
