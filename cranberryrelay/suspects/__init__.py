"""Registry of work that is suspected to crash what runs it."""

from cranberryrelay.suspects._suspects import (
    CRASHES_TO_REFUSE as CRASHES_TO_REFUSE,
)
from cranberryrelay.suspects._suspects import (
    SUSPECT_TTL_SECONDS as SUSPECT_TTL_SECONDS,
)
from cranberryrelay.suspects._suspects import SUSPECTS_LIMIT as SUSPECTS_LIMIT
from cranberryrelay.suspects._suspects import SuspectCrash as SuspectCrash
from cranberryrelay.suspects._suspects import SuspectRecord as SuspectRecord
from cranberryrelay.suspects._suspects import SuspectRegistry as SuspectRegistry
