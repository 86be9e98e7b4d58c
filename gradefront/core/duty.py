"""Whether the relay takes clients: one state table, read by the front's `PING` and the operators' door alike."""

from __future__ import annotations

from enum import Enum


class Duty(Enum):
    """What the relay is about."""

    STARTING = "starting"  # no push box is known yet
    SERVING = "serving"
    LAME_DUCK = "lame duck"  # operators empty it; it serves whoever still comes, and goes on running
    LEAVING = "leaving"  # it empties itself and ends


class Word(Enum):
    """What may change that."""

    READY = "ready"  # clients can be placed
    UNREADY = "unready"  # the box list is empty
    LAMEDUCK = "lameduck"
    REJOIN = "rejoin"
    LEAVE = "leave"


#: A word that stands in no line changes nothing, and whoever said it is told so.
TABLE: dict[tuple[Duty, Word], Duty] = {
    (Duty.STARTING, Word.READY): Duty.SERVING,
    (Duty.STARTING, Word.LAMEDUCK): Duty.LAME_DUCK,
    (Duty.SERVING, Word.UNREADY): Duty.STARTING,
    (Duty.SERVING, Word.LAMEDUCK): Duty.LAME_DUCK,
    (Duty.LAME_DUCK, Word.REJOIN): Duty.STARTING,  # the desk says at once whether clients can be placed
    # What is said again is granted again, and begins nothing anew.
    (Duty.SERVING, Word.REJOIN): Duty.SERVING,
    (Duty.STARTING, Word.REJOIN): Duty.STARTING,
    (Duty.LAME_DUCK, Word.LAMEDUCK): Duty.LAME_DUCK,
    (Duty.LEAVING, Word.LAMEDUCK): Duty.LEAVING,
    **{(duty, Word.LEAVE): Duty.LEAVING for duty in Duty},
}


def step(duty: Duty, word: Word) -> Duty | None:
    """The state that the word leads to; None where the word means nothing here."""
    return TABLE.get((duty, word))
