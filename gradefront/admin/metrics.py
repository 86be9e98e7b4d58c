"""The figures in Prometheus' text format, rendered from the counters. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from gradefront.core.counters import Counters

PREFIX = "svc_"
CLASS_LABEL = "group"  # names a request class
COUNTERS_BY_CLASS = ("answered_total", "deferred_total", "errored_total")
COUNTERS = ("sends_total", "conf_loaded_total", "conf_invalid_total")


def escape_label(value: str) -> str:
    """A label's value. Prevents names with quotes, backslashes or line ends from breaking the format."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def render_metrics(counters: Counters, classes: Iterable[str], levels: Mapping[str, int]) -> list[str]:
    """One line a figure: counts by class and in all, from 0 on, and present levels.

    `classes` are all that were ever in force: a dropped one keeps its counts.
    """
    labels = {name: f'{CLASS_LABEL}="{escape_label(name)}"' for name in classes}
    return [
        *(
            f"{PREFIX}{name}{{{label}}} {counters.get_for_class(name, request_class)}"
            for name in COUNTERS_BY_CLASS
            for request_class, label in labels.items()
        ),
        *(f"{PREFIX}{name} {counters.counts[name]}" for name in COUNTERS),
        *(f"{PREFIX}{name} {value}" for name, value in levels.items()),
    ]
