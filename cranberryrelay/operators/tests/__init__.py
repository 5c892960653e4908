"""Tests of cranberryrelay.operators."""
