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


class LeavingStreams(NamedTuple):
    """Streams that the sender began and has not announced at its farewell.

    Peers no longer take heartbeats of it.
    """

    # The streams.
    streams: list[AnnouncedStreams]


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

        # Versions of engines that became known since ``observe``, by service.
        self.listed: dict[str, set[str]] = {}
        self.observed_at = float('-inf')
        self.allowance = float(0)
        self.allowance_at = float('-inf')

    def begin(self) -> None:
        """Treat streams as unknown until told which versions served."""
        self.informed = False

    def known_versions(self) -> dict[str, list[str]]:
        """Return the versions that served recently, by service."""
        return {
            service: sorted(self.versions_of(service))
            for service in self.last_seen.keys() | self.listed.keys()
        }

    def versions_of(self, service: str) -> set[str]:
        """Return the versions of a service that served recently."""
        return {
            *self.last_seen.get(service, ()),
            *self.listed.get(service, ()),
        }

    def record_listed(self, upstream: Upstream) -> None:
        """Record the version of an engine that has just become known.

        It may have left again when versions are next observed.
        """
        listed = self.listed.setdefault(upstream.service, set())
        listed.add(upstream.software_version)

    def version_ages(self, now: float) -> dict[str, dict[str, float]]:
        """Return the seconds since each version was seen, by service."""
        return {
            service: {
                version: max(now - self.seen_at(service, version, now), 0)
                for version in versions
            }
            for service, versions in self.known_versions().items()
        }

    def seen_at(self, service: str, version: str, now: float) -> float:
        """Return when a known version was last seen, on the local clock."""
        if version in self.listed.get(service, ()):
            return now
        return self.last_seen[service][version]

    def apply_ages(
        self, ages: dict[str, dict[str, float]], as_of: float
    ) -> None:
        """Record the versions that a peer saw so many seconds ago."""
        for service, versions in ages.items():
            seen = self.last_seen.setdefault(service, {})
            for version, age in versions.items():
                known_at = seen.get(version, float('-inf'))
                seen[version] = max(known_at, as_of - age)

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

    def knows(self, stream_id: str) -> bool:
        """Return whether the version that began a stream is known."""
        return digest_text(stream_id) in self.streams

    def apply_announced(
        self, announced: Iterable[AnnouncedStreams], now: float
    ) -> None:
        """Record streams that a peer announced."""
        for group in announced:
            stream = BegunStream(group.service, group.version, now)
            for digest in group.digests:
                self.streams.setdefault(digest, stream)

    def observe(self, upstreams: Iterable[Upstream], now: float) -> None:
        """Record the versions in service from time to time."""
        if now - self.observed_at < OBSERVE_SECONDS:
            return
        self.observed_at = now
        for service, listed in self.listed.items():
            seen = self.last_seen.setdefault(service, {})
            seen.update(dict.fromkeys(listed, now))
        self.listed.clear()
        for upstream in upstreams:
            seen = self.last_seen.setdefault(upstream.service, {})
            seen[upstream.software_version] = now
        self.drop_expired(now)

    def drop_expired(self, now: float) -> None:
        """Drop streams and versions that no caller comes back for."""
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
        *,
        complete: bool,
    ) -> Result[str | None, Failure]:
        """Return the version at which a request must run; None for any.

        ``upstreams`` are those that serve now, as the versions in service are
        recorded only from time to time. ``complete`` tells whether every
        version that can have begun the stream is known.

        Errors: ``STREAM_VERSION_UNKNOWN`` for a stream that this instance does
        not know while several versions serve, or may have served lately.
        """
        if request.last_event_number is None:
            return Ok(None)
        known = self.streams.get(digest_text(request.stream_id()))
        if known is not None:
            return Ok(known.version)
        versions = {
            *self.versions_of(service),
            *(one.software_version for one in upstreams),
        }
        complete = complete and self.informed
        if complete and len(versions) <= 1:
            return Ok(None)
        detail = (
            f'stream {request.stream_id()} is unknown; engines of the versions '
            f'{sorted(versions)} served, all known: {complete}'
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
        mixed = self.mixed_services()
        due = [
            digest
            for digest in self.unannounced
            if self.streams[digest].service in mixed
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
        mixed = self.mixed_services()
        digests = [
            digest
            for digest, stream in self.streams.items()
            if stream.service in mixed
        ]
        streams = self.group(digests[-SUMMARY_LIMIT:])
        return StreamSummary(streams, self.known_versions())

    def mixed_services(self) -> set[str]:
        """Return the services of which several versions served recently."""
        return {one for one in self.known_versions() if self.is_mixed(one)}

    def is_mixed(self, service: str) -> bool:
        """Return whether engines of several versions served recently."""
        return len(self.versions_of(service)) > 1

    def group(self, digests: Iterable[int]) -> list[AnnouncedStreams]:
        """Group streams by service and version."""
        grouped: dict[tuple[str, str], list[int]] = {}
        for digest in digests:
            stream = self.streams[digest]
            key = (stream.service, stream.version)
            grouped.setdefault(key, []).append(digest)
        return [AnnouncedStreams(*key, group) for key, group in grouped.items()]
