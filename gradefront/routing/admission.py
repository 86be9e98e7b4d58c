"""Admission control for a listener that anyone on the Internet can write to under any address. No I/O.

A request costs the relay and backends; a datagram with a made-up sender costs its sender nothing. What stands
between them, cheapest first: networks allowed and denied; a proof of address (a Retry's token) where backends
can read it; under pressure, where no proof is to be had, the second sight: an unknown sender is admitted when it
repeats itself, as every QUIC client does and a made-up one doesn't; rates by address and by network; a budget of
CPU; a bound on pending requests, with a fair share of it for each network.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from .buckets import Bucket, BucketTable
from .networks import NetworkSet, Prefixes

PRESSURE_WINDOW_US = 250_000  # in which fresh requests are counted
CALM_PERIOD_US = 2_000_000  # calm for so long ends the pressure
MIN_REPEAT_GAP_US = 50_000  # a repeat that comes sooner is the same burst, not a client's timer
FIRST_SIGHT_MEMORY_US = 2_000_000  # a first sight is remembered for one to two of these
MAX_FIRST_SIGHTS = 32_768  # in each of two halves; about 120 octets each
MAX_PROVEN_ADDRESSES = 8_192  # addresses; about 200 octets each
CREDIT = 2  # one client that responds outweighs so many requests without one
MAX_CREDIT = 64
NO_CAPACITY_RETRY_AFTER_US = 500_000  # capacity frees as soon as a pending request is answered
MIN_RETRY_AFTER_US = 1_000


class Verdict(Enum):
    """What becomes of a fresh request."""

    ADMIT = "take"
    REQUIRE_PROOF = "prove"  # ask for a proof of address
    AWAIT_REPEAT = "again"  # no answer: a client repeats itself, and is admitted then
    REJECT = "later"  # reject, with a Retry-After
    DENY = "deny"  # no answer: this network is denied
    DROP = "drop"  # no answer: over the rate, even that of rejections


class ProofMode(Enum):
    """When a proof of address is asked for."""

    NEVER = "never"
    ALWAYS = "always"
    AUTO = "auto"


@dataclass(slots=True, frozen=True)
class Limits:
    """What a listener admits. Rates are requests a second."""

    proof_mode: ProofMode = ProofMode.NEVER
    pressure: float = 200.0  # fresh requests a second, from which on the listener is under pressure
    address_rate: float = 100.0
    address_burst: float = 1_000.0
    network_rate: float = 400.0
    network_burst: float = 2_000.0
    unknown_rate: float = 200.0  # all senders without a proof together, under pressure
    refusal_rate: float = 100.0
    cpu_share: float = 0.25  # of one core, for opening what fresh requests bring
    most_waiting: int = 256
    allow: NetworkSet = field(default_factory=NetworkSet)
    deny: NetworkSet = field(default_factory=NetworkSet)
    prefixes: Prefixes = field(default_factory=Prefixes)


class Admission:
    """The state of admission control: every table has a fixed size, or a bound and an order of eviction."""

    def __init__(self, limits: Limits, now_us: int) -> None:
        self.limits = limits
        self.addresses = BucketTable(limits.address_rate, limits.address_burst)
        self.networks = BucketTable(limits.network_rate, limits.network_burst)
        self.unknown = Bucket(limits.unknown_rate, max(1.0, limits.unknown_rate / 4), now_us)
        self.rejections = Bucket(limits.refusal_rate, max(1.0, limits.refusal_rate / 2), now_us)
        self.cpu = Bucket(limits.cpu_share * 1e6, limits.cpu_share * 250_000, now_us)  # microseconds
        self.proven: OrderedDict[str, int] = OrderedDict()
        self.sights: list[dict[bytes, int]] = [{}, {}]
        self.sights_rotated_us = now_us
        self.pending: Counter[bytes] = Counter()  # by network; no more entries than may wait
        self.window_count = 0
        self.window_start_us = now_us
        self.calm_since_us = now_us
        self.under_pressure = False

    # ---- what a fresh request gets

    def decide(self, now_us: int, host: str, request: bytes, proven: bool) -> tuple[Verdict, int]:
        """What becomes of a request from this address, and for `REJECT` the Retry-After in microseconds.

        `request` distinguishes one request of a sender from another; `proven`: it came with a sound proof of address.
        """
        limits = self.limits
        if host in limits.deny or (limits.allow and host not in limits.allow):
            return Verdict.DENY, 0
        self._update_pressure(now_us)
        pressure = self.under_pressure
        trusted = proven or self.is_proven(host)
        has_token = self.addresses.take(host, now_us) if trusted or not pressure else False
        if not proven and (
            limits.proof_mode is ProofMode.ALWAYS
            or limits.proof_mode is ProofMode.AUTO
            and pressure
            and not has_token
        ):
            return Verdict.REQUIRE_PROOF, 0
        if pressure and not proven and not has_token:
            # An unknown sender, or a known one who floods, or in whose name someone does.
            if not self._seen_before(now_us, host, request):
                return Verdict.AWAIT_REPEAT, 0
            if not self.unknown.take(now_us):
                return Verdict.DROP, 0
        elif not has_token:
            return self._reject(now_us, trusted, self.addresses.wait_us(host, now_us))
        network = limits.prefixes.network_of(host)
        if not self.has_capacity(network):
            return self._reject(now_us, trusted, NO_CAPACITY_RETRY_AFTER_US)
        if not self.networks.take(network, now_us):
            return self._reject(now_us, trusted, self.networks.wait_us(network, now_us))
        if self.cpu.level(now_us) <= 0:
            return self._reject(now_us, trusted, self.cpu.wait_us(now_us))
        return Verdict.ADMIT, 0

    def _reject(self, now_us: int, is_known: bool, retry_after_us: int) -> tuple[Verdict, int]:
        """A rejection costs a packet too: unknown senders get none under pressure."""
        if self.under_pressure and not is_known or not self.rejections.take(now_us):
            return Verdict.DROP, 0
        return Verdict.REJECT, max(MIN_RETRY_AFTER_US, retry_after_us)

    # ---- pressure, with hysteresis

    def _update_pressure(self, now_us: int) -> None:
        self.window_count += 1
        passed_us = now_us - self.window_start_us
        bound = self.limits.pressure * PRESSURE_WINDOW_US / 1e6
        if self.window_count > bound and passed_us <= PRESSURE_WINDOW_US:
            self.under_pressure, self.calm_since_us = True, now_us
        if passed_us > PRESSURE_WINDOW_US:
            if self.window_count * PRESSURE_WINDOW_US > bound * passed_us / 2:
                self.calm_since_us = now_us
            self.window_start_us, self.window_count = now_us, 0
        if self.under_pressure and now_us - self.calm_since_us > CALM_PERIOD_US:
            self.under_pressure = False

    # ---- first and second sight

    def _seen_before(self, now_us: int, host: str, request: bytes) -> bool:
        if now_us - self.sights_rotated_us > FIRST_SIGHT_MEMORY_US or len(self.sights[0]) >= MAX_FIRST_SIGHTS:
            self.sights, self.sights_rotated_us = [{}, self.sights[0]], now_us
        key = host.encode() + b" " + request
        first_us = self.sights[0].get(key) or self.sights[1].get(key)
        if first_us is None:
            self.sights[0][key] = now_us
            return False
        return now_us - first_us >= MIN_REPEAT_GAP_US

    # ---- addresses that have responded

    def credit(self, host: str, responded: bool) -> None:
        """Record whether a client at this address responded to what was sent to it.

        Where made-up senders use a proven address, it soon isn't one any more.
        """
        level = self.proven.get(host, 0) + (CREDIT if responded else -1)
        self.proven[host] = max(-MAX_CREDIT, min(MAX_CREDIT, level))
        self.proven.move_to_end(host)
        if len(self.proven) > MAX_PROVEN_ADDRESSES:
            self.proven.popitem(last=False)

    def is_proven(self, host: str) -> bool:
        """Whether this address responded more than not."""
        return self.proven.get(host, 0) > 0

    # ---- pending requests

    def has_capacity(self, network: bytes) -> bool:
        """Whether one more request of this network may wait: while half is free any may, then each its share."""
        most, waiting = self.limits.most_waiting, sum(self.pending.values())
        if waiting >= most:
            return False
        share = most // (len(self.pending) + (network not in self.pending) + 1)
        return waiting < most // 2 or self.pending[network] < max(1, share)

    def add_pending(self, network: bytes) -> None:
        """A request of this network begins to wait."""
        self.pending[network] += 1

    def remove_pending(self, network: bytes) -> None:
        """A request of this network waits no more."""
        self.pending[network] -= 1
        if self.pending[network] <= 0:
            del self.pending[network]
