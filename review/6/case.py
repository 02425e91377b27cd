"""A primary is back while a replica is being promoted, and a new member joins.

LOST: an acknowledged commit must be in the log of the member that is promoted.
"""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
# What was sent, answered and run.
RECORD = HERE / 'record.txt'
sys.path.insert(0, str(HERE.parent / 'stand_ins_2'))
from world import Client, Closed, World, free_port, run_case  # noqa: E402

SCENE_COUNT = 5
SCENE_S = 16.0
PROMOTE_MS = 1000
DOWN_S = 0.6
JOIN_S = 0.7
DRAIN_S = 8.0


async def write(world, record, number, acknowledged, end_s):
    """Write one item after another, each with a new id, and note successes."""
    session = 0
    while record.now() < end_s:
        session += 1
        host = world.hosts[number % len(world.hosts)]
        try:
            client = await Client.open(
                host.address, 'orders', record, f'w{number}s{session}'
            )
        except Closed as error:
            record('client', number, 'not connected:', error)
            await asyncio.sleep(0.1)
            continue
        while record.now() < end_s:
            try:
                request_id, word, _, rest = await client.ask(
                    f'WRITE item{number} v{client.count}'
                )
            except Closed as error:
                record('client', number, error)
                break
            record('client', number, request_id, word, rest)
            if word == 'COMPLETE':
                acknowledged.append((record.now(), request_id))
            await asyncio.sleep(0.05)
        client.close()


async def play_scene(world, record, number, with_crash):
    """Crash the primary for a moment, and replace a replica beside it."""
    group = world.groups['db0']
    primary = group.primary
    replicas = [m for m in group.members if m.is_up and m is not primary]
    start_s = record.now()
    if with_crash:
        await primary.crash()
        await asyncio.sleep(DOWN_S)
        keeps_lead = group.primary is primary
        await primary.start_again(f'{primary.id}-{number}', keeps_lead)
    await asyncio.sleep(start_s + JOIN_S - record.now())
    ip = f'127.0.2.{20 + number}'
    await group.join(f'db0-n{number}', (ip, free_port(ip)))
    leaving = next(m for m in replicas if not m.is_draining)
    await asyncio.sleep(2.0)
    if leaving.is_primary:
        leaving = next(m for m in replicas if m is not leaving)
    await group.release(leaving, DRAIN_S)
    group.members.remove(leaving)
    await asyncio.sleep(max(start_s + SCENE_S - record.now(), 0))


async def case(record, with_trouble):
    world = World(record, hosts=8, zones=4)
    group = world.groups['db0']
    group.promote_ms = PROMOTE_MS
    acknowledged = []
    try:
        await world.open()
        await asyncio.sleep(1.0)
        end_s = record.now() + SCENE_COUNT * SCENE_S + 1
        writers = [
            asyncio.create_task(
                write(world, record, number, acknowledged, end_s)
            )
            for number in range(8)
        ]
        for number in range(SCENE_COUNT):
            await play_scene(world, record, number, with_trouble)
        await asyncio.gather(*writers)
        is_broken = False
        for at_s, member_id, log in group.promotions:
            kept = {entry[2] for entry in log}
            lost = [
                request_id
                for acknowledged_s, request_id in acknowledged
                if request_id not in kept and request_id in world.run_before(at_s)
            ]
            record.say(
                'promoted', member_id, 'at', f'{at_s:.3f}', 'with', len(log),
                'commits; acknowledged commits that it lacks:', len(lost),
                *lost[:5],
            )
            is_broken |= bool(lost)
        record.say('acknowledged commits:', len(acknowledged))
        return is_broken
    finally:
        await world.close()


run_case(RECORD, case, limit_s=115)
