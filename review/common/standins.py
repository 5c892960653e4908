"""Stand-ins of the store, the engines and the clients, for the scripts.

They follow the users' pages and use the standard library only.
"""

import asyncio
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

PREFIX = 'X-Cranberryrelay-'
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


class Message:
    """A request or an answer: first line, headers and body."""

    def __init__(self, first, headers, body=b''):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name, default=''):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Read a first line and headers; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode('latin-1').rstrip('\r\n').split('\r\n')
    headers = {}
    for line in lines:
        name, _, content = line.partition(':')
        headers[name.strip().lower()] = content.strip()
    return Message(first, headers)


async def read_request(reader):
    message = await read_head(reader)
    if message is not None:
        length = int(message.get('content-length', '0'))
        message.body = await reader.readexactly(length) if length else b''
    return message


def encode(first, headers, body=b''):
    lines = [first, *(f'{name}: {value}' for name, value in headers)]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


def answer(status, headers, body=b''):
    reason = {200: 'OK', 201: 'Created', 404: 'Not Found', 409: 'Conflict'}
    return encode(
        f'HTTP/1.1 {status} {reason.get(status, "Status")}',
        [*headers, ('Content-Length', len(body))],
        body,
    )


class Server:
    """Serves HTTP/1.1 connections one request after another."""

    def __init__(self, ip, port):
        self.ip = ip
        self.port = port
        self.writers = set()
        self.server = None

    @property
    def address(self):
        return f'{self.ip}:{self.port}'

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.ip, self.port, limit=1 << 20
        )

    def exit(self):
        """End as a process does: no listener, all connections closed."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self.handle(request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, reader, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's store of objects by kind and name."""

    def __init__(self, ip, port, answer_s=0.004):
        super().__init__(ip, port)
        self.answer_s = answer_s
        self.revision = 100
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()
        # Called with the kind, the name after which a page begins, and the
        # client's IP address, once a page has been read and before it is sent.
        self.on_page = lambda kind, after, client: None
        # While it is silent, an answer that is due is lost.
        self.silent = False
        # Called with the method and target of a call whose answer is lost.
        self.on_lost = lambda first: None

    def write(self, kind, name, spec):
        """Write an object; the return is the acknowledgement."""
        self.revision += 1
        known = self.objects.get((kind, name))
        created = known['metadata']['created_rev'] if known else self.revision
        metadata = {
            'name': name, 'revision': self.revision, 'created_rev': created,
            'finalizers': [], 'deleting': False,
        }
        stored = {'metadata': metadata, 'spec': spec, 'status': None}
        self.objects[(kind, name)] = stored
        self.note(kind, stored, False)
        return stored

    def remove(self, kind, name):
        stored = self.objects.pop((kind, name), None)
        if stored is not None:
            self.revision += 1
            self.note(kind, stored, True)

    def note(self, kind, stored, removed):
        event = {'removed': removed, 'object': stored}
        self.history.append((self.revision, kind, event))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request, reader, writer):
        method, target, _ = request.first.split(' ')
        parts = urlsplit(target)
        query = {key: one[0] for key, one in parse_qs(parts.query).items()}
        kind, _, name = parts.path.removeprefix('/v1/objects/').partition('/')
        await asyncio.sleep(self.answer_s)
        if method == 'GET' and 'watch' in query:
            status, document = await self.watch(kind, query)
        elif method == 'GET' and not name:
            client = writer.get_extra_info('peername')[0]
            status, document = self.list(kind, query.get('after', ''), client)
        else:
            submitted = json.loads(request.body) if request.body else {}
            status, document = self.call(method, kind, unquote(name), submitted)
        if self.silent:
            # The connection returns nothing further.
            self.on_lost(request.first)
            while await reader.read(65536):
                pass
            return False
        body = json.dumps(document).encode()
        headers = [('Content-Type', 'application/json')]
        writer.write(answer(status, headers, body))
        await writer.drain()
        return True

    def list(self, kind, after, client):
        items, size, truncated = [], 0, False
        for key in sorted(self.objects):
            if key[0] != kind or key[1] <= after:
                continue
            length = len(json.dumps(self.objects[key]))
            if items and (
                len(items) == PAGE_ITEMS or size + length > PAGE_BYTES
            ):
                truncated = True
                break
            items.append(self.objects[key])
            size += length
        page = {
            'items': items, 'truncated': truncated,
            'store_revision': self.revision,
        }
        self.on_page(kind, after, client)
        return 200, page

    async def watch(self, kind, query):
        after = int(query['watch'])
        until = time.monotonic() + int(query.get('wait_ms', '0')) / 1000
        while True:
            events = [
                event for revision, one, event in self.history
                if one == kind and revision > after
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'store_revision': self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                continue

    def call(self, method, kind, name, submitted):
        if method == 'POST':
            name = submitted['metadata']['name']
        stored = self.objects.get((kind, name))
        if method == 'POST':
            if stored:
                return 409, stored
            return 201, self.write(kind, name, submitted.get('spec'))
        if stored is None:
            return 404, {}
        if method == 'GET':
            return 200, stored
        wanted = submitted.get('metadata', {}).get('revision')
        if wanted not in (None, stored['metadata']['revision']):
            return 409, stored
        if method == 'DELETE':
            self.remove(kind, name)
            return 200, {}
        return 200, self.write(kind, name, submitted.get('spec'))


class Engine(Server):
    """A process of a service; keeps what it ran and when."""

    def __init__(self, name, service, ip, port, zone, stage=''):
        super().__init__(ip, port)
        self.name = name
        self.service = service
        self.zone = zone
        self.stage = stage
        self.sequence = 0
        self.born = int(time.time() * 1000)
        # (time, request id, what) of what reached it and was not rejected.
        self.runs = []
        self.ended = []
        self.handles = 0
        # Returns the seconds that a call takes, or the pauses of a stream.
        self.work_s = lambda request: 0.09
        self.pauses = lambda request, first: [0.05] * 10
        self.prefill_s = 0.005

    def entry(self, state='ready'):
        self.sequence += 1
        entry = {
            'service': self.service, 'address': self.address,
            'zone': self.zone, 'version': 'v1', 'state': state,
            'slots': 64 if self.stage else 6,
            'cold_remaining_ms': 0, 'sequence': self.sequence,
            'born': self.born,
        }
        if self.stage:
            entry['stage'] = self.stage
            entry['models'] = [{'name': 'm', 'version': 1, 'adapters': []}]
        return entry

    def record(self, request_id, what):
        self.runs.append((time.monotonic(), request_id, what))

    async def handle(self, request, reader, writer):
        request_id = request.get(PREFIX + 'Request-Id')
        echo = [(PREFIX + 'Request-Id', request_id)]
        if request.first.startswith('GET /v1/report'):
            report = {'stage': self.stage, 'busy': False, 'sequence': 0}
            writer.write(answer(200, [], json.dumps(report).encode()))
            return True
        if request.first.startswith('POST /v1/order'):
            writer.write(answer(409, []))
            return True
        expected = request.get(PREFIX + 'Expect-Instance')
        if expected not in ('', self.name):
            headers = [*echo, (PREFIX + 'Instance-Id', self.name)]
            writer.write(answer(421, headers))
            return True
        stage = request.get(PREFIX + 'Stage')
        if self.stage and (stage == 'prefill') != (self.stage == 'prefill'):
            writer.write(answer(421, echo))
            return True
        stamp = (PREFIX + 'Server-Stamp', f'{self.name}.{request_id}')
        if stage == 'prefill':
            return await self.prefill(request_id, echo, writer)
        if self.stage:
            return await self.generate(request, request_id, [*echo, stamp],
                                       reader, writer)
        self.record(request_id, 'call')
        await asyncio.sleep(self.work_s(request))
        self.ended.append(request_id)
        writer.write(answer(200, [*echo, stamp], b'done ' + request_id.encode()))
        await writer.drain()
        return True

    async def prefill(self, request_id, echo, writer):
        self.record(request_id, 'prefill')
        await asyncio.sleep(self.prefill_s)
        self.handles += 1
        body = {
            'transfer_handle': f'{self.name}x{self.handles}', 'tokens': 800,
            'version': 1,
        }
        writer.write(answer(200, echo, json.dumps(body).encode()))
        return True

    async def generate(self, request, request_id, headers, reader, writer):
        """Stream events; the work ends when the connection closes."""
        source = request.get(PREFIX + 'Kv-Source').partition('/')[2]
        what = 'goes on' if source == request_id else 'stream'
        first = int(request.get('Last-Event-Id', '0') or 0) + 1
        self.record(request_id, what)
        headers = [
            *headers, ('Content-Type', 'text/event-stream'),
            ('Transfer-Encoding', 'chunked'),
        ]
        writer.write(encode('HTTP/1.1 200 OK', headers))
        closed = asyncio.ensure_future(reader.read(1))
        try:
            for number, pause in enumerate(self.pauses(request, first), first):
                done, _ = await asyncio.wait({closed}, timeout=pause)
                if done:
                    return False
                event = b'id: %d\ndata: %s %d\n\n' % (
                    number, request_id.encode(), number,
                )
                writer.write(b'%x\r\n%s\r\n' % (len(event), event))
                await writer.drain()
            writer.write(b'0\r\n\r\n')
            await writer.drain()
            self.ended.append(request_id)
        finally:
            closed.cancel()
        return False


class Outcome:
    """What a client saw of one request."""

    def __init__(self, request_id, machine, sent_at):
        self.request_id = request_id
        self.machine = machine
        self.sent_at = sent_at
        self.ended_at = None
        self.status = None
        self.stamp = ''
        self.body = b''
        self.complete = False

    def line(self, started_at):
        status = self.status if self.status is not None else 'no status'
        whole = 'whole' if self.complete else 'broken off'
        return (
            f'{self.sent_at - started_at:8.3f} s {self.request_id} to '
            f'{self.machine}: {status}, {whole} after '
            f'{self.ended_at - self.sent_at:.3f} s, {len(self.body)} bytes'
        )


async def send(machine, ip, port, request_id, path, headers=(), body=b'{}'):
    """Send one request on a connection of its own; return what came back."""
    outcome = Outcome(request_id, machine, time.monotonic())
    writer = None
    try:
        reader, writer = await asyncio.open_connection(ip, port)
        lines = [
            ('Host', 'menu.example'), (PREFIX + 'Request-Id', request_id),
            *headers, ('Content-Length', len(body)), ('Connection', 'close'),
        ]
        writer.write(encode(f'POST {path} HTTP/1.1', lines, body))
        head = await read_head(reader)
        if head is not None:
            outcome.status = int(head.first.split(' ')[1])
            outcome.stamp = head.get(PREFIX + 'Server-Stamp')
            await read_body(head, reader, outcome)
    except (ConnectionError, asyncio.IncompleteReadError, OSError):
        pass
    finally:
        outcome.ended_at = time.monotonic()
        if writer is not None:
            writer.close()
    return outcome


async def read_body(head, reader, outcome):
    if head.get('transfer-encoding') != 'chunked':
        length = int(head.get('content-length', '0'))
        outcome.body = await reader.readexactly(length)
        outcome.complete = True
        return
    while True:
        size = int(await reader.readuntil(b'\r\n'), 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            outcome.complete = True
            return
        outcome.body += chunk[:-2]
