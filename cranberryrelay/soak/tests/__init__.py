"""Tests of cranberryrelay.soak."""
