"""Applies each kind of fault; ``FAULTS`` has one function for each kind.

A function returns what the fault disturbed: an instance, an upstream, "engines",
"store" or "all", or several of these. The checks excuse nothing for "engines".
"""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable

from . import clients, deployment, schedule
from .engine_weights import SLOW, OrderTrouble
from .instances import Instance
from .proxy import TO_CLIENT, Proxy
from .record import Disturbed, Limit, digests_of
from .schedule import Fault
from .upstreams import CRASH_AFTER_EVENT, CRASH_BEFORE_EVENT
from .world import World

DELAY_S = 0.15
CRASH_PAUSE_S = 0.35
BATCH, BATCH_PAUSE_S = 6, 0.01
ROLL_PAUSE_S = 0.5
BATCHES_APART_S = 3.0
RESETS_APART_S = 0.15
HANGUPS_APART_S = 0.1
N_NEW_VERSIONS = 3
N_NEW_WEIGHTS = (2, 3)
#: For how long after the bound on replaced weights engines load slowly.
SLOW_MORE_S = 3.0
#: Clients send nothing from before a quiet leaving until after the drain time.
QUIET_BEFORE_S, QUIET_AFTER_S = 0.3, 2.02
#: By how much a wall clock jumps; deadlines and leases are shorter than most of it.
CLOCK_STEP_S = (1.0, 30.0)
STEPS_APART_S = 1.0
#: Limit of the account with a quota after the fault "limit".
LOWER_LIMIT = Limit(150.0, 1_000.0, True, 10.0)


async def apply(world: World, fault: Fault, rng: random.Random) -> None:
    """Apply a fault and note for how long it disturbed what."""
    start_s = time.monotonic()
    disturbed = await FAULTS[fault.kind](world, fault, rng)
    for target in (disturbed,) if isinstance(disturbed, str) else disturbed:
        world.record.note(Disturbed(start_s, time.monotonic(), target, fault.name))


async def _pause(world: World, fault: Fault, _) -> str:
    instance = world.instances[fault.target]
    instance.send(signal.SIGSTOP)
    await asyncio.sleep(fault.length_s)
    instance.send(signal.SIGCONT)
    return instance.name


async def _restart(instance: Instance, number: int, after_s: float) -> None:
    instance.send(number)
    await instance.wait_ended()
    await asyncio.sleep(after_s)
    if not instance.is_running():
        instance.start()
    await instance.wait_ready()


async def _end(world: World, fault: Fault, _) -> str:
    instance = world.instances[fault.target]
    number = signal.SIGKILL if fault.kind == "kill" else signal.SIGTERM
    await _restart(instance, number, fault.length_s)
    return instance.name


async def _hang_up(world: World, fault: Fault, _) -> str:
    instance = world.instances[fault.target]
    until_s = time.monotonic() + fault.length_s
    while time.monotonic() < until_s:
        # SIGHUP in the first 0.3 s of a process ends it (KNOWN-RED.txt).
        if await instance.is_ready():
            instance.send(signal.SIGHUP)
        await asyncio.sleep(HANGUPS_APART_S)
    return instance.name


async def _roll(world: World, fault: Fault, _) -> str:
    for instance in world.instances:
        await _restart(instance, signal.SIGTERM, 0.0)
        await asyncio.sleep(ROLL_PAUSE_S)
    return "all"


async def _restart_all(world: World, fault: Fault, _) -> str:
    kills = (_restart(i, signal.SIGKILL, fault.length_s) for i in world.instances)
    await asyncio.gather(*kills)
    return "all"


async def _outage(world: World, fault: Fault, _) -> str:
    for link in world.store_links:
        link.refuse()
        link.reset()
    await asyncio.sleep(fault.length_s)
    for link in world.store_links:
        await link.listen()
    return "store"


def _link(world: World, fault: Fault) -> tuple[Proxy, str]:
    """Return the proxy that a fault of connections affects, and whom it disturbs."""
    if fault.kind.startswith("store-"):
        return world.store_links[fault.target], world.instances[fault.target].name
    slot = world.slots[fault.target]
    return slot.proxy, slot.upstream.upstream_id


async def _delay(world: World, fault: Fault, _) -> str:
    proxy, target = _link(world, fault)
    proxy.delay_s = DELAY_S
    await asyncio.sleep(fault.length_s)
    proxy.delay_s = 0.0
    return target


async def _reset(world: World, fault: Fault, _) -> str:
    proxy, target = _link(world, fault)
    until_s = time.monotonic() + fault.length_s
    while time.monotonic() < until_s:
        proxy.reset()
        await asyncio.sleep(RESETS_APART_S)
    return target


async def _cut(world: World, fault: Fault, _) -> str:
    proxy, target = _link(world, fault)
    proxy.cut = fault.option or TO_CLIENT
    await asyncio.sleep(fault.length_s)
    proxy.cut = ""
    return target


async def _silence(world: World, fault: Fault, _) -> str:
    proxy, target = _link(world, fault)
    proxy.silence()
    return target


async def _leave(world: World, fault: Fault, _) -> str:
    slot = world.slots[fault.target]
    upstream = slot.upstream
    if upstream.is_gone or upstream.says_leaving:
        return upstream.upstream_id
    if is_quiet := fault.option == "quiet":
        # Without traffic only the store says that the upstream leaves.
        world.is_quiet = True
        await asyncio.sleep(QUIET_BEFORE_S)
    upstream.leave(fault.option == "draining")
    quiet_s = min(fault.length_s, QUIET_AFTER_S)
    await asyncio.sleep(quiet_s)
    if is_quiet:
        world.is_quiet = False
    await asyncio.sleep(fault.length_s - quiet_s)
    if not upstream.is_gone:
        upstream.close()
        await world.start_upstream(slot)
    return upstream.upstream_id


