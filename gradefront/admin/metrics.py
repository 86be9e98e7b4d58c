"""The figures in Prometheus' text form, rendered from the counters. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from gradefront.core.counters import Counters

PREFIX = "svc_"
CLASS = "group"  # the label that names a request class
BY_CLASS = ("answered_total", "deferred_total", "errored_total")
COUNTS = ("sends_total", "conf_loaded_total", "conf_invalid_total")


def escaped(value: str) -> str:
    """A label's value. Guards the form against names with quotes, backslashes or line ends."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def render_metrics(counters: Counters, classes: Iterable[str], levels: Mapping[str, int]) -> list[str]:
    """One line a figure: counts by class and in all, from 0 on, and present levels.

    `classes` are all that were ever in force: a dropped one keeps its counts.
    """
    distinct = list(dict.fromkeys(classes))
    return [
        *(
            f'{PREFIX}{name}{{{CLASS}="{escaped(request_class)}"}} {counters.of_class(name, request_class)}'
            for name in BY_CLASS
            for request_class in distinct
        ),
        *(f"{PREFIX}{name} {counters.counts[name]}" for name in COUNTS),
        *(f"{PREFIX}{name} {value}" for name, value in levels.items()),
    ]
