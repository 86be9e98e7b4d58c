"""`demo` and `conform`: run modules of lab/ in a separate process, since gradefront never imports lab."""

from __future__ import annotations

import importlib.util
import subprocess
import sys

import click

from gradefront.config import ConfigError


def _run_lab(module: str, arguments: list[str]) -> int:
    """Run a module of lab/ and return its exit status. Raises ConfigError if a requirement is not installed."""
    for requirement in ("lab", "aioquic"):
        if importlib.util.find_spec(requirement) is None:
            raise ConfigError(
                f"{module}: requires '{requirement}'; install requirements-lab.txt and run from the checkout"
            )
    return subprocess.run([sys.executable, "-m", f"lab.{module}", *arguments], check=False).returncode


@click.command()
def demo() -> int:
    """Run a relay, three backends and some clients on loopback, and narrate it; one backend drains, one is killed.

    Finally print the relay's counters. The exit status is 0 if every client was served."""
    return _run_lab("demo", [])


@click.command(
    context_settings={"ignore_unknown_options": True},
    epilog="""\b
Examples:
  gradefront conform quic --out quic.md
  gradefront conform quic --only retry --out quic.json
""",
)
@click.argument("protocol", type=click.Choice(["quic"]))
@click.option("--against", multiple=True, metavar="HOST:PORT", help="Test a running QUIC front at this address.")
@click.option("--only", multiple=True, help="Run only cases whose name or section contains this text.")
@click.option("--out", multiple=True, help="File for the result table, .json or .md; may be given several times.")
def conform(protocol: str, against: tuple[str, ...], only: tuple[str, ...], out: tuple[str, ...]) -> int:
    """Run the conformance test suite of a protocol. The exit status is 1 if a case fails."""
    arguments = [
        f"--{name}={value}"
        for name, values in (("against", against), ("only", only), ("out", out))
        for value in values
    ]
    return _run_lab(f"conform.{protocol}", arguments)
