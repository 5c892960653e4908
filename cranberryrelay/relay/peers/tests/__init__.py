"""Tests of cranberryrelay.relay.peers."""
