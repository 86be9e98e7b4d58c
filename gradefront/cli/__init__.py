"""The command line: one module a group of verbs, imported when a verb of it runs."""

from __future__ import annotations

import importlib
from typing import Any

import click

from gradefront import __version__
from gradefront.config import ConfigError

#: Module and help text of each verb. The text stands here so that --help imports no verb.
COMMANDS = {
    "check": ("check", "Check all files of settings, whole."),
    "completion": ("completion", "Print the completion for a shell."),
    "conform": ("labs", "Run the conformance suite of a protocol."),
    "demo": ("labs", "A relay, push boxes and devices on loopback, told as it happens."),
    "ids": ("ids", "Make and read connection ids of QUIC."),
    "serve": ("serve", "Serve, as with no verb at all."),
}
EXIT_BAD_INPUT = 2  # arguments or settings make no sense
EXIT_ABORTED = 130  # as a shell reports SIGINT


class LazyCommandGroup(click.Group):
    """A group whose verbs are imported when they run."""

    def list_commands(self, ctx: click.Context) -> list[str]:  # noqa: ARG002 - click's signature
        """The names of all verbs."""
        return sorted(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:  # noqa: ARG002 - click's signature
        """The verb of a name, imported; None where there is none."""
        if cmd_name not in COMMANDS:
            return None
        module = importlib.import_module(f"{__name__}.{COMMANDS[cmd_name][0]}")
        subcommand: click.Command = getattr(module, cmd_name)
        return subcommand

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:  # noqa: ARG002 - click's signature
        """The list of verbs in --help."""
        with formatter.section("Verbs"):
            formatter.write_dl([(name, help_text) for name, (_, help_text) in sorted(COMMANDS.items())])


@click.group(
    cls=LazyCommandGroup,
    context_settings={"help_option_names": ["-h", "--help"]},
    epilog="""\b
Examples:
  LB_CONFIG=relay.json gradefront            serve
  gradefront check --config relay.json       check relay.json and deploy/quic.json
  gradefront ids new-key                     a fresh key for ids
  gradefront demo                            see it work, on loopback
""",
)
@click.version_option(__version__, prog_name="gradefront")
def gradefront() -> None:
    """The relay between clients and backends."""


def run(arguments: list[str] | None = None) -> int:
    """Run a command line; the exit status. Bad input gives one line on standard error and status 2."""
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
