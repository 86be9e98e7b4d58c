"""Relays that fail together, in the made-up world: the real membership code, one seed a run, oracles from outside."""

from __future__ import annotations

from random import Random

import pytest

from gradefront.fleet.members import Record, State
from gradefront.fleet.swim import Swim
from lab.fleet.world import Link, S, World

SEEDS = (1, 2, 3)


def settled(relays: int, seed: int, link: Link | None = None) -> World:
    world = World(relays, seed, link)
    assert world.until_right(5) < 5, world.wrong()
    world.run(world.now + 3 * S)
    return world


@pytest.mark.parametrize("seed", SEEDS)
def test_a_killed_process_is_known_at_all_forty_within_3_s(seed: int) -> None:
    world = settled(40, seed)
    world.kill("n7")
    assert world.until_right(5) <= 3.0
    assert not world.falsely_dead()


@pytest.mark.parametrize("seed", SEEDS)
def test_neither_loss_nor_pauses_of_a_second_make_a_sound_process_dead(seed: int) -> None:
    world = settled(12, seed, Link(loss=0.05, duplicate=0.02, corrupt=0.01))
    pauses = [(10 * n + 1 + k, verb, "n3") for n in range(6) for k, verb in enumerate(("pause", "resume"))]
    world.play(pauses, 60)
    assert any(state is State.SUSPECT for *_, state in world.history), "the pauses were noticed"
    assert not world.falsely_dead()
    counts = world.relays["n3"].swim.counts
    assert counts["held_up"] >= 6 and counts["refuted"] >= 1 and counts["bad_seal"] > 0


@pytest.mark.parametrize("cut", (3, 10))
def test_a_split_that_heals_is_one_view_within_3_s(cut: int) -> None:
    world = settled(20, 4)
    side = world.names[:cut]
    world.split(side)
    world.run(world.now + 10 * S)
    assert len(world.wrong()) == 2 * cut * (20 - cut), "each side holds the other for gone, and only that"
    world.heal()
    assert world.until_right(5) <= 3.0


def test_a_relay_that_hears_nobody_doubts_itself_before_it_calls_others_dead() -> None:
    world = settled(12, 5)
    world.split(["n0"])
    world.run(world.now + 3 * S)
    lone, others = world.relays["n0"].swim, world.relays["n1"].swim
    assert lone.is_isolated and not others.is_isolated
    assert not any(m.gone for m in lone.table.members.values()), "three times as long"
    assert others.table.members["n0"].record.state is State.DEAD
    world.heal()
    assert world.until_right(5) <= 3.0


def test_a_one_way_cut_kills_nobody_whom_others_hear() -> None:
    world = settled(12, 6)
    world.cut.add(("n0", "n1"))
    world.run(world.now + 20 * S)
    assert not world.falsely_dead() and not world.wrong()


def test_all_that_restart_with_nothing_are_taken_in_again_under_their_names() -> None:
    world = settled(20, 7)
    world.kill(world.names[:14])
    world.run(world.now + S // 2)
    for name in world.names[:14]:  # before anybody could notice
        world.start(name)
    assert world.until_right(5) <= 3.0
    world.kill(world.names[:14])
    assert world.until_right(10) < 10
    for name in world.names[:14]:
        world.start(name)
    assert world.until_right(5) <= 3.0
    assert any(world.relays[n].swim.counts["name_taken_over"] for n in world.names[:14]), "over what others held"


def test_a_name_that_two_processes_hold_is_noticed_and_one_of_them_yields() -> None:
    world = settled(8, 8)
    first = world.relays["n2"]
    second = world.start("n2", twin=True)
    world.run(world.now + 5 * S)
    assert first.swim.yielded is not second.swim.yielded
    assert first.swim.counts["name_held_twice"] + second.swim.counts["name_held_twice"] >= 1
    # A restart is no second process, however often it happens.
    for _ in range(5):
        world.kill("n4")
        world.start("n4")
        world.run(world.now + S)
        assert not world.relays["n4"].swim.yielded
    assert world.until_right(5) < 5


def test_a_planned_leave_is_announced_and_raises_no_suspicion() -> None:
    world = settled(12, 9)
    earlier = len(world.history)
    world.leave("n5")
    world.run(world.now + S)
    changes = world.history[earlier:]
    assert {who for _, who, whom, _, state in changes if (whom, state) == ("n5", State.LEFT)} == {
        r.name for r in world.running()
    }
    assert not any(state in (State.SUSPECT, State.DEAD) for *_, state in changes)


def test_a_strange_key_reaches_nobody_and_keys_rotate_under_load() -> None:
    world = settled(8, 10)
    for relay in world.running():
        relay.sealer.keys[2] = b"n" * 32
    for relay in world.running():  # one after another: both keys are in use meanwhile
        relay.sealer.sealing_key_id = 2
        world.run(world.now + S // 2)
    for relay in world.running():
        del relay.sealer.keys[1]
    world.run(world.now + 5 * S)
    assert not world.wrong() and not world.falsely_dead()
    world.names.append("n8")
    world.key = b"x" * 32
    world.start("n8")
    world.run(world.now + 3 * S)
    assert all("n8" not in r.swim.table.members for r in world.running() if r.name != "n8")
    assert world.relays["n1"].swim.counts["bad_seal"] > 0


def test_a_newcomer_that_knows_one_relay_finds_the_rest() -> None:
    world = settled(12, 12)
    newcomer = world.start("n12")
    for name in world.names[1:]:
        del newcomer.swim.table.members[name]
    world.names.append("n12")
    assert world.until_right(5) <= 3.0
    assert len(newcomer.swim.table.members) == 12


def one(now_us: int = 0) -> Swim:
    swim = Swim(Record("me", "h:1", State.ALIVE, 1, 5), {}, 200_000, Random(1), now_us)
    for name in "ab":
        swim.table.merge(Record(name, "h:1", State.ALIVE, 1, 7), now_us, direct=True)
    return swim


def test_what_a_relay_slept_through_is_held_against_nobody() -> None:
    swim, now = one(), 0
    while not swim.probes:
        now += 50_000
        swim.tick(now)
    swim.table.merge(Record("b", "h:1", State.SUSPECT, 1, 7), now)
    now += 5_000_000  # paused: a question was out, and a suspicion was ripening
    swim.tick(now)
    assert {n: m.record.state for n, m in swim.table.members.items()} == {"a": State.ALIVE, "b": State.SUSPECT}
    assert swim.counts["held_up"] == 1 and not swim.counts["missed"]


def test_a_refuted_suspicion_is_not_raised_again_on_older_evidence() -> None:
    swim, now = one(), 0
    while not swim.probes:
        now += 50_000
        swim.tick(now)
    (probe,) = swim.probes.values()
    swim.table.merge(Record(probe.target, "h:1", State.ALIVE, 2, 7), now + 100_000)  # it refuted another's suspicion
    for _ in range(12):
        now += 50_000
        swim.tick(now)
    assert swim.counts["missed"] >= 1 and swim.table.members[probe.target].record.state is State.ALIVE


def test_what_a_relay_sends_does_not_grow_with_the_fleet() -> None:
    rates = []
    for relays in (5, 40):
        world = settled(relays, 11)
        world.sent.clear()
        world.run(world.now + 5 * S)
        rates.append(max(world.sent.values()) / 5)
    assert rates[1] < 2_000 and rates[1] < 1.5 * rates[0], rates
