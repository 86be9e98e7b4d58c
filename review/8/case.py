"""Case 8: bad clients that send lines without end; usual clients then get no answer in their time."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig2 import BROKEN, HELD, Backend, Client, Discovery, Record, Relay, keep_coming, main, settings

BAD_CLIENTS = 60
BAD_S = 10.0
JUNK = b"\r\n" * 32768  # 64 KiB of lines that can't be read
SLACK_S = 0.55  # half a second after the client's time, and 50 ms


async def misbehave(host: str, port: int) -> None:
    """Bad clients: each sends its lines at full speed, reads what it is sent, and comes again once turned away."""
    until = time.monotonic() + BAD_S
    count = 0

    async def one() -> None:
        nonlocal count
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(host, port)
                count += 1
                writer.write(JUNK)
                while await asyncio.wait_for(reader.read(4096), 6.0):
                    pass
            except (OSError, TimeoutError):
                pass
            finally:
                writer.close()

    await asyncio.gather(*(one() for _ in range(BAD_CLIENTS)))
    print(count)


async def play(record: Record, folder: Path, trouble: bool) -> int:
    backends = [Backend(record, number) for number in range(6)]
    for backend in backends:
        await backend.start()
    discovery = Discovery(record, backends)
    await discovery.start()
    relay = Relay(record, discovery, settings(), folder)
    bad = None
    clients: list[Client] = []
    try:
        relay.start()
        await relay.ready()
        until = record.now() + 22.0
        classes = [("roster-feed", 4800), ("visit-checkin", 2000)]
        coming = asyncio.create_task(
            keep_coming(record, (relay.host, relay.port), until, 5.0, classes, 6.0, clients)
        )
        await asyncio.sleep(4.0)
        if trouble:
            record(BAD_CLIENTS, "bad clients begin")
            command = [sys.executable, __file__, "bad", relay.host, str(relay.port)]
            bad = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        await coming
        if bad:
            record("bad clients made", (await asyncio.to_thread(bad.communicate))[0].strip(), "connections in all")
        record("the relay", "runs" if relay.is_alive() else "has ended")
    finally:
        if bad and bad.poll() is None:
            bad.kill()
            bad.wait()
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
        for sent, answered in client.lines:
            if (answered or ended) - sent > 1.0 and client.ended != "MOVE":
                held += 1
                record("line held back:", client.id, f"{(answered or ended) - sent:.2f} s")
                break
    record(len(clients), "usual clients,", lost, "without an answer in their time and 0.55 s;", held, "with a late line")
    return BROKEN if lost else HELD


if __name__ == "__main__":
    if sys.argv[1:2] == ["bad"]:
        asyncio.run(misbehave(sys.argv[2], int(sys.argv[3])))
    else:
        main(Path(__file__).resolve().parent, play)
