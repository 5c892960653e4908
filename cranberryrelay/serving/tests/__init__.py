"""Tests of cranberryrelay.serving."""
