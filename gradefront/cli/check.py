"""`check`: validate all settings files in the way the relay does at its start."""

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
    help="The relay's configuration file from the platform.",
)
@click.option(
    "--quic",
    type=click.Path(path_type=Path),
    envvar="GRADEFRONT_QUIC",
    default=FILE,
    show_default="deploy/quic.json",
    help="The settings file of the QUIC front.",
)
@click.option(
    "--fleet",
    type=click.Path(path_type=Path),
    envvar="GRADEFRONT_FLEET",
    default=FLEET_FILE,
    show_default="deploy/fleet.json",
    help="The settings file of the fleet.",
)
def check(config: Path, quic: Path, fleet: Path) -> int:
    """Check all settings files. Each error names file, field and value, and gives exit status 2.

    The file of the QUIC front is checked even if the front is off; that of the fleet if it is on or names keys."""
    errors: list[str] = []
    relay_config = None
    try:
        relay_config = _check_config(config)
    except ConfigError as error:
        errors.append(f"{config.name}: {error}")
    for check_file, path in ((_check_quic, quic), (_check_fleet, fleet)):
        try:
            check_file(path, relay_config)
        except ConfigError as error:
            errors.append(str(error))
    for line in errors:
        click.echo(f"gradefront: {line}", err=True)
    return EXIT_BAD_INPUT if errors else 0


def _check_config(path: Path) -> Config:
    """Load and return the relay's configuration. Raises ConfigError, whose message does not name the file."""
    environment = {"LB_LISTEN": "127.0.0.1:0", **os.environ, "LB_CONFIG": str(path)}
    relay_config = load(environment)
    click.echo(f"{path.name}: valid; classes {', '.join(relay_config.class_names)}")
    return relay_config


def _check_quic(path: Path, relay_config: Config | None) -> None:
    """Check the settings of the QUIC front. Raises ConfigError.

    Without a valid relay configuration, only check that the file is a JSON object.
    """
    document = read_object(path)
    if document is None:
        click.echo(f"{path.name}: no such file; the QUIC front is off")
    elif relay_config:
        from gradefront.quic.config import parse

        quic_config = parse(document, relay_config, path)
        click.echo(
            f"{path.name}: valid; {'on' if document.get('on') else 'off'}, {len(quic_config.backends)} backends, "
            f"{len(quic_config.forms)} connection id configurations"
        )


def _check_fleet(path: Path, relay_config: Config | None) -> None:
    """Check the settings of the fleet, whose fields are checked if it is on or names keys. Raises ConfigError."""
    document = read_object(path)
    if document is None:
        click.echo(f"{path.name}: no such file; the fleet is off")
    elif relay_config and not (document.get("on") or document.get("keys")):
        click.echo(f"{path.name}: off, no keys")
    elif relay_config:
        from gradefront.fleet.settings import parse

        peers = parse(document, relay_config.name, path).peers
        if document.get("on") and not peers_permitted(relay_config):
            raise ConfigError(f"{path.name}: {PEERS_NOT_PERMITTED}")
        click.echo(f"{path.name}: valid; {'on' if document.get('on') else 'off'}, {len(peers)} peers")
