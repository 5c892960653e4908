"""Tests of the target platform's settings, store records and headers."""

from typing import Any, NamedTuple
from unittest import TestCase

from nose2.tools import params

from cranberryrelay.codes import ResultCode
from cranberryrelay.platform import (
    TargetDialect,
    decode_configuration,
    decode_upstream,
    parse_boot_settings,
)
from cranberryrelay.relay import (
    IncomingRequest,
    KindRecord,
    KvSource,
    RequestKind,
    Role,
    StorePosition,
    UpstreamCall,
)

BOOT = """
node_name = "front-a-1"
ip = "10.1.0.38"
zone = "a"
port_range = [7380, 7395]
seeds = ["10.1.0.38:8144"]
unknown_key = 1
[zones]
a = "r"
b = "r"
[listen]
front = "10.1.0.38:8149"
ready = "10.1.0.38:8141"
[platform]
address = "10.200.1.7:8142"
[bounds]
drain_ms = 2500
"""
RECORD = {
    'service': 's',
    'address': '10.0.0.9:8080',
    'zone': 'a',
    'slots': 64,
    'state': 'ready',
    'stage': 'decode',
    'born': 17,
}
ROUTE = {
    'name': 'r',
    'host': 'A.example',
    'path_prefix': '/x/',
    'kind': 'streaming',
    'service': 's',
}


class BootCase(NamedTuple):
    """An invalid change of the settings file and the expected failure."""

    name: str
    old: str
    new: str
    code: ResultCode
    detail: str


BOOT_CASES = (
    BootCase(
        'wrong type',
        'zone = "a"',
        'zone = 7',
        ResultCode.SETTINGS_INVALID,
        'zone',
    ),
    BootCase(
        'missing key',
        'ip = "10.1.0.38"',
        '',
        ResultCode.SETTINGS_INVALID,
        'ip',
    ),
    BootCase('syntax', '[zones]', '[zones', ResultCode.SETTINGS_UNREADABLE, ''),
)


class BootTest(TestCase):
    """Parsing of the settings file."""

    def test_valid_settings(self) -> None:
        settings = parse_boot_settings(BOOT).unwrap()
        self.assertEqual(settings.bounds.drain_seconds, 2.5)
        self.assertEqual(settings.domains, ('a', 'b'))
        self.assertEqual(settings.seed_ips, ('10.1.0.38',))

    @params(*((case,) for case in BOOT_CASES))
    def test_invalid_settings(self, case: BootCase) -> None:
        parsed = parse_boot_settings(BOOT.replace(case.old, case.new))
        failure = parsed.unwrap_err()
        self.assertIs(failure.code, case.code)
        self.assertIn(case.detail, failure.detail)


class RecordCase(NamedTuple):
    """A change of an upstream's record and its role; None if invalid."""

    name: str
    change: dict[str, Any]
    role: Role | None


RECORD_CASES = (
    RecordCase('good', {}, Role.DECODE),
    RecordCase('plain', {'stage': ''}, Role.PLAIN),
    RecordCase('unknown state', {'state': 'asleep'}, None),
    RecordCase('unknown stage', {'stage': 'both'}, None),
    RecordCase('wrong type', {'slots': 'many'}, None),
    RecordCase('no port', {'address': '10.0.0.9'}, None),
    RecordCase('no service', {'service': None}, None),
)


class RecordTest(TestCase):
    """Decoding of upstream records and of the configuration."""

    @params(*((case,) for case in RECORD_CASES))
    def test_upstream_records(self, case: RecordCase) -> None:
        record = KindRecord(
            'i-1', StorePosition(1, 5), {**RECORD, **case.change}
        )
        upstream = decode_upstream(record).ok()
        self.assertEqual(upstream and upstream.role, case.role)

    def test_value_that_is_no_object_is_invalid(self) -> None:
        self.assertTrue(
            decode_upstream(KindRecord('i', StorePosition(1, 1), 'x')).is_err()
        )

    def test_longest_prefix_wins(self) -> None:
        routes = [ROUTE, {**ROUTE, 'name': 'long', 'path_prefix': '/x/y/'}]
        value = {'version': 7, 'routes': routes, 'services': [{'name': 's'}]}
        table = decode_configuration(value).unwrap()
        found = table.find('a.example', '/x/y/z')
        assert found is not None
        self.assertEqual((table.revision, found.name), (7, 'long'))
        self.assertIs(found.kind, RequestKind.STREAM)
        self.assertIsNone(table.find('b.example', '/x/y/z'))

    def test_invalid_configuration(self) -> None:
        self.assertTrue(decode_configuration({'version': 'x'}).is_err())


