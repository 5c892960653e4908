"""Clients that send orders to the instances that are ready."""

import asyncio

from standins import send

ORDERS_PER_S = 50


class Traffic:
    """Sends orders to the instances that are ready, in turn."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.tasks = []
        self.ready = []

    async def watch_ready(self):
        while True:
            checks = [one.is_ready() for one in self.deployment.instances]
            found = await asyncio.gather(*checks)
            self.ready = [
                one for one, ready in
                zip(self.deployment.instances, found) if ready
            ]
            await asyncio.sleep(0.5)

    async def run(self):
        number = 0
        while True:
            if self.ready:
                instance = self.ready[number % len(self.ready)]
                number += 1
                self.tasks.append(asyncio.ensure_future(send(
                    instance.name, instance.ip, self.deployment.front,
                    f'order{number:06d}', f'/order/{number}',
                    [('X-Cranberryrelay-Deadline-Ms', 4000)],
                )))
            await asyncio.sleep(1 / ORDERS_PER_S)
