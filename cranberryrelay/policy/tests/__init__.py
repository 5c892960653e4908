"""Tests of cranberryrelay.policy."""