CALLER_HEADERS = (
    (b'Host', b'a.example'),
    (b'X-Cranberryrelay-Request-Id', b'r1'),
    (b'X-Cranberryrelay-Deadline-Ms', b'4000'),
    (b'X-Cranberryrelay-Model', b'm'),
    (b'X-Cranberryrelay-Token-Count', b'1460,80'),
    (b'X-Cranberryrelay-Prompt-Prefix', b'a1:800,b2:410,c3:250'),
    (b'X-Cranberryrelay-Kv-Source', b'10.0.0.1:1/stolen'),
    (b'X-Cranberryrelay-Kv-Hold', b'h'),
    (b'X-Cranberryrelay-Stage', b'prefill'),
    (b'X-Cranberryrelay-Expect-Instance', b'other'),
    (b'Connection', b'X-Once'),
    (b'X-Once', b'1'),
    (b'X-Kept', b'1'),
    (b'Last-Event-Id', b'3'),
)


def make_arrival() -> IncomingRequest:
    arrival = IncomingRequest(
        request_id='',
        method='POST',
        target='/x/',
        path='/x/',
        host='a.example',
        headers=CALLER_HEADERS,
        body=b'',
        timeout_seconds=None,
        arrived_at=0,
        last_event_number=None,
        model_request=None,
    )
    return TargetDialect().parse_request(arrival)


class DialectTest(TestCase):
    """Translation of request headers."""

    def test_describe(self) -> None:
        arrival = make_arrival()
        assert arrival.model_request is not None
        self.assertEqual(arrival.request_id, 'r1')
        self.assertEqual(arrival.timeout_seconds, 4)
        self.assertEqual(arrival.last_event_number, 3)
        self.assertEqual(arrival.model_request.prompt_tokens, 1460)
        self.assertEqual(len(arrival.model_request.shared_segments()), 2)

    def test_internal_headers_of_callers_are_removed(self) -> None:
        call = UpstreamCall(make_arrival(), 'i-1', '10.0.0.9:1', 2.5)
        headers = dict(TargetDialect().make_call_headers(call))
        for name in (
            b'X-Cranberryrelay-Kv-Source',
            b'X-Cranberryrelay-Kv-Hold',
            b'X-Cranberryrelay-Stage',
            b'X-Once',
            b'Connection',
        ):
            self.assertNotIn(name, headers)
        self.assertEqual(headers[b'X-Kept'], b'1')
        self.assertEqual(headers[b'Last-Event-Id'], b'3')
        self.assertEqual(headers[b'X-Cranberryrelay-Expect-Instance'], b'i-1')
        self.assertEqual(headers[b'X-Cranberryrelay-Deadline-Ms'], b'2500')

    def test_internal_headers_of_a_call(self) -> None:
        call = UpstreamCall(
            make_arrival(),
            'i-1',
            '10.0.0.9:1',
            1,
            engine_priority=1,
            source=KvSource('10.0.0.8:1', 'h9'),
            backup_address='10.0.0.7:1',
            resume_after=5,
        )
        headers = TargetDialect().make_call_headers(call)
        self.assertIn(
            (b'X-Cranberryrelay-Kv-Source', b'10.0.0.8:1/h9'), headers
        )
        self.assertIn((b'X-Cranberryrelay-Kv-Backup', b'10.0.0.7:1'), headers)
        self.assertIn((b'Last-Event-Id', b'5'), headers)
        self.assertNotIn((b'Last-Event-Id', b'3'), headers)

    # Guards against missing what an upstream says of itself, or reading it into
    # a value that does not say it.
    @params((b'1', True), (b' 1 ', True), (b'0', False), (b'', False))
    def test_leaving_upstream(self, value: bytes, leaving: bool) -> None:
        headers = [(b'server-leaving', value)]
        metadata = TargetDialect().parse_response(200, headers)
        self.assertEqual(metadata.leaving, leaving)

    # Guards against overlooking that an upstream asks for rest, and against
    # taking for it what a status or value does not say.
    @params(
        (503, b'3', 3.0),
        (503, b'0.5', 0.5),
        (503, b'', None),
        (503, b'-1', None),
        (503, b'Wed, 21 Oct 2026 07:28:00 GMT', None),
        (200, b'3', None),
        (429, b'3', None),
    )
    def test_resting_upstream(
        self, status: int, value: bytes, seconds: float | None
    ) -> None:
        headers = [(b'Retry-After', value)]
        metadata = TargetDialect().parse_response(status, headers)
        self.assertEqual(metadata.rest_seconds, seconds)
