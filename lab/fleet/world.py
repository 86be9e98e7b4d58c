"""A simulated world: relays that run the real membership code, faulty links, one seed.

A schedule is data: (second, method, argument). The oracles compare what each relay believes with the truth, which
only the world knows. Times are microseconds of the world's clock unless they end in `_s`.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random
from typing import Any

from gradefront.fleet.members import GONE, Record, State
from gradefront.fleet.swim import TICKS_PER_PERIOD, Swim
from gradefront.fleet.wire import DatagramRejectedError, Message, Sealer

S = 1_000_000  # microseconds
LEAVE_US = 100_000  # from the announcement of a leave to the end of the process
FLIPPED_BITS = 0x55  # in a corrupted octet


@dataclass(frozen=True)
class Link:
    """What every link does, unless it is cut. Probabilities from 0 to 1."""

    delay_us: int = 500
    jitter_us: int = 500
    loss: float = 0.0
    duplicate: float = 0.0
    corrupt: float = 0.0


@dataclass
class Relay:
    """One process of a relay."""

    name: str
    swim: Swim
    sealer: Sealer
    up: bool = True
    paused: bool = False
    waiting: list[bytes] = field(default_factory=list)  # datagrams in its socket's buffer while it is paused


class World:
    """Relays, links, and a clock that jumps from event to event."""

    def __init__(
        self, relays: int, seed: int, link: Link | None = None, period_us: int = 200_000, key: bytes = b"k" * 32
    ) -> None:
        self.random = Random(seed)
        self.link = link or Link()
        self.period_us = period_us
        self.key = key
        self.now = 0
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.order = count()
        self.relays: dict[str, Relay] = {}
        self.twins: list[Relay] = []  # second processes of a name
        self.cut: set[tuple[str, str]] = set()  # directed
        self.history: list[tuple[int, str, str, State, State]] = []  # when, observer, member, before, after
        self.truth: dict[str, bool] = {}  # whether the process of that name runs
        self.sent: Counter[str] = Counter()  # bytes by relay
        self.names = [f"n{n}" for n in range(relays)]
        for name in self.names:
            self.start(name)

    # ---- time

    def at(self, when_us: int, call: Callable[[], None]) -> None:
        """Schedules a call."""
        heapq.heappush(self.events, (when_us, next(self.order), call))

    def run(self, until_us: int) -> None:
        """Runs all that is scheduled up to a time."""
        while self.events and self.events[0][0] <= until_us:
            self.now, _, call = heapq.heappop(self.events)
            call()
        self.now = until_us

    def play(self, schedule: Iterable[tuple[float, str, Any]], until_s: float) -> None:
        """Calls the methods of a schedule of (second from now, method, argument), and runs for `until_s` seconds."""
        for after_s, method, argument in schedule:
            call = partial(getattr(self, method), argument)
            self.at(self.now + int(after_s * S), call)
        self.run(self.now + int(until_s * S))

    # ---- faults

    def start(self, name: str, twin: bool = False) -> Relay:
        """Starts a new process of that name, which remembers nothing; a `twin` runs beside the first one."""
        own = Record(name, f"{name}:1", State.ALIVE, 1, self.random.getrandbits(62) | 1)
        peers = {n: f"{n}:1" for n in self.names if n != name}
        relay = Relay(
            name,
            Swim(own, peers, self.period_us, Random(self.random.getrandbits(32)), self.now),
            Sealer(name, {1: self.key}, 1),
        )
        if twin:
            self.twins.append(relay)
        else:
            self.relays[name] = relay
            self.truth[name] = True
        self.at(self.now + self.random.randrange(self.period_us), lambda: self._tick(relay))
        return relay

    def kill(self, names: str | list[str]) -> None:
        """Ends processes without an announcement."""
        for name in [names] if isinstance(names, str) else names:
            self.relays[name].up = False
            self.truth[name] = False

    def pause(self, name: str) -> None:
        """As SIGSTOP does."""
        self.relays[name].paused = True

    def resume(self, name: str) -> None:
        """As SIGCONT does: datagrams that arrived meanwhile are read at once."""
        relay = self.relays[name]
        relay.paused = False
        waiting, relay.waiting = relay.waiting, []
        for datagram in waiting:
            self._arrive(relay, datagram)

    def leave(self, name: str) -> None:
        """Announces a planned leave, and ends the process soon after."""
        relay = self.relays[name]
        self._send(relay, relay.swim.leave(self.now))
        self.at(self.now + LEAVE_US, lambda: self.kill(name))

    def split(self, one_side: list[str], one_way: bool = False) -> None:
        """Cuts all links from one side to the other, and those back unless `one_way`."""
        for here in one_side:
            for there in set(self.names) - set(one_side):
                self.cut.add((here, there))
                if not one_way:
                    self.cut.add((there, here))

    def heal(self, _: object = None) -> None:
        """Restores all links."""
        self.cut.clear()

    # ---- the network

    def _tick(self, relay: Relay) -> None:
        if not relay.up:
            return
        if not relay.paused:
            self._send(relay, relay.swim.tick(self.now))
        self.at(self.now + self.period_us // TICKS_PER_PERIOD, lambda: self._tick(relay))

    def _send(self, relay: Relay, messages: Iterable[Message]) -> None:
        self.history += [(self.now, relay.name, *change) for change in relay.swim.state_changes]
        relay.swim.state_changes.clear()
        rng, link = self.random, self.link
        for message in messages:
            datagram = relay.sealer.seal(message)
            self.sent[relay.name] += len(datagram)
            if (relay.name, message.to) in self.cut or rng.random() < link.loss:
                continue
            if rng.random() < link.corrupt:
                place = rng.randrange(len(datagram))
                datagram = datagram[:place] + bytes([datagram[place] ^ FLIPPED_BITS]) + datagram[place + 1 :]
            for _ in range(2 if rng.random() < link.duplicate else 1):
                when = self.now + link.delay_us + int(link.jitter_us * rng.random())
                self.at(when, lambda to=message.to, d=datagram: self._deliver(to, d))  # type: ignore[misc]

    def _deliver(self, to: str, datagram: bytes) -> None:
        # A twin shares the address with the first process: both receive.
        for relay in [r for r in (*self.twins, self.relays.get(to)) if r and r.name == to and r.up]:
            if relay.paused:
                relay.waiting.append(datagram)
            else:
                self._arrive(relay, datagram)

    def _arrive(self, relay: Relay, datagram: bytes) -> None:
        try:
            message = relay.sealer.open(datagram)
        except DatagramRejectedError as error:
            relay.swim.counts[str(error)] += 1
            return
        self._send(relay, relay.swim.receive(message, self.now))

    # ---- oracles

    def running(self) -> list[Relay]:
        """The relays that run."""
        return [r for r in self.relays.values() if r.up]

    def wrong(self) -> list[str]:
        """A line for each belief of a running relay that is not true."""
        found = []
        for relay in self.running():
            believed = {n: m.record.state for n, m in relay.swim.table.members.items()}
            for name, runs in self.truth.items():
                state = believed.get(name, State.JOINING)
                is_true = state is State.ALIVE if runs else state in (*GONE, State.JOINING)
                if name != relay.name and not is_true:
                    found.append(f"{relay.name} holds {name} for {believed.get(name)}")
        return found

    def until_right(self, limit_s: float, step_us: int = 50_000) -> float:
        """Runs until every running relay's view is true. Returns the seconds it took, or `limit_s`."""
        began_us = self.now
        while self.wrong() and self.now < began_us + limit_s * S:
            self.run(self.now + step_us)
        return (self.now - began_us) / S

    def falsely_dead(self) -> list[tuple[int, str, str]]:
        """Announced deaths, as (when, observer, member), of processes that ran."""
        return [(when, who, whom) for when, who, whom, _, state in self.history if state in GONE and self.truth[whom]]
