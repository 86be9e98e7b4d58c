"""A simulated fleet: relays that run the real membership code over faulty links, reproducible from a seed.

A schedule is a list of (second, method, argument). The oracles compare the member states in each relay's view with
the actual state of the processes, which only the simulation knows. Times are in microseconds of the simulated clock
unless the name ends in `_s`.
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

S = 1_000_000  # microseconds in a second
LEAVE_US = 100_000  # from the announcement of a leave to the end of the process
FLIPPED_BITS = 0x55  # XORed into a corrupted octet


@dataclass(frozen=True)
class Link:
    """The delays and faults of every link that is not cut. Probabilities are from 0 to 1."""

    delay_us: int = 500
    jitter_us: int = 500
    loss: float = 0.0
    duplicate: float = 0.0
    corrupt: float = 0.0


@dataclass
class Relay:
    """A relay process."""

    name: str
    swim: Swim
    sealer: Sealer
    up: bool = True
    paused: bool = False
    #: Datagrams in the socket's receive buffer while the process is paused.
    waiting: list[bytes] = field(default_factory=list)


class World:
    """Discrete-event simulation of relays and the links between them."""

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
        self.twins: list[Relay] = []  # second processes that run under the name of a first one
        self.cut: set[tuple[str, str]] = set()  # (sender, receiver) pairs
        self.history: list[tuple[int, str, str, State, State]] = []  # time, observer, member, old state, new state
        self.truth: dict[str, bool] = {}  # by name: whether the relay's process runs
        self.sent: Counter[str] = Counter()  # bytes sent by each relay
        self.names = [f"n{n}" for n in range(relays)]
        for name in self.names:
            self.start(name)

    # ---- time

    def at(self, when_us: int, call: Callable[[], None]) -> None:
        """Schedule a call at a simulated time in microseconds."""
        heapq.heappush(self.events, (when_us, next(self.order), call))

    def run(self, until_us: int) -> None:
        """Run the scheduled calls up to a simulated time in microseconds."""
        while self.events and self.events[0][0] <= until_us:
            self.now, _, call = heapq.heappop(self.events)
            call()
        self.now = until_us

    def play(self, schedule: Iterable[tuple[float, str, Any]], until_s: float) -> None:
        """Schedule the methods of (second from now, method, argument) tuples, and run for `until_s` seconds."""
        for after_s, method, argument in schedule:
            call = partial(getattr(self, method), argument)
            self.at(self.now + int(after_s * S), call)
        self.run(self.now + int(until_s * S))

    # ---- faults

    def start(self, name: str, twin: bool = False) -> Relay:
        """Start a process under a name, without state of earlier ones. A `twin` runs beside the first process."""
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
        """Kill processes: they announce nothing to the fleet."""
        for name in [names] if isinstance(names, str) else names:
            self.relays[name].up = False
            self.truth[name] = False

    def pause(self, name: str) -> None:
        """Pause a process, as SIGSTOP does."""
        self.relays[name].paused = True

    def resume(self, name: str) -> None:
        """Resume a process, as SIGCONT does: datagrams that arrived during the pause are read at once."""
        relay = self.relays[name]
        relay.paused = False
        waiting, relay.waiting = relay.waiting, []
        for datagram in waiting:
            self._arrive(relay, datagram)

    def leave(self, name: str) -> None:
        """Announce a planned leave, and end the process LEAVE_US later."""
        relay = self.relays[name]
        self._send(relay, relay.swim.leave(self.now))
        self.at(self.now + LEAVE_US, lambda: self.kill(name))

    def split(self, one_side: list[str], one_way: bool = False) -> None:
        """Cut the links from `one_side` to the other relays and, unless `one_way`, those in reverse direction."""
        for name in one_side:
            for other in set(self.names) - set(one_side):
                self.cut.add((name, other))
                if not one_way:
                    self.cut.add((other, name))

    def heal(self, _: object = None) -> None:
        """Restore all links."""
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
                index = rng.randrange(len(datagram))
                datagram = datagram[:index] + bytes([datagram[index] ^ FLIPPED_BITS]) + datagram[index + 1 :]
            for _ in range(2 if rng.random() < link.duplicate else 1):
                arrival_us = self.now + link.delay_us + int(link.jitter_us * rng.random())
                self.at(arrival_us, lambda to=message.to, d=datagram: self._deliver(to, d))  # type: ignore[misc]

    def _deliver(self, to: str, datagram: bytes) -> None:
        # A twin has the same address as the first process: both receive the datagram.
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
        """Return the relays whose processes run."""
        return [r for r in self.relays.values() if r.up]

    def wrong(self) -> list[str]:
        """Return a line for each member whose state in a running relay's view contradicts the actual state."""
        mismatches = []
        for relay in self.running():
            states = {n: m.record.state for n, m in relay.swim.table.members.items()}
            for name, runs in self.truth.items():
                state = states.get(name, State.JOINING)
                is_correct = state is State.ALIVE if runs else state in (*GONE, State.JOINING)
                if name != relay.name and not is_correct:
                    mismatches.append(f"in the view of {relay.name}, {name} is {states.get(name)}")
        return mismatches

    def until_right(self, limit_s: float, step_us: int = 50_000) -> float:
        """Run until each running relay's view is correct, for about `limit_s` at most. Return the elapsed seconds."""
        began_us = self.now
        while self.wrong() and self.now < began_us + limit_s * S:
            self.run(self.now + step_us)
        return (self.now - began_us) / S

    def falsely_dead(self) -> list[tuple[int, str, str]]:
        """Return state changes to dead or left, as (time, observer, member), of members whose processes run."""
        return [
            (time_us, observer, member)
            for time_us, observer, member, _, state in self.history
            if state in GONE and self.truth[member]
        ]
