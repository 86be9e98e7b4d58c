"""The command line. The modules of the subcommands are imported only when one of them runs."""

from __future__ import annotations

import importlib
from typing import Any

import click

from gradefront import __version__
from gradefront.config import ConfigError

#: Module and help text of each subcommand. The texts are here so that --help imports no subcommand.
COMMANDS = {
    "check": ("check", "Check all settings files."),
    "completion": ("completion", "Print the completion script for a shell."),
    "conform": ("labs", "Run the conformance test suite of a protocol."),
    "demo": ("labs", "Run a relay with backends and clients on loopback, and narrate it."),
    "ids": ("ids", "Encode and decode QUIC connection ids."),
    "serve": ("serve", "Serve, as without a subcommand."),
}
EXIT_BAD_INPUT = 2  # invalid arguments or settings
EXIT_ABORTED = 130  # the status that a shell reports for SIGINT


class LazyCommandGroup(click.Group):
    """A command group that imports a subcommand when it runs."""

    def list_commands(self, ctx: click.Context) -> list[str]:  # noqa: ARG002 - click's signature
        """Return the names of all subcommands."""
        return sorted(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:  # noqa: ARG002 - click's signature
        """Import and return the subcommand `cmd_name`, or None if there is none."""
        if cmd_name not in COMMANDS:
            return None
        module = importlib.import_module(f"{__name__}.{COMMANDS[cmd_name][0]}")
        subcommand: click.Command = getattr(module, cmd_name)
        return subcommand

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:  # noqa: ARG002 - click's signature
        """Write the list of subcommands for --help."""
        with formatter.section("Commands"):
            formatter.write_dl([(name, help_text) for name, (_, help_text) in sorted(COMMANDS.items())])


@click.group(
    cls=LazyCommandGroup,
    context_settings={"help_option_names": ["-h", "--help"]},
    epilog="""\b
Examples:
  LB_CONFIG=relay.json gradefront            serve
  gradefront check --config relay.json       check relay.json and deploy/quic.json
  gradefront ids new-key                     generate a key for connection ids
  gradefront demo                            run a demonstration on loopback
""",
)
@click.version_option(__version__, prog_name="gradefront")
def gradefront() -> None:
    """The relay between clients and backends."""


def run(arguments: list[str] | None = None) -> int:
    """Run a command line and return its exit status. Invalid input gives one line on standard error and status 2."""
    try:
        result: Any = gradefront.main(arguments, prog_name="gradefront", standalone_mode=False)
        return result if isinstance(result, int) else 0
    except click.exceptions.NoArgsIsHelpError as error:
        click.echo(error.format_message())
        return EXIT_BAD_INPUT
    except (click.ClickException, ConfigError, ValueError) as error:
        text = error.format_message() if isinstance(error, click.ClickException) else str(error)
        click.echo(f"gradefront: {' '.join(text.split())}", err=True)
        return EXIT_BAD_INPUT
    except click.Abort:
        return EXIT_ABORTED
