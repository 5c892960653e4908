"""Remembers which version of the engines' software began each stream.

A stream may go on only at engines of the version that began it. A client may
take its stream up at any instance, so while engines of several versions serve,
the instances tell each other which version began which stream. Nothing is sent
while all engines of a service have one version. An instance that has started
learns from the store or a peer which versions served before; until then it does
not take a single version for the only one.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from result import Err, Ok, Result

from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.relay._catalogue import Upstream
from cranberryrelay.relay._hashing import digest_text
from cranberryrelay.relay._requests import IncomingRequest

# A stream is remembered for this long after it began, and a version after its
# last engine was seen: longer than clients wait for a stream.
RETAINED_SECONDS: Final = 60.0

# Interval at which the versions in service are recorded.
OBSERVE_SECONDS: Final = 1.0

# Rate at which all instances together announce streams. At about ten bytes each
# an instance receives less than 8 KB a second. Beyond the rate, other instances
# refuse to resume some streams.
ANNOUNCED_PER_SECOND: Final = 600.0

# Most streams that an instance which has just started is told of.
SUMMARY_LIMIT: Final = 2000


class AnnouncedStreams(NamedTuple):
    """Streams that engines of one version have begun, as told to peers."""

    # Service of the engines.
    service: str

    # Software version of the engines.
    version: str

    # Digests of the request ids that began the streams.
    digests: list[int]


class StreamSummary(NamedTuple):
    """What an instance that has just started is told about streams."""

    # The newest streams.
    streams: list[AnnouncedStreams]

    # Software versions that served recently, by service.
    versions: dict[str, list[str]]


class BegunStream(NamedTuple):
    """A stream that an engine has begun."""

    # Service of the engine.
    service: str

    # Software version of the engine.
    version: str

    # When this instance learned of it, on the local clock.
    recorded_at: float


class StreamVersions:
    """Streams by digest of the request id that began them."""

    def __init__(self) -> None:
        self.streams: dict[int, BegunStream] = {}
        self.unannounced: list[int] = []

        # Whether this instance knows the versions that served before it
        # started.
        self.informed = True
        self.last_seen: dict[str, dict[str, float]] = {}
        self.observed_at = float('-inf')
        self.allowance = float(0)
        self.allowance_at = float('-inf')

    def begin(self) -> None:
        """Treat streams as unknown until told which versions served."""
        self.informed = False

    def known_versions(self) -> dict[str, list[str]]:
        """Return the versions that served recently, by service."""
        return {
            service: sorted(versions)
            for service, versions in self.last_seen.items()
        }

    def apply_summary(self, summary: StreamSummary, now: float) -> None:
        """Record what an earlier instance or a peer knew."""
        for service, versions in summary.versions.items():
            seen = self.last_seen.setdefault(service, {})
            for version in versions:
                seen.setdefault(version, now)
        self.apply_announced(summary.streams, now)

    def record_begun(
        self, stream_id: str, engine: Upstream, now: float
    ) -> None:
        """Record a stream whose first event an engine sent to this instance."""
        digest = digest_text(stream_id)
        if digest in self.streams:
            return
        self.streams[digest] = BegunStream(
            engine.service, engine.software_version, now
        )
        self.unannounced.append(digest)

    def apply_announced(
        self, announced: Iterable[AnnouncedStreams], now: float
    ) -> None:
        """Record streams that a peer announced."""
        for group in announced:
            stream = BegunStream(group.service, group.version, now)
            for digest in group.digests:
                self.streams.setdefault(digest, stream)

    def observe(self, upstreams: Iterable[Upstream], now: float) -> None:
        """Record the versions in service; drop what is no longer needed."""
        if now - self.observed_at < OBSERVE_SECONDS:
            return
        self.observed_at = now
        for upstream in upstreams:
            seen = self.last_seen.setdefault(upstream.service, {})
            seen[upstream.software_version] = now
        oldest = now - RETAINED_SECONDS
        for versions in self.last_seen.values():
            for version, seen_at in list(versions.items()):
                if seen_at < oldest:
                    versions.pop(version)
        for digest, stream in list(self.streams.items()):
            if stream.recorded_at >= oldest:
                break
            self.streams.pop(digest)
        self.unannounced = [
            digest for digest in self.unannounced if digest in self.streams
        ]

    def find_version(
        self,
        request: IncomingRequest,
        service: str,
        upstreams: Iterable[Upstream],
    ) -> Result[str | None, Failure]:
        """Return the version at which a request must run; None for any.

        ``upstreams`` are those that serve now, as the versions in service are
        recorded only from time to time.

        Errors: ``STREAM_VERSION_UNKNOWN`` for a stream that this instance does
        not know while several versions serve, or may have served lately.
        """
        if request.last_event_number is None:
            return Ok(None)
        known = self.streams.get(digest_text(request.stream_id()))
        if known is not None:
            return Ok(known.version)
        versions = {
            *self.last_seen.get(service, {}),
            *(one.software_version for one in upstreams),
        }
        if self.informed and len(versions) <= 1:
            return Ok(None)
        detail = (
            f'stream {request.stream_id()} is unknown; engines of the versions '
            f'{sorted(versions)} served, all known: {self.informed}'
        )
        return Err(fail(ResultCode.STREAM_VERSION_UNKNOWN, detail))

    def take_announcements(
        self, instances: int, now: float
    ) -> list[AnnouncedStreams]:
        """Return streams to announce, the newest if there are too many.

        Only streams of services with several versions, and no more than this
        instance's part of the rate.
        """
        rate = ANNOUNCED_PER_SECOND / max(instances, 1)
        earned = rate * min(now - self.allowance_at, OBSERVE_SECONDS)
        self.allowance = min(self.allowance + earned, max(rate, 1))
        self.allowance_at = now
        due = [
            digest
            for digest in self.unannounced
            if self.is_mixed(self.streams[digest].service)
        ]
        taken = due[max(len(due) - int(self.allowance), 0) :]
        self.allowance -= len(taken)
        announced = set(taken)
        self.unannounced = [
            digest for digest in self.unannounced if digest not in announced
        ]
        return self.group(taken)

    def summarize(self) -> StreamSummary:
        """Return all versions, and the newest streams where they differ."""
        mixed = [
            digest
            for digest, stream in self.streams.items()
            if self.is_mixed(stream.service)
        ]
        streams = self.group(mixed[-SUMMARY_LIMIT:])
        return StreamSummary(streams, self.known_versions())

    def is_mixed(self, service: str) -> bool:
        """Return whether engines of several versions served recently."""
        return len(self.last_seen.get(service, {})) > 1

    def group(self, digests: Iterable[int]) -> list[AnnouncedStreams]:
        """Group streams by service and version."""
        grouped: dict[tuple[str, str], list[int]] = {}
        for digest in digests:
            stream = self.streams[digest]
            key = (stream.service, stream.version)
            grouped.setdefault(key, []).append(digest)
        return [AnnouncedStreams(*key, group) for key, group in grouped.items()]
