"""`serve`: serve, as without a subcommand."""

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
    """Serve until a stop signal. LB_CONFIG names the configuration file; the exit status is 2 if it is invalid."""
    install_startup_handlers()
    from gradefront.service import serve as run

    return run()
