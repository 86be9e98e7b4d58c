"""Sets of networks, and the network that an address counts as. No I/O."""

from __future__ import annotations

import socket
from collections.abc import Iterable
from functools import lru_cache

import netaddr
import pytricia

MIN_PREFIX_V4_BITS = 8
MAX_PREFIX_V4_BITS = 32
MIN_PREFIX_V6_BITS = 16
MAX_PREFIX_V6_BITS = 128


class NetworkSet:
    """IPv4 and IPv6 networks, with `in` for addresses. Raises ValueError on what is no network."""

    def __init__(self, texts: Iterable[str] = ()) -> None:
        networks = []
        for text in texts:
            try:
                networks.append(netaddr.IPNetwork(text))
            except (netaddr.AddrFormatError, ValueError):
                raise ValueError(f"'{text}' is not a network in CIDR form") from None
        self.networks = netaddr.cidr_merge(networks)
        self.trees = {4: pytricia.PyTricia(32), 6: pytricia.PyTricia(128, socket.AF_INET6)}
        for network in self.networks:
            self.trees[network.version].insert(str(network), True)

    def __contains__(self, host: str) -> bool:
        return host in self.trees[6 if ":" in host else 4]

    def __bool__(self) -> bool:
        return bool(self.networks)

    def overlap(self, other: NetworkSet) -> str:
        """A network that is in both sets, or an empty text."""
        shared = netaddr.IPSet(self.networks) & netaddr.IPSet(other.networks)
        return next((str(network) for network in shared.iter_cidrs()), "")


class Prefixes:
    """The network that an address counts as: so many leading bits. Raises ValueError on lengths out of range."""

    def __init__(self, bits_v4: int = 24, bits_v6: int = 56) -> None:
        if not MIN_PREFIX_V4_BITS <= bits_v4 <= MAX_PREFIX_V4_BITS:
            raise ValueError("prefix_v4: must be from 8 to 32")
        if not MIN_PREFIX_V6_BITS <= bits_v6 <= MAX_PREFIX_V6_BITS:
            raise ValueError("prefix_v6: must be from 16 to 128")
        self.bits_v4 = bits_v4
        self.bits_v6 = bits_v6
        self.network_of = lru_cache(maxsize=8_192)(self._network_of)  # the network of an address, as bytes

    def _network_of(self, host: str) -> bytes:
        if ":" in host:
            number = int.from_bytes(socket.inet_pton(socket.AF_INET6, host.partition("%")[0]))
            return (number >> 128 - self.bits_v6).to_bytes(17)
        return (int.from_bytes(socket.inet_pton(socket.AF_INET, host)) >> 32 - self.bits_v4).to_bytes(4)
