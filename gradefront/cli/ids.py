"""`ids`: encode and decode connection ids of draft-ietf-quic-load-balancers."""

from __future__ import annotations

import json
import os
from typing import Any

import click

from gradefront.quic.ids import KEY_LENGTH, UNROUTABLE, IdForm


class HexParam(click.ParamType[bytes]):
    """Octets as hex digits. An error message never contains the text, which may be a key."""

    name = "hex"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> bytes:
        """Decode the hex digits. Raises click's BadParameter."""
        if isinstance(value, bytes):
            return value
        try:
            return bytes.fromhex(value)
        except ValueError:
            self.fail("not hex digits", param, ctx)


HEX = HexParam()


@click.group(
    epilog="""\b
Examples:
  gradefront ids decode --server-id-length 3 --nonce-length 5 0831441a9c69c27512
  gradefront ids encode --server-id 31441a --nonce 9c69c27512
  gradefront ids new-key
"""
)
def ids() -> None:
    """Encode and decode QUIC connection ids."""


@ids.command()
@click.option("--key", type=HEX, help="Key of 16 octets in hex; without it the id is read as plaintext.")
@click.option("--server-id-length", type=int, required=True, help="Length of the server id in octets, 1 to 15.")
@click.option("--nonce-length", type=int, required=True, help="Length of the nonce in octets, 4 to 18.")
@click.option("--noise", is_flag=True, help="The low five bits of the first octet are random, not the length.")
@click.argument("connection_id", type=HEX, metavar="CIDHEX")
def decode(key: bytes | None, server_id_length: int, nonce_length: int, noise: bool, connection_id: bytes) -> None:
    """Print the fields of a connection id as one JSON object: config_id, server_id and nonce."""
    if not connection_id:
        raise ValueError("CIDHEX: empty")
    config_id = connection_id[0] >> 5
    if config_id == UNROUTABLE:
        raise ValueError("CIDHEX: configuration 7 identifies no backend")
    form = IdForm(config_id, server_id_length, nonce_length, not noise, key)
    if len(connection_id) != form.length:
        raise ValueError(f"CIDHEX: has {len(connection_id)} octets, expected {form.length}")
    decoded = form.decode(connection_id)
    if decoded is None:
        raise ValueError(f"CIDHEX: encodes a length of {connection_id[0] & 0x1F}, expected {form.length - 1}")
    click.echo(
        json.dumps(
            {"config_id": decoded.config_id, "server_id": decoded.server_id.hex(), "nonce": decoded.nonce.hex()}
        )
    )


@ids.command()
@click.option("--key", type=HEX, help="Key of 16 octets in hex; without it the id is plaintext.")
@click.option("--config-id", type=int, default=0, show_default=True, help="Number of the id configuration, 0 to 6.")
@click.option("--server-id", type=HEX, required=True, help="Server id of the backend, in hex.")
@click.option("--nonce", type=HEX, help="Nonce in hex; without it a random one of --nonce-length octets.")
@click.option("--nonce-length", type=int, help="Length of a random nonce in octets.")
@click.option("--server-id-length", type=int, help="Expected length of --server-id in octets.")
@click.option("--noise", is_flag=True, help="Fill the low five bits of the first octet with random bits.")
def encode(  # noqa: PLR0913 - click passes an argument for each option
    key: bytes | None,
    config_id: int,
    server_id: bytes,
    nonce: bytes | None,
    nonce_length: int | None,
    server_id_length: int | None,
    noise: bool,
) -> None:
    """Print a connection id as one JSON object: cid, config_id, server_id and nonce."""
    if nonce is None:
        if nonce_length is None:
            raise ValueError("--nonce: missing; give it, or --nonce-length for a random one")
        nonce = os.urandom(max(0, nonce_length))
    if nonce_length not in (None, len(nonce)):
        raise ValueError(f"--nonce: has {len(nonce)} octets, expected {nonce_length}")
    if server_id_length not in (None, len(server_id)):
        raise ValueError(f"--server-id: has {len(server_id)} octets, expected {server_id_length}")
    form = IdForm(config_id, len(server_id), len(nonce), not noise, key)
    click.echo(
        json.dumps(
            {
                "cid": form.make(server_id, nonce).hex(),
                "config_id": config_id,
                "server_id": server_id.hex(),
                "nonce": nonce.hex(),
            }
        )
    )


@ids.command("new-key")
def new_key() -> None:
    """Print a random key of 16 octets in hex. Keep it in a file that only its owner may read."""
    click.echo(os.urandom(KEY_LENGTH).hex())
