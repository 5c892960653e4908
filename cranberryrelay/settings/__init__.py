"""Loads TOML settings files and checks them before a program starts."""

from cranberryrelay.settings._settings import (
    DEFAULT_ENGINE_SLOTS as DEFAULT_ENGINE_SLOTS,
)
from cranberryrelay.settings._settings import (
    DEFAULT_ENTRY_ADDRESS as DEFAULT_ENTRY_ADDRESS,
)
from cranberryrelay.settings._settings import (
    DEFAULT_METRICS_ADDRESS as DEFAULT_METRICS_ADDRESS,
)
from cranberryrelay.settings._settings import KeyFields as KeyFields
from cranberryrelay.settings._settings import PeerFields as PeerFields
from cranberryrelay.settings._settings import Settings as Settings
from cranberryrelay.settings._settings import SettingsFault as SettingsFault
from cranberryrelay.settings._settings import SettingsFields as SettingsFields
from cranberryrelay.settings._settings import UpstreamFields as UpstreamFields
from cranberryrelay.settings._settings import (
    find_settings_faults as find_settings_faults,
)
from cranberryrelay.settings._settings import load_settings as load_settings
from cranberryrelay.settings._settings import parse_settings as parse_settings
