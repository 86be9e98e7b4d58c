"""`serve`: the same as no verb at all."""

from __future__ import annotations

import click

from gradefront.early_signals import install_startup_handlers


@click.command(
    epilog="""\b
Example:
  LB_CONFIG=relay.json GRADEFRONT_QUIC=quic.json gradefront serve
"""
)
def serve() -> int:
    """Serve until told to stop. LB_CONFIG names the relay's file; status 2 where it makes no sense."""
    install_startup_handlers()
    from gradefront.service import serve as run

    return run()
