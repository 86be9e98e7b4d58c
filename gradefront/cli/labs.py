"""`demo` and `conform`: they run the lab in a process of its own, since gradefront never imports it."""

from __future__ import annotations

import importlib.util
import subprocess
import sys

import click

from gradefront.config import ConfigError


def _run_lab(module: str, arguments: list[str]) -> int:
    """Run a module of the lab; its exit status. Raises ConfigError where a requirement is not installed."""
    for requirement in ("lab", "aioquic"):
        if importlib.util.find_spec(requirement) is None:
            raise ConfigError(
                f"{module}: needs '{requirement}'; install requirements-lab.txt, and run from the checkout"
            )
    return subprocess.run([sys.executable, "-m", f"lab.{module}", *arguments], check=False).returncode


@click.command()
def demo() -> int:
    """A relay, three backends and some devices on loopback, told as it happens; one backend drains, one is killed.

    It ends with the relay's counters, and status 0 if every device was served."""
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
@click.option("--against", multiple=True, metavar="HOST:PORT", help="A front that runs already.")
@click.option("--only", multiple=True, help="Cases whose name or section holds this text.")
@click.option("--out", multiple=True, help="Where to write the table: .json or .md; more than once if wanted.")
def conform(protocol: str, against: tuple[str, ...], only: tuple[str, ...], out: tuple[str, ...]) -> int:
    """Run the conformance suite of a protocol; status 1 where a case fails."""
    arguments = [
        f"--{name}={value}"
        for name, values in (("against", against), ("only", only), ("out", out))
        for value in values
    ]
    return _run_lab(f"conform.{protocol}", arguments)
