"""HTTP endpoint for the metrics of a steward."""

import trio
from aioprometheus import Gauge, Registry, render
from hypercorn.config import Config
from hypercorn.trio import serve
from quart import Response, request
from quart_trio import QuartTrio

from cranberryrelay.steward._shell import StewardShell


class StewardMetrics:
    """Gauges of one steward, updated on each request."""

    def __init__(self, shell: StewardShell) -> None:
        self.shell = shell
        self.registry = Registry()
        self.gauges = {
            name: Gauge(
                f'cranberryrelay_steward_{name}',
                text,
                registry=self.registry,
            )
            for name, text in (
                ('revision', 'Revision applied'),
                ('evidence_age_seconds', 'Age of the evidence; -1 for none'),
                ('store_calls', 'Calls of the object API'),
                ('messages_sent', 'Messages sent to peers'),
                ('bytes_sent', 'Bytes sent to peers'),
                ('malformed_frames', 'Frames dropped'),
                ('cells_held', 'Leases held'),
                ('role_changes', 'Role changes made'),
            )
        }

    async def render_metrics(self) -> Response:
        """Return the metrics in the format that the request accepts."""
        for name, reading in self.read().items():
            self.gauges[name].set({}, reading)
        accepts = request.headers.getlist('Accept')
        text, headers = render(self.registry, accepts)
        return Response(text, headers=headers)

    def read(self) -> dict[str, float]:
        """Return the current value of each gauge by name."""
        core = self.shell.core
        now = self.shell.timers.now()
        evidence = core.note_distributor.freshest_evidence(now)
        cells = core.cells.values()
        return {
            'revision': core.note_distributor.applied_revision,
            'evidence_age_seconds': now - evidence.sent_at if evidence else -1,
            'store_calls': self.shell.store_calls,
            'messages_sent': self.shell.network.messages_sent,
            'bytes_sent': self.shell.network.bytes_sent,
            'malformed_frames': self.shell.network.malformed,
            'cells_held': sum(1 for part in cells if part.holding),
            'role_changes': sum(part.role_changes for part in cells),
        }


async def serve_metrics(
    shell: StewardShell, address: str, stop: trio.Event
) -> None:
    """Serve a steward's metrics on 'IP:port' until ``stop`` is set."""
    app = QuartTrio('cranberryrelay.steward')
    app.get('/metrics')(StewardMetrics(shell).render_metrics)
    config = Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = 0.5
    await serve(app, config, shutdown_trigger=stop.wait)
