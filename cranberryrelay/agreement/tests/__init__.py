"""Tests of cranberryrelay.agreement."""
