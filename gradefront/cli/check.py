"""`check`: every file of settings, as a start would read it."""

from __future__ import annotations

import os
from pathlib import Path

import click

from gradefront.config import Config, ConfigError, load
from gradefront.fleet.switch import DEFAULT_FILE as FLEET_FILE
from gradefront.fleet.switch import PEERS_NOT_PERMITTED, peers_permitted
from gradefront.quic import FILE
from gradefront.settings.files import read_object

from . import EXIT_BAD_INPUT


@click.command(
    epilog="""\b
Examples:
  gradefront check --config relay.json
  gradefront check --config relay.json --quic quic.json
"""
)
@click.option(
    "--config",
    type=click.Path(path_type=Path),
    envvar="LB_CONFIG",
    required=True,
    help="What the platform tells the relay.",
)
@click.option(
    "--quic",
    type=click.Path(path_type=Path),
    envvar="GRADEFRONT_QUIC",
    default=FILE,
    show_default="deploy/quic.json",
    help="The second front's file.",
)
@click.option(
    "--fleet",
    type=click.Path(path_type=Path),
    envvar="GRADEFRONT_FLEET",
    default=FLEET_FILE,
    show_default="deploy/fleet.json",
    help="The fleet's file.",
)
def check(config: Path, quic: Path, fleet: Path) -> int:
    """Check all files of settings, whole. Every error names file, field and value; status 2 then.

    The second front's file is checked even where the front is off; the fleet's is, once it names keys."""
    errors: list[str] = []
    relay = None
    try:
        relay = _check_config(config)
    except ConfigError as error:
        errors.append(f"{config.name}: {error}")
    for check_file, path in ((_check_quic, quic), (_check_fleet, fleet)):
        try:
            check_file(path, relay)
        except ConfigError as error:
            errors.append(str(error))
    for line in errors:
        click.echo(f"gradefront: {line}", err=True)
    return EXIT_BAD_INPUT if errors else 0


def _check_config(path: Path) -> Config:
    """Raises ConfigError, which does not name the file."""
    environment = {"LB_LISTEN": "127.0.0.1:0", **os.environ, "LB_CONFIG": str(path)}
    relay = load(environment)
    click.echo(f"{path.name}: good; classes {', '.join(relay.class_names)}")
    return relay


def _check_quic(path: Path, relay: Config | None) -> None:
    """Raises ConfigError. Without a sound configuration of the relay, only that the file is an object is checked."""
    document = read_object(path)
    if document is None:
        click.echo(f"{path.name}: there is none; the second front stays off")
    elif relay:
        from gradefront.quic.config import parse

        found = parse(document, relay, path)
        click.echo(
            f"{path.name}: good; {'on' if document.get('on') else 'off'}, {len(found.backends)} push boxes, "
            f"{len(found.forms)} configurations of ids"
        )


def _check_fleet(path: Path, relay: Config | None) -> None:
    """The same for the fleet's file, whose fields are checked once it is on or names keys."""
    document = read_object(path)
    if document is None:
        click.echo(f"{path.name}: there is none; the fleet stays off")
    elif relay and not (document.get("on") or document.get("keys")):
        click.echo(f"{path.name}: off, without keys")
    elif relay:
        from gradefront.fleet.settings import parse

        peers = parse(document, relay.name, path).peers
        if document.get("on") and not peers_permitted(relay):
            raise ConfigError(f"{path.name}: {PEERS_NOT_PERMITTED}")
        click.echo(f"{path.name}: good; {'on' if document.get('on') else 'off'}, {len(peers)} peers")
