"""Starts instances of the relay as the deploy file says, on loopback."""

import asyncio
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from standins import Engine, Store

ROOT = Path(__file__).resolve().parents[2]
ZONES = ('kl-central', 'petaling', 'shah-alam')
DRAIN_S = 2.0
STABLE_S = 3.0
GRACE_S = 8.0


def choose_ports(ips, count):
    """Return ports that are free on all addresses."""
    chosen = []
    while len(chosen) < count:
        port = random.SystemRandom().randrange(20000, 30000)
        try:
            for ip in ips:
                with socket.socket() as probe:
                    probe.bind((ip, port))
        except OSError:
            continue
        if port not in chosen:
            chosen.append(port)
    return chosen


class Instance:
    """One instance: a process of the program that the deploy file names."""

    def __init__(self, deployment, name, zone, ip):
        self.deployment = deployment
        self.name = name
        self.zone = zone
        self.ip = ip
        self.process = None
        self.started_at = None
        self.boot = deployment.folder / f'{name}.toml'
        self.log = deployment.folder / f'{name}.log'

    def write_settings(self, note=''):
        one = self.deployment
        seeds = ','.join(f'"{other}:{one.control}"' for other in one.ips[:3])
        zones = '\n'.join(f'{zone} = "klang-valley"' for zone in ZONES)
        self.boot.write_text(f"""{note}
node_name = "{self.name}"
role = "relay"
machine_class = "front"
serves = ["front"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "klang-valley"
port_range = [{one.peer},{one.forward}]
seeds = [{seeds}]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[zones]
{zones}
[listen]
front = "{self.ip}:{one.front}"
ready = "{self.ip}:{one.ready}"
[limits]
cpu_share = 0.537
cpu_cores = 2
memory_mb = 300
max_fds = 4200
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
stable_window_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 54
recover_s = 12
fencing_enforced = true
lease_ms = 3000
thaw_ms = 300
again_s = 9.3
[platform]
address = "{one.store.address}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
""")

    def start(self):
        """Start the process with the settings as they are now."""
        self.write_settings()
        environ = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG') if key in os.environ
        }
        environ['CRANBERRYRELAY_BOOT'] = str(self.boot)
        environ['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                shlex.split(self.deployment.command), cwd=ROOT, env=environ,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            )
        self.started_at = time.monotonic()

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def wait(self, limit_s):
        """Return the status of the process; None if it runs on."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if self.process.poll() is not None:
                return self.process.returncode
            await asyncio.sleep(0.01)
        return None

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.deployment.ready), 1
            )
            writer.write(b'GET /v1/ready HTTP/1.1\r\nHost: x\r\n'
                         b'Connection: close\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return False
        return b' 200 ' in line

    async def wait_ready(self, limit_s=20.0):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if await self.is_ready():
                return
            if self.process.poll() is not None:
                break
            await asyncio.sleep(0.05)
        raise NotRunnable(f'{self.name} is not ready')


class NotRunnable(Exception):
    """The case could not run."""


class Deployment:
    """Store, engines and instances of one run."""

    def __init__(self, instances=3):
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        net = f'127.{random.SystemRandom().randrange(20, 200)}.7'
        self.ips = [f'{net}.{11 + number}' for number in range(instances)]
        self.other_ip = f'{net}.2'
        self.ports = iter(choose_ports([*self.ips, self.other_ip], 40))
        (self.front, self.ready, self.control, self.peer,
         self.forward) = (next(self.ports) for _ in range(5))
        system = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.command = system['roles']['relay']['run']
        self.store = Store(self.other_ip, next(self.ports))
        self.engines = []
        self.late_engines = []
        self.instances = [
            Instance(self, f'front-{ZONES[number % 3]}-{number // 3 + 1}',
                     ZONES[number % 3], ip)
            for number, ip in enumerate(self.ips)
        ]
        self.started_at = time.monotonic()
        self.lines = []

    def say(self, text):
        line = f'{time.monotonic() - self.started_at:8.3f} s {text}'
        self.lines.append(line)
        print(line, flush=True)

    def make_engine(self, name, service, zone, stage=''):
        """Make an engine that the case starts itself."""
        engine = Engine(name, service, self.other_ip, next(self.ports), zone,
                        stage)
        self.late_engines.append(engine)
        return engine

    def add_engine(self, name, service, zone, stage=''):
        """Make an engine that is there from the start."""
        engine = self.make_engine(name, service, zone, stage)
        self.late_engines.remove(engine)
        self.engines.append(engine)
        return engine

    def register(self, engine, state='ready'):
        """Let an engine report its state; the return is the store's ack."""
        self.store.write('servers', engine.name, engine.entry(state))

    def write_config(self, version, routes):
        """Write the operator's configuration."""
        services = [
            {'name': 'menu-llm', 'health_path': '/health',
             'max_connections': 360, 'protocol': 'h1', 'tls': False,
             'engine': {'slots': 64, 'kv_capacity_tokens': 469588,
                        'kv_token_bytes': 163840, 'link_mbps': 1200000.0,
                        'moves': True, 'backups': True, 'handle_ttl_s': 5.0,
                        'reconfig_s': 3.0, 'pin_ms': 4000.0,
                        'hold_ms': 2000.0, 'models': [{'name': 'm'}]}},
            *({'name': name, 'health_path': '/health',
               'max_connections': 100, 'protocol': 'h1', 'tls': False}
              for name in ('booking', 'booking-b')),
        ]
        limits = {'max_header_bytes': 16384, 'max_body_bytes': 4194304,
                  'header_timeout_ms': 3000, 'idle_timeout_ms': 15000}
        self.store.write('config', 'main', {
            'version': version, 'routes': routes, 'services': services,
            'limits': limits,
        })

    async def start(self):
        self.started_at = time.monotonic()
        await self.store.start()
        for engine in self.engines:
            await engine.start()
            self.register(engine)
        for instance in self.instances:
            instance.start()

    async def start_and_wait(self):
        await self.start()
        for instance in self.instances:
            await instance.wait_ready()

    def end(self):
        """End all that was started, by its process."""
        for instance in self.instances:
            if instance.process is not None and instance.process.poll() is None:
                instance.process.kill()
                instance.process.wait()
        for server in [*self.engines, *self.late_engines, self.store]:
            server.exit()
        if os.environ.get('KEEP_LOGS'):
            print('logs in', self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def record_requests(deployment, outcomes):
    """Write what was sent and answered, and where it ran."""
    engines = [*deployment.engines, *deployment.late_engines]
    ran = {
        request_id: f'{engine.name} at {at - deployment.started_at:.3f} s'
        for engine in engines for at, request_id, _ in engine.runs
    }
    for outcome in outcomes:
        where = ran.get(outcome.request_id, 'nowhere')
        line = outcome.line(deployment.started_at)
        deployment.lines.append(f'{line}, run by {where}')


async def exit_at_work(deployment, engine, limit_s=2.0):
    """Let an engine exit while it works, or after a while if it doesn't.

    Returns the ids of the requests that run there at that moment.
    """
    until = time.monotonic() + limit_s
    while True:
        running = {one for _, one, _ in engine.runs} - set(engine.ended)
        if running or time.monotonic() > until:
            break
        await asyncio.sleep(0.005)
    engine.exit()
    deployment.say(f'{engine.name} exits, {len(running)} requests run there')
    return running


def order_route():
    """The route of orders that may run once."""
    return {
        'name': 'meal-order', 'host': 'menu.example', 'path_prefix': '/order/',
        'kind': 'unsafe', 'timeout_ms': 2000, 'target_latency_ms': 300,
        'priority': 2, 'service': 'booking', 'max_attempts': 1,
        'resumable': False,
    }


def ask_route():
    """The route of streams that may not be resumed."""
    return {
        'name': 'staff-ask', 'host': 'menu.example', 'path_prefix': '/ask/',
        'kind': 'streaming', 'timeout_ms': 8000, 'target_latency_ms': 250,
        'priority': 0, 'service': 'menu-llm', 'max_attempts': 1,
        'session_affinity': True, 'resumable': False, 'gap_aim_ms': 150,
    }


def run_case(case, folder, instances=3):
    """Run a case; write its record; exit with 0, 1 or 2."""
    trouble = os.environ.get('TROUBLE', '1') != '0'
    # A shell may have started this with SIGHUP ignored, as nohup does; the
    # platform starts programs with the default action.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    deployment = Deployment(instances)
    status = 2
    try:
        status = asyncio.run(asyncio.wait_for(case(deployment, trouble), 110))
    except Exception as error:
        deployment.say(f'the case could not run: {error!r}')
    finally:
        deployment.end()
    verdict = {0: 'the rule held', 1: 'THE RULE WAS BROKEN', 2: 'not run'}
    deployment.say(f'{"with" if trouble else "without"} the disruption: '
                   f'{verdict[status]}')
    (Path(folder) / 'record.txt').write_text('\n'.join(deployment.lines) + '\n')
    sys.exit(status)
