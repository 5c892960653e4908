"""Each fault in a settings file is reported under its key."""

from pathlib import Path
from unittest import TestCase

from nose2.tools import params

from cranberryrelay.codes import ResultCode
from cranberryrelay.settings import load_settings, parse_settings

EXAMPLE = Path('examples/instance-1.toml').read_text()


class SettingsTest(TestCase):
    """The example is valid; each altered copy yields the expected fault."""

    def test_example(self) -> None:
        settings = parse_settings(EXAMPLE).unwrap()
        self.assertEqual(settings.own_instance.domain, 'sofia-1')

    @params(
        (
            'instance = "instance-1"\nplatform',
            'instance = "other"\nplatform',
            'instance: ',
        ),
        ('platform =', 'plattform =', 'plattform: unknown'),
        ('platform = "http://127.0.0.1:7100"', '', 'platform: missing'),
        ('"127.0.0.1:8001"', '"8001"', 'entry_address: use IP:port'),
        ('"127.0.0.1:7301"', '"127.0.0.1:99999"', 'upstreams[0].address'),
        ('sort = "engine"', 'sort = "motor"', 'upstreams[0].sort'),
        ('domain = "sofia-2"', 'domain = "x"', 'peers[1].domain'),
        ('engine_slots = 16', 'engine_slots = "x"', 'engine_slots: '),
    )
    def test_fault(self, old: str, new: str, expected: str) -> None:
        failures = parse_settings(EXAMPLE.replace(old, new)).unwrap_err()
        codes = {failure.code for failure in failures}
        self.assertEqual(codes, {ResultCode.SETTINGS_INVALID})
        details = [failure.detail for failure in failures]
        self.assertTrue(
            any(detail.startswith(expected) for detail in details), details
        )

    def test_all_faults_at_once(self) -> None:
        text = EXAMPLE.replace('"8001"', '"x"').replace('sort', 'kind')
        self.assertGreater(len(parse_settings(text).unwrap_err()), 3)

    def test_missing_file(self) -> None:
        failures = load_settings('nowhere.toml').unwrap_err()
        self.assertIs(failures[0].code, ResultCode.SETTINGS_UNREADABLE)
