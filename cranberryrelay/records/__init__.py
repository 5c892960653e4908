"""Encodes and decodes named tuples as JSON objects."""

from cranberryrelay.records._records import Record as Record
from cranberryrelay.records._records import decode_record as decode_record
from cranberryrelay.records._records import encode_record as encode_record
