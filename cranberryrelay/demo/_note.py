"""The demo's release note and its amended version."""

from typing import Final

NOTE_TEXT: Final = """
note = "newsroom"
summary = "Models, kinds of work and callers of the newsroom"

[set.models.digest]
cell = "newsroom"
version = "1"
adapters = ["teaser", "tags"]

[set.ranks.urgent]
level = 1
floor = 0.5

[set.ranks.planned]
level = 2
floor = 0.3

[set.ranks.overnight]
level = 3
floor = 0.1

[set.kinds.teaser]
model = "digest"
adapter = "teaser"
rank = "urgent"
first_token_ms = 1300

[set.kinds.tags]
model = "digest"
adapter = "tags"
rank = "planned"

[set.kinds.overnight-digest]
model = "digest"
rank = "overnight"
first_token_ms = 60000

[set.callers.builders-desk]
# The bearer token is "builders".
token_sha256 = [
  "a68dea7509a7f2dec7aef083c10c45c17f50dd1e625e310a241434762c84cb15",
]
kinds = ["teaser", "tags", "overnight-digest"]
services = ["subscriptions"]

[set.services.subscriptions]
once = ["POST /renewals"]

[set.limits.request]
body_bytes = 200000
request_ms = 60000
"""

NOTE_TEXT_AMENDED: Final = NOTE_TEXT.replace('floor = 0.3', 'floor = 0.35')
