"""Rendering of the counters as metrics in the Prometheus text format. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from gradefront.core.counters import Counters

PREFIX = "svc_"
CLASS_LABEL = "group"  # its value is the name of a request class
COUNTERS_BY_CLASS = ("answered_total", "deferred_total", "errored_total")
COUNTERS = ("sends_total", "conf_loaded_total", "conf_invalid_total")


def escape_label(value: str) -> str:
    """Escape a label value, so that quotes, backslashes or line feeds in it do not break the format."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def render_metrics(counters: Counters, classes: Iterable[str], levels: Mapping[str, int]) -> list[str]:
    """Return one line per metric: counters by request class, total counters (also zeros) and current levels.

    `classes` includes classes that have been removed from the settings: they keep their counts.
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
