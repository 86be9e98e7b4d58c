"""The clients of one round of `lab.replacement`, which check what each of them may expect."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import suppress

from .replacement_world import DEADLINE_MS, World
from .stand_ins import BUSY_S, LineDevice
from .waiting import within

STANDING = 60
REPLY_S = 5.0  # within it a standing connection replies to a line, or ends
SETTLED_S = 0.5  # after a reload, for the rules of a request to be known
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: closing resets the connection
LAST_LINES = ("MOVE", "BYE")


class Client:
    """One client. It talks on its connection, line by line, until the connection ends, and checks each reply."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.opened_s = 0.0
        self.heard_s = 0.0  # when the last line was received
        self.silent_until_s = 0.0
        self.has_left = False
        self.backend_name = ""
        self.device: LineDevice | None = None

    def reset(self) -> None:
        """Leave with a reset."""
        self.has_left = True
        if self.device and not self.device.writer.is_closing():
            sock = self.device.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self.device.writer.transport.abort()

    async def run(self) -> None:
        """Connect, ask, and talk, again and again until the round ends or the client leaves."""
        while not self.world.is_ending and not self.has_left:
            device = self.device = await LineDevice.connect(self.world.port)
            self.opened_s = self.heard_s = self.world.now()
            try:
                if await self._ask(device):
                    await self._talk(device)
            finally:
                device.writer.close()
            await asyncio.sleep(self.world.random.uniform(0.0, 0.3))

    async def _line(self, device: LineDevice, timeout_s: float) -> str:
        """Return the next line, "" at the connection's end, or "late" after `timeout_s`."""
        try:
            line = (await within(timeout_s, device.reader.readline())).decode().removesuffix("\r\n")
            self.heard_s = self.world.now() if line else self.heard_s
            return line
        except TimeoutError:
            return "late"
        except OSError:
            return ""

    def _may_be_cut(self) -> bool:
        """Return whether the connection may have ended without a last line."""
        kills = self.world.kills
        return self.has_left or self.world.is_ending or any(k.may_end(self.opened_s, self.heard_s) for k in kills)

    async def _ask(self, device: LineDevice) -> bool:
        """Send the request and check its answer. Return whether the connection stands."""
        world = self.world
        if world.random.random() < 0.2:  # noqa: PLR2004 - a share of the clients come without a request first
            await asyncio.sleep(world.random.uniform(0, 0.5))
        asked_s = world.now()
        is_unsafe = world.is_unsafe and asked_s - world.effect_changed_s > SETTLED_S
        device.open(d=DEADLINE_MS)
        answer = await self._line(device, DEADLINE_MS / 1000 + BUSY_S)
        request_id = f"{device.id:016x}"
        executions = world.executions[request_id]
        if is_unsafe and world.effect_changed_s < asked_s and executions > 1:
            world.break_rule(f"the unsafe request {request_id} was executed {executions} times")
        word = answer.split()[0] if answer else "nothing"
        world.counts[word] += 1
        if word not in ("UP", "BUSY", "ERR") and not self._may_be_cut():
            world.break_rule(f"request {request_id} got {answer!r} {world.now() - asked_s:.1f} s after it was sent")
        self.backend_name = answer.removeprefix("UP ")
        return word == "UP"

    async def _talk(self, device: LineDevice) -> None:
        """Send lines and check their replies until the connection ends."""
        world = self.world
        backend = world.find_backend(self.backend_name)
        number = 0
        while not world.is_ending:
            if self.silent_until_s > world.now():
                expected = ""
                answer = await self._line(device, self.silent_until_s - world.now())
                if answer == "late":
                    continue
            else:
                number += 1
                expected = f"re:line {number} of {device.id:x}"
                answer = await self._exchange(device, expected.removeprefix("re:"))
            if answer in LAST_LINES:
                world.counts[answer] += 1
                return
            if answer != expected or not answer:
                self._check_end(answer, expected, backend is not None and backend.is_dead)
                return
            await asyncio.sleep(world.random.uniform(0.02, 0.2))

    async def _exchange(self, device: LineDevice, line: str) -> str:
        """Send a line, sometimes in two parts with a pause between them, and return the reply."""
        with suppress(OSError):
            if self.world.random.random() < 0.3:  # noqa: PLR2004 - a share of the lines
                device.writer.write(line[:4].encode())
                await asyncio.sleep(self.world.random.uniform(0, 0.2))
                line = line[4:]
            device.write_line(line)
        asked_s = self.world.now()
        reply = await self._line(device, REPLY_S)
        if reply and reply not in LAST_LINES:
            self.world.on_reply(f"{device.id:016x}", self.world.now() - asked_s)
        return reply

    def _check_end(self, answer: str, expected: str, backend_is_dead: bool) -> None:
        if self._may_be_cut() or (backend_is_dead and answer == ""):
            self.world.counts["left" if self.has_left else "cut, as it may be"] += 1
            return
        received = repr(answer) if answer else "the connection's end"
        self.world.break_rule(
            f"a connection to {self.backend_name}, opened {self.world.now() - self.opened_s:.1f} s before,"
            f" got {received} in place of {expected!r}"
        )


class Clients:
    """All clients of a round."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.clients: list[Client] = []
        self.tasks: list[asyncio.Task[None]] = []

    async def open_standing(self) -> None:
        """Start the clients of the round, and wait until all are served."""
        self._start(STANDING)
        while self.world.counts["UP"] < STANDING:
            await asyncio.sleep(REPLY_S / 100)

    def _start(self, clients: int) -> None:
        started = [Client(self.world) for _ in range(clients)]
        self.clients += started
        self.tasks += [asyncio.ensure_future(client.run()) for client in started]

    def be_silent(self, seconds: float, clients: int = STANDING // 2) -> None:
        """Let some clients send nothing for a time."""
        for client in self.clients[:clients]:
            client.silent_until_s = self.world.now() + seconds

    async def reset_many(self) -> None:
        """Let some clients leave with a reset, at one moment or one by one, and as many others come."""
        here = [client for client in self.clients if not client.has_left]
        leaving = self.world.random.sample(here, min(len(here), self.world.random.randint(1, STANDING // 2)))
        pause_s = self.world.random.choice((0.0, 0.0, 0.4)) / max(1, len(leaving))
        self.world.note(f"{len(leaving)} clients leave with a reset, {pause_s:.3f} s apart")
        for client in leaving:
            client.reset()
            if pause_s:
                await asyncio.sleep(pause_s)
        self._start(len(leaving))

    async def check_all(self) -> None:
        """Let all clients talk, and check that each receives a line."""
        began_s = self.world.now()
        for client in self.clients:
            client.silent_until_s = 0.0
        here = [client for client in self.clients if not client.has_left]
        while here and self.world.now() < began_s + REPLY_S + BUSY_S:
            await asyncio.sleep(REPLY_S / 100)
            here = [client for client in here if client.heard_s < began_s]
        for client in here:
            self.world.break_rule(f"a connection to {client.backend_name} received nothing for {REPLY_S} s")

    async def end(self) -> None:
        """End all clients. Raises what a client raised, since that is a fault of this play."""
        for client in self.clients:
            client.has_left = True
        for task in self.tasks:
            task.cancel()
        results = await asyncio.gather(*self.tasks, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception):
                self.world.break_rule(f"the play's own exception {result!r}")
