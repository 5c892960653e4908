"""Tests of cranberryrelay.steward."""
