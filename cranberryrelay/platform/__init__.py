"""Adapter to the outside platform.

Decodes the platform's settings file, store records and HTTP headers into the
project's own types, and calls its object API, its store and its engines.
"""

from cranberryrelay.platform._boot import find_boot_path as find_boot_path
from cranberryrelay.platform._boot import (
    parse_boot_settings as parse_boot_settings,
)
from cranberryrelay.platform._boot import read_boot_text as read_boot_text
from cranberryrelay.platform._dialect import TargetDialect as TargetDialect
from cranberryrelay.platform._engine_control import (
    TargetEngineControl as TargetEngineControl,
)
from cranberryrelay.platform._engine_control import (
    open_engine_control as open_engine_control,
)
from cranberryrelay.platform._http_object_api import (
    HttpObjectApi as HttpObjectApi,
)
from cranberryrelay.platform._http_object_api import (
    open_object_api as open_object_api,
)
from cranberryrelay.platform._object_api import ENTRY_SORT as ENTRY_SORT
from cranberryrelay.platform._object_api import (
    VALUE_BYTES_LIMIT as VALUE_BYTES_LIMIT,
)
from cranberryrelay.platform._object_api import ListedInstance as ListedInstance
from cranberryrelay.platform._object_api import ObjectApi as ObjectApi
from cranberryrelay.platform._object_api import StoredObject as StoredObject
from cranberryrelay.platform._record_decoding import (
    CONFIGURATION_KIND as CONFIGURATION_KIND,
)
from cranberryrelay.platform._record_decoding import (
    CONFIGURATION_NAME as CONFIGURATION_NAME,
)
from cranberryrelay.platform._record_decoding import (
    UPSTREAM_KIND as UPSTREAM_KIND,
)
from cranberryrelay.platform._record_decoding import (
    decode_configuration as decode_configuration,
)
from cranberryrelay.platform._record_decoding import (
    decode_upstream as decode_upstream,
)
from cranberryrelay.platform._target_store import TargetStore as TargetStore
from cranberryrelay.platform._target_store import (
    open_target_store as open_target_store,
)
