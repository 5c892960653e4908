"""The first instance of a zone is restarted while engines are replaced."""

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

INSTANCES = 18
# The engine serves on for drain_ms and "many seconds".
LINGER_S = 6.0
# From the start of the instance until the new engine registers, and from then
# until the entry of the old one is removed.
NEW_AFTER_S = 0.05
OLD_AFTER_S = 0.15


async def case(deployment, trouble):
    engines = [
        deployment.add_engine(f'i-{number}a0b1c2d', 'booking', zone)
        for number, zone in enumerate(('kl-central', 'petaling', 'shah-alam'))
    ]
    leaving = engines[0]
    added = deployment.make_engine('i-3a0b1c2d', 'booking', 'kl-central')
    deployment.write_config(7, [order_route()])
    await deployment.start_and_wait()
    first = deployment.instances[0]
    traffic = Traffic(deployment)
    background = [
        asyncio.ensure_future(one)
        for one in (traffic.watch_ready(), traffic.run())
    ]
    await asyncio.sleep(5)
    if trouble:
        deployment.say(f'SIGTERM to {first.name}')
        first.signal(signal.SIGTERM)
        status = await first.wait(9)
        deployment.say(f'{first.name} has ended with status {status}')
        await asyncio.sleep(2)
        first.start()
        deployment.say(f'{first.name} starts')
    else:
        await asyncio.sleep(5)
    await asyncio.sleep(NEW_AFTER_S)
    await added.start()
    deployment.register(added)
    deployment.say(f'{added.name} registers')
    await asyncio.sleep(OLD_AFTER_S)
    deployment.store.remove('servers', leaving.name)
    left_at = time.monotonic()
    deployment.say(f'the entry of {leaving.name} is removed')
    await asyncio.sleep(DRAIN_S + LINGER_S)
    running = await exit_at_work(deployment, leaving)
    await asyncio.sleep(3)
    for task in background:
        task.cancel()
    outcomes = {
        one.request_id: one for one in await asyncio.gather(*traffic.tasks)
    }
    record_requests(deployment, outcomes.values())
    started = {one.name: one.started_at for one in deployment.instances}
    late = []
    for at, request_id, _ in leaving.runs:
        machine = outcomes[request_id].machine
        # In touch for the whole of stable_window_ms before.
        if at > left_at + DRAIN_S and at - started[machine] > STABLE_S:
            late.append(machine)
            deployment.lines.append(
                f'{request_id} from {machine} reaches {leaving.name} '
                f'{at - left_at:.3f} s after the removal')
    lost = sorted(one for one in running if outcomes[one].status != 200)
    by_engine = {one.name: len(one.runs) for one in [*engines, added]}
    deployment.say(f'runs by engine: {by_engine}; orders sent: '
                   f'{len(outcomes)}, answered 200: '
                   f'{sum(one.status == 200 for one in outcomes.values())}')
    deployment.say(f'orders that reached the engine over {DRAIN_S} s after the '
                   f'removal of its entry: {len(late)}, from '
                   f'{sorted(set(late))}')
    deployment.say(f'orders that ran there as it exited and got no answer of '
                   f'it: {lost}')
    if not all(one.runs for one in engines):
        return 2
    return 1 if late else 0


if __name__ == '__main__':
    run_case(case, Path(__file__).resolve().parent, INSTANCES)
