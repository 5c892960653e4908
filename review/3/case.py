"""A restarted instance lists engines in two pages; one begins to leave then."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common'))

from deployment import (
    DRAIN_S,
    STABLE_S,
    exit_at_work,
    order_route,
    record_requests,
    run_case,
)
from traffic import Traffic

# The engine serves on for drain_ms and "many seconds".
LINGER_S = 6.0


async def case(deployment, trouble):
    engines = [
        deployment.add_engine(f'i-{number}a0b1c2d', 'booking', zone)
        for number, zone in enumerate(('kl-central', 'petaling', 'shah-alam'))
    ]
    leaving = engines[0]
    # Entries of another writer: together with the engines over 1 MB.
    for number in range(3):
        deployment.store.write('servers', f'x-{number}', {
            'written_by': 'another', 'notes': 'n' * 400_000,
        })
    deployment.write_config(7, [order_route()])
    await deployment.start_and_wait()
    first = deployment.instances[0]
    traffic = Traffic(deployment)
    background = [
        asyncio.ensure_future(one)
        for one in (traffic.watch_ready(), traffic.run())
    ]
    await asyncio.sleep(5)
    left_at = None
    began = asyncio.Event()

    def leave(reason):
        nonlocal left_at
        if left_at is None:
            deployment.register(leaving, 'draining')
            left_at = time.monotonic()
            began.set()
            deployment.say(f'{leaving.name} reports draining, acknowledged '
                           f'by the store {reason}')

    if trouble:
        deployment.say(f'SIGTERM to {first.name}')
        first.signal(signal.SIGTERM)
        status = await first.wait(9)
        deployment.say(f'{first.name} has ended with status {status}')

        def on_page(kind, after, client):
            deployment.say(f'{client} lists {kind} after {after!r}')
            # The other instances have listed before; they only watch.
            if (kind, after) == ('servers', ''):
                leave(f'after the first page for {first.name}')

        deployment.store.on_page = on_page
        first.start()
        deployment.say(f'{first.name} starts')
        await asyncio.wait_for(began.wait(), 15)
    else:
        await asyncio.sleep(4)
        leave('while nothing else happens')
    await asyncio.sleep(DRAIN_S + LINGER_S)
    running = await exit_at_work(deployment, leaving)
    deployment.store.remove('servers', leaving.name)
    await asyncio.sleep(3)
    for task in background:
        task.cancel()
    outcomes = {
        one.request_id: one for one in await asyncio.gather(*traffic.tasks)
    }
    return judge(deployment, leaving, left_at, outcomes, running)


def judge(deployment, leaving, left_at, outcomes, running):
    """DRAIN: nothing later than drain_ms, from machines in touch."""
    started = {one.name: one.started_at for one in deployment.instances}
    record_requests(deployment, outcomes.values())
    late = []
    for at, request_id, _ in leaving.runs:
        machine = outcomes[request_id].machine
        # In touch for the whole of stable_window_ms before.
        if at > left_at + DRAIN_S and at - started[machine] > STABLE_S:
            late.append((at - left_at, request_id, machine))
    for after, request_id, machine in late:
        deployment.lines.append(
            f'{request_id} from {machine} reaches {leaving.name} '
            f'{after:.3f} s after the acknowledgement'
        )
    machines = sorted({machine for _, _, machine in late})
    lost = [one for one in running if outcomes[one].status != 200]
    by_engine = {one.name: len(one.runs) for one in deployment.engines}
    deployment.say(f'runs by engine: {by_engine}; orders sent: '
                   f'{len(outcomes)}, answered 200: '
                   f'{sum(one.status == 200 for one in outcomes.values())}')
    deployment.say(f'orders that reached the leaving engine over {DRAIN_S} s '
                   f'after the acknowledgement: {len(late)}, from {machines}')
    deployment.say(f'orders that ran there as it exited and got no answer of '
                   f'it: {sorted(lost)}')
    if not outcomes or not any(one.runs for one in deployment.engines):
        return 2
    return 1 if late else 0


if __name__ == '__main__':
    run_case(case, Path(__file__).resolve().parent)
