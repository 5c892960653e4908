"""Tests of cranberryrelay.settings."""
