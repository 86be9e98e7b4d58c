"""Admission control for a listener that anyone on the Internet can send to, from any source address. No I/O.

A request costs the relay and backends work; a datagram with a spoofed source address costs its sender nothing. These
checks decide on a new request, cheapest first: allowed and denied networks; a proof of address (a Retry token) where
backends can read it; under pressure without such a proof, a repetition: an unknown sender is admitted once it
repeats its request, as every QUIC client does and a sender with spoofed addresses doesn't; rate limits by address and
by network; a CPU budget; a limit on pending requests, of which each network gets a fair share.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from .buckets import Bucket, BucketTable
from .networks import NetworkSet, Prefixes

PRESSURE_WINDOW_US = 250_000  # span over which new requests are counted
CALM_PERIOD_US = 2_000_000  # pressure ends when the request rate has been low for this long
MIN_REPEAT_GAP_US = 50_000  # a sooner repetition is part of the same burst, not a client's timed retransmission
# An unknown sender's first request is remembered for one to two of these spans, or less at MAX_FIRST_REQUESTS.
FIRST_REQUEST_MEMORY_US = 2_000_000
MAX_FIRST_REQUESTS = 32_768  # entries in each of two generations; about 120 octets each
MAX_PROVEN_ADDRESSES = 8_192  # entries; about 200 octets each
RESPONSE_CREDIT = 2  # one client that responds outweighs this many requests from its address without a response
MAX_CREDIT = 64
NO_CAPACITY_RETRY_AFTER_US = 500_000  # capacity is freed as soon as a pending request is answered
MIN_RETRY_AFTER_US = 1_000


class Verdict(Enum):
    """The decision on a new request. The values are parts of counter names."""

    ADMIT = "take"
    REQUIRE_PROOF = "prove"  # ask for a proof of address
    AWAIT_REPEAT = "again"  # send no answer; a client repeats its request and is admitted then
    REJECT = "later"  # reject with a Retry-After
    DENY = "deny"  # send no answer, as the network is denied or not among the allowed ones
    DROP = "drop"  # send no answer, as not even a rejection is within the rate limits


class ProofMode(Enum):
    """When a proof of address is required; the values are those of the setting retry.mode."""

    NEVER = "never"
    ALWAYS = "always"
    AUTO = "auto"


@dataclass(slots=True, frozen=True)
class Limits:
    """Limits of a listener. Rates are requests per second."""

    proof_mode: ProofMode = ProofMode.NEVER
    pressure: float = 200.0  # rate of new requests above which the listener is under pressure
    address_rate: float = 100.0
    address_burst: float = 1_000.0
    network_rate: float = 400.0
    network_burst: float = 2_000.0
    unknown_rate: float = 200.0  # of all senders without a proof of address together, under pressure
    refusal_rate: float = 100.0  # of rejections sent
    cpu_share: float = 0.25  # of one core, for decrypting the packets of new requests
    most_waiting: int = 256  # pending requests
    allow: NetworkSet = field(default_factory=NetworkSet)
    deny: NetworkSet = field(default_factory=NetworkSet)
    prefixes: Prefixes = field(default_factory=Prefixes)


class Admission:
    """The state of admission control. Each table has a fixed size, or a maximum size and an eviction order."""

    def __init__(self, limits: Limits, now_us: int) -> None:
        self.limits = limits
        self.addresses = BucketTable(limits.address_rate, limits.address_burst)
        self.networks = BucketTable(limits.network_rate, limits.network_burst)
        self.unknown = Bucket(limits.unknown_rate, max(1.0, limits.unknown_rate / 4), now_us)
        self.rejections = Bucket(limits.refusal_rate, max(1.0, limits.refusal_rate / 2), now_us)
        self.cpu = Bucket(limits.cpu_share * 1e6, limits.cpu_share * 250_000, now_us)  # microseconds
        self.proven: OrderedDict[str, int] = OrderedDict()  # credit by address; positive if it is proven
        # Two generations of first requests: their arrival times by address and request.
        self.first_requests: list[dict[bytes, int]] = [{}, {}]
        self.first_requests_rotated_us = now_us
        self.pending: Counter[bytes] = Counter()  # requests by network; at most `most_waiting` entries
        self.window_count = 0
        self.window_start_us = now_us
        self.calm_since_us = now_us
        self.under_pressure = False

    # ---- decision on a new request

    def decide(self, now_us: int, host: str, request: bytes, proven: bool) -> tuple[Verdict, int]:
        """Decide on a request from the address `host`; return the verdict, and for `REJECT` the Retry-After in us.

        `request` distinguishes one request of a sender from another. `proven` means that the request carries a valid
        proof of address.
        """
        limits = self.limits
        if host in limits.deny or (limits.allow and host not in limits.allow):
            return Verdict.DENY, 0
        self._update_pressure(now_us)
        pressure = self.under_pressure
        trusted = proven or self.is_proven(host)
        within_rate = self.addresses.take(host, now_us) if trusted or not pressure else False
        if not proven and (
            limits.proof_mode is ProofMode.ALWAYS
            or limits.proof_mode is ProofMode.AUTO
            and pressure
            and not within_rate
        ):
            return Verdict.REQUIRE_PROOF, 0
        if pressure and not proven and not within_rate:
            # An unknown sender, or a known address over its rate, because its owner floods or others spoof it.
            if not self._is_repetition(now_us, host, request):
                return Verdict.AWAIT_REPEAT, 0
            if not self.unknown.take(now_us):
                return Verdict.DROP, 0
        elif not within_rate:
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
        """Reject a request. A rejection costs a packet too, so unknown senders get none under pressure."""
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

    # ---- repeated requests of unknown senders

    def _is_repetition(self, now_us: int, host: str, request: bytes) -> bool:
        if (
            now_us - self.first_requests_rotated_us > FIRST_REQUEST_MEMORY_US
            or len(self.first_requests[0]) >= MAX_FIRST_REQUESTS
        ):
            self.first_requests, self.first_requests_rotated_us = [{}, self.first_requests[0]], now_us
        key = host.encode() + b" " + request
        first_us = self.first_requests[0].get(key) or self.first_requests[1].get(key)
        if first_us is None:
            self.first_requests[0][key] = now_us
            return False
        return now_us - first_us >= MIN_REPEAT_GAP_US

    # ---- credit of addresses

    def credit(self, host: str, responded: bool) -> None:
        """Record whether a client at this address responded to what was sent to it.

        A proven address that others spoof soon loses its credit, and counts as unknown again.
        """
        level = self.proven.get(host, 0) + (RESPONSE_CREDIT if responded else -1)
        self.proven[host] = max(-MAX_CREDIT, min(MAX_CREDIT, level))
        self.proven.move_to_end(host)
        if len(self.proven) > MAX_PROVEN_ADDRESSES:
            self.proven.popitem(last=False)

    def is_proven(self, host: str) -> bool:
        """Return whether the credit of this address is positive: its responses outweigh its missing ones."""
        return self.proven.get(host, 0) > 0

    # ---- pending requests

    def has_capacity(self, network: bytes) -> bool:
        """Return whether one more request of this network may be pending.

        Any network may use the first half of the limit; beyond it, each may only use up to its fair share.
        """
        limit, pending = self.limits.most_waiting, sum(self.pending.values())
        if pending >= limit:
            return False
        share = limit // (len(self.pending) + (network not in self.pending) + 1)
        return pending < limit // 2 or self.pending[network] < max(1, share)

    def add_pending(self, network: bytes) -> None:
        """Count one more pending request of this network."""
        self.pending[network] += 1

    def remove_pending(self, network: bytes) -> None:
        """Count one pending request of this network less."""
        self.pending[network] -= 1
        if self.pending[network] <= 0:
            del self.pending[network]
