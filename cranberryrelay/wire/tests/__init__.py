"""Tests of cranberryrelay.wire."""
