"""`completion`: print the script with which a shell completes subcommands."""

from __future__ import annotations

import click
from click.shell_completion import get_completion_class

from . import gradefront


@click.command(
    epilog="""\b
Example:
  eval "$(gradefront completion bash)"
"""
)
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print the completion script for a shell."""
    kind = get_completion_class(shell)
    assert kind
    click.echo(kind(gradefront, {}, "gradefront", "_GRADEFRONT_COMPLETE").source())