async def _crash(world: World, fault: Fault, _) -> str:
    slot = world.slots[fault.target]
    upstream = slot.upstream
    if upstream.is_gone or upstream.says_leaving:
        return upstream.upstream_id
    upstream.on_crash = lambda: None
    world.spawn(upstream.crash())
    await world.bring_back(slot, fault.length_s)
    return upstream.upstream_id


async def _trouble(world: World, fault: Fault, _) -> str:
    upstream = world.slots[fault.target].upstream
    upstream.trouble = fault.kind
    await asyncio.sleep(fault.length_s)
    upstream.trouble = ""
    return upstream.upstream_id


async def _configure(world: World, fault: Fault, _) -> str:
    state = world.state
    changes = {
        "isolate": {"isolated": state.isolated ^ {deployment.BECOMES_ISOLATED}},
        "lose-key": {"lost": state.lost ^ {deployment.LOSES_KEYS}},
        "limit": {"limits": dict.fromkeys(state.limits, LOWER_LIMIT)},
        "new-version": {},
    }
    world.configure(**changes[fault.kind])
    if fault.kind == "new-version":
        for _ in range(1, N_NEW_VERSIONS):
            await asyncio.sleep(fault.length_s / N_NEW_VERSIONS)
            world.configure()
    return "all"


async def _clock_step(world: World, fault: Fault, rng: random.Random) -> str:
    instance = world.instances[fault.target]
    step_s = rng.uniform(*CLOCK_STEP_S) * rng.choice((1.0, -1.0))
    until_s = time.monotonic() + fault.length_s
    instance.step_clock(step_s)
    if fault.option == "to-and-fro":
        while time.monotonic() < until_s - STEPS_APART_S:
            await asyncio.sleep(STEPS_APART_S)
            step_s = -step_s
            instance.step_clock(step_s)
    await asyncio.sleep(max(0.0, until_s - time.monotonic()))
    instance.step_clock(step_s if fault.option == "same-way" else -step_s)
    return instance.name


async def _lose_digests(
    world: World, fault: Fault, rng: random.Random
) -> tuple[str, ...]:
    sender = world.instances[fault.target]
    receiver = rng.choice([i for i in world.instances if i is not sender])
    lost = [(sender, receiver)]
    if fault.option == "both":
        lost.append((receiver, sender))
    for source, target in lost:
        source.lose_datagrams_to(target.addresses.ip)
    await asyncio.sleep(fault.length_s)
    for source, target in lost:
        source.lose_datagrams_to(target.addresses.ip, is_lost=False)
    return digests_of(sender.name), digests_of(receiver.name)


async def _versions(world: World, fault: Fault, rng: random.Random) -> str:
    """Want newer weights; some engines take their orders late or lose responses.

    If all engines load slowly, there are only replaced weights after the bound.
    """
    engines = [slot for slot in world.slots if slot.model]
    affected = rng.sample(engines, rng.randint(1, len(engines) - 1))
    slow_until_s = 0.0
    if fault.option == SLOW:
        affected = engines
        slow_until_s = time.monotonic() + world.record.bounds.version_s + SLOW_MORE_S
    for slot in affected:
        slot.set_orders(OrderTrouble(fault.option, slow_until_s))
    n_versions = rng.randint(*N_NEW_WEIGHTS)
    for _ in range(n_versions):
        world.want_next_weights()
        await asyncio.sleep(fault.length_s / n_versions)
    await asyncio.sleep(max(0.0, slow_until_s - time.monotonic()))
    for slot in affected:
        slot.set_orders(OrderTrouble())
    return "engines"


async def _crash_part(world: World, fault: Fault, rng: random.Random) -> str:
    """Send requests with a part that crashes engines, in series or in batches."""
    is_after = fault.option == CRASH_AFTER_EVENT
    world.crash_mode = CRASH_AFTER_EVENT if is_after else CRASH_BEFORE_EVENT
    for slot in world.slots:
        slot.upstream.crash_mode = world.crash_mode
    until_s = time.monotonic() + fault.length_s
    is_batch = fault.option == "batch"
    pause_s = BATCH_PAUSE_S if is_batch else CRASH_PAUSE_S
    n_sent = 0
    while time.monotonic() < until_s:
        n_sent += 1
        call = clients.crashing_call(f"bad-{fault.name}", n_sent, rng)
        instance = world.instances[n_sent % len(world.instances)]
        world.spawn(clients.send_once(call, instance, world.record))
        is_batch_over = is_batch and n_sent % BATCH == 0
        await asyncio.sleep(BATCHES_APART_S if is_batch_over else pause_s)
    return "engines"


Apply = Callable[[World, Fault, random.Random], Awaitable[str | tuple[str, ...]]]
FAULTS: dict[str, Apply] = {
    "pause": _pause,
    "kill": _end,
    "term": _end,
    "hangup": _hang_up,
    "roll": _roll,
    "restart-all": _restart_all,
    "store-outage": _outage,
    **{f"{link}-delay": _delay for link in schedule.LINKS},
    **{f"{link}-reset": _reset for link in schedule.LINKS},
    **{f"{link}-cut": _cut for link in schedule.LINKS},
    **{f"{link}-silence": _silence for link in schedule.LINKS},
    "leave": _leave,
    "crash": _crash,
    **dict.fromkeys(schedule.TROUBLES, _trouble),
    **dict.fromkeys(schedule.CONFIGURATION_KINDS, _configure),
    "crash-part": _crash_part,
    "clock-step": _clock_step,
    "lost-digests": _lose_digests,
    "versions": _versions,
}
