"""`check`: every file of settings, whole, as a start would read it."""

from __future__ import annotations

import os
from pathlib import Path

import click

from gradefront.config import ConfigError, load
from gradefront.fleet.switch import FILE as FLEET_FILE
from gradefront.fleet.switch import FORBIDDEN, allowed
from gradefront.quic import FILE
from gradefront.settings.files import read_object

from . import NONSENSE


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
    bad: list[str] = []
    relay = None
    environment = {"LB_LISTEN": "127.0.0.1:0", **os.environ, "LB_CONFIG": str(config)}
    try:
        relay = load(environment)
        click.echo(f"{config.name}: good; classes {', '.join(relay.class_names)}")
    except ConfigError as error:
        bad.append(f"{config.name}: {error}")
    try:
        told = read_object(quic)
        if told is None:
            click.echo(f"{quic.name}: there is none; the second front stays off")
        elif relay:
            from gradefront.quic.config import parse

            found = parse(told, relay, quic)
            click.echo(
                f"{quic.name}: good; {'on' if told.get('on') else 'off'}, {len(found.backends)} push boxes, "
                f"{len(found.forms)} configurations of ids"
            )
    except ConfigError as error:
        bad.append(str(error))
    try:
        told = read_object(fleet)
        if told is None:
            click.echo(f"{fleet.name}: there is none; the fleet stays off")
        elif relay and not (told.get("on") or told.get("keys")):
            click.echo(f"{fleet.name}: off, without keys")
        elif relay:
            from gradefront.fleet.settings import parse as parse_fleet

            peers = parse_fleet(told, relay.name, fleet).peers
            if told.get("on") and not allowed(relay):
                raise ConfigError(f"{fleet.name}: {FORBIDDEN}")
            click.echo(f"{fleet.name}: good; {'on' if told.get('on') else 'off'}, {len(peers)} peers")
    except ConfigError as error:
        bad.append(str(error))
    for line in bad:
        click.echo(f"gradefront: {line}", err=True)
    return NONSENSE if bad else 0
