"""The second front's file: where it listens, and which push box is meant by which id."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from gradefront.config import Address, Config, ConfigError, address

from .ids import IdForm

FILE = Path(__file__).resolve().parent.parent.parent / "deploy" / "quic.json"


@dataclass(frozen=True)
class QuicBox:
    """A push box as the second front reaches it."""

    server_id: bytes
    address: Address
    reset_key: bytes


@dataclass(frozen=True)
class QuicConfig:
    """The second front's settings."""

    listen: dict[int, Address]  # by class
    form: IdForm
    boxes: dict[str, QuicBox]
    path_idle_us: int
    visit_idle_us: int
    most_paths: int
    most_waiting: int

    def box_of(self, server_id: bytes | None) -> str | None:
        """The push box that a server id names."""
        return next((name for name, box in self.boxes.items() if box.server_id == server_id), None)


def load(config: Config, path: Path) -> QuicConfig | None:
    """Read the file; None where there is none or the front is off."""
    try:
        told = json.loads(path.read_bytes())
    except FileNotFoundError:
        return None
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path.name}: {error}") from None
    if not isinstance(told, dict):
        raise ConfigError(f"{path.name}: not an object")
    return parse(told, config) if told.get("on") else None


def parse(told: dict[str, Any], config: Config) -> QuicConfig:
    """The settings from the file's object; an error names the field."""
    try:
        form = IdForm(int(told["config_id"]), int(told["server_id_length"]), int(told["nonce_length"]),
                      bool(told.get("id_tells_length", True)))
        listen = {}
        for name, where in told["listen"].items():
            if name not in config.class_names:
                raise ValueError(f"listen: no class is named '{name}'")
            listen[config.class_names.index(name)] = address(where, f"listen.{name}")
        boxes = {}
        for name, box in told["boxes"].items():
            server_id = bytes.fromhex(box["server_id"])
            if len(server_id) != form.server_id_length:
                raise ValueError(f"boxes.{name}.server_id: not {form.server_id_length} bytes")
            boxes[name] = QuicBox(server_id, address(box["address"], f"boxes.{name}.address"),
                                  bytes.fromhex(box["reset_key"]))
        if len({b.server_id for b in boxes.values()}) < len(boxes):
            raise ValueError("boxes: two have the same server_id")
        return QuicConfig(
            listen, form, boxes, int(float(told.get("path_idle_s", 20)) * 1e6),
            int(float(told.get("visit_idle_s", 30)) * 1e6), int(told.get("most_paths", 256)),
            int(told.get("most_waiting", 256)))
    except KeyError as error:
        raise ConfigError(f"quic.json: {error.args[0]}: missing") from None
    except (ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"quic.json: {error}") from None
