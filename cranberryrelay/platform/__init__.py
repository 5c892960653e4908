"""The platform as the system sees it: object API and instance list."""

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
