"""Case 6: 3,200 backends, six in ten replaced within 7 s; the relay stands still and requests get no answer."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig2 import BROKEN, HELD, Backend, CaseError, Client, Discovery, Record, Relay, keep_coming, main, settings

BACKENDS = 3200
REPLACED = BACKENDS * 6 // 10
SPAN_S, STEP_S = 7.0, 0.2  # the release, and between two objects on the watch
REQUESTS_PER_S = 40.0
SLACK_S = 0.55  # half a second after the client's time, and 50 ms


async def release(discovery: Discovery, old: list[Backend], new: list[Backend]) -> None:
    """Replace backends in steps: new ones come, old ones drain, and are gone a quarter of the release later."""
    steps = round(SPAN_S / STEP_S)
    began = time.monotonic()
    for step in range(steps + 1 + steps // 4):
        changes: list[tuple[Backend, str]] = []
        part = slice(len(old) * step // steps, len(old) * (step + 1) // steps)
        for leaving, coming in zip(old[part], new[part], strict=True):
            coming.up_since_ms = int(time.time() * 1000) - 300
            discovery.backends.append(coming)
            changes += [(coming, "SERVING"), (leaving, "DRAINING")]
        earlier = step - steps // 4
        if earlier >= 0:
            part = slice(len(old) * earlier // steps, len(old) * (earlier + 1) // steps)
            changes += [(leaving, "DELETED") for leaving in old[part]]
        if changes:
            discovery.change_many(changes)
        await asyncio.sleep(max(0.0, began + (step + 1) * STEP_S - time.monotonic()))


async def play(record: Record, folder: Path, trouble: bool) -> int:
    backends = [Backend(record, number * 2654435761 % (1 << 32)) for number in range(BACKENDS + REPLACED)]
    for number, backend in enumerate(backends):
        backend.host = f"127.0.{40 + number // 200}.{10 + number % 200}"
        await backend.start()
    discovery = Discovery(record, backends[:BACKENDS])
    await discovery.start()
    relay = Relay(record, discovery, settings(fleetSize=200, position=7), folder)
    clients: list[Client] = []
    try:
        relay.start()
        await relay.ready()
        until = record.now() + 25.0
        classes = [("roster-feed", 4800), ("visit-checkin", 2000)]
        coming = asyncio.create_task(
            keep_coming(record, (relay.host, relay.port), until, REQUESTS_PER_S, classes, 6.0, clients)
        )
        await asyncio.sleep(6.0)
        if trouble:
            await release(discovery, backends[:REPLACED], backends[BACKENDS:])
            record("the release is over")
        await coming
        record("the relay", "runs" if relay.is_alive() else "has ended")
    finally:
        await relay.end()
    lost = held = 0
    for client in clients:
        if client.sent_at is None:
            continue
        took_s = (client.answer_at or 1e9) - client.sent_at
        is_answer = client.answer.startswith(("UP ", "BUSY", "ERR"))
        if not is_answer or took_s > client.d_ms / 1000 + SLACK_S:
            lost += 1
            record("LOST:", client.id, f"d={client.d_ms} ms,", client.answer, f"after {took_s:.2f} s")
        ended = client.ended_at or record.now()
        if any((answered or ended) - sent > 1.0 for sent, answered in client.lines) and client.ended != "MOVE":
            held += 1
    if not any(client.answer.startswith("UP") for client in clients):
        raise CaseError("no client was served")
    record(len(clients), "clients,", lost, "without an answer in their time and 0.55 s;", held, "with a late line")
    return BROKEN if lost else HELD


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, play)
