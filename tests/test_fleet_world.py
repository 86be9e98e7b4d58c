"""Fleets with faults in the simulated world: the real membership code, one seed per run, oracles from outside."""

from __future__ import annotations

from random import Random

import pytest

from gradefront.fleet.members import Record, State
from gradefront.fleet.swim import Swim
from lab.fleet.world import Link, S, World

SEEDS = (1, 2, 3)


def converged(relays: int, seed: int, link: Link | None = None) -> World:
    world = World(relays, seed, link)
    assert world.until_right(5) < 5, world.wrong()
    world.run(world.now + 3 * S)
    return world


@pytest.mark.parametrize("seed", SEEDS)
def test_all_relays_of_a_fleet_of_forty_detect_a_killed_process_within_3_s(seed: int) -> None:
    world = converged(40, seed)
    world.kill("n7")
    assert world.until_right(5) <= 3.0
    assert not world.falsely_dead()


@pytest.mark.parametrize("seed", SEEDS)
def test_packet_loss_and_pauses_of_one_second_do_not_get_a_running_process_declared_dead(seed: int) -> None:
    world = converged(12, seed, Link(loss=0.05, duplicate=0.02, corrupt=0.01))
    pauses = [(10 * n + 1 + k, verb, "n3") for n in range(6) for k, verb in enumerate(("pause", "resume"))]
    world.play(pauses, 60)
    assert any(state is State.SUSPECT for *_, state in world.history), "the pauses must raise suspicions"
    assert not world.falsely_dead()
    counts = world.relays["n3"].swim.counts
    assert counts["held_up"] >= 6 and counts["refuted"] >= 1 and counts["bad_seal"] > 0


@pytest.mark.parametrize("cut", (3, 10))
def test_views_converge_within_3_s_after_a_partition_heals(cut: int) -> None:
    world = converged(20, 4)
    side = world.names[:cut]
    world.split(side)
    world.run(world.now + 10 * S)
    assert len(world.wrong()) == 2 * cut * (20 - cut), (
        "each side considers all of the other side gone, and nobody else"
    )
    world.heal()
    assert world.until_right(5) <= 3.0


def test_an_isolated_relay_detects_its_isolation_before_it_declares_others_dead() -> None:
    world = converged(12, 5)
    world.split(["n0"])
    world.run(world.now + 3 * S)
    isolated, other = world.relays["n0"].swim, world.relays["n1"].swim
    assert isolated.is_isolated and not other.is_isolated
    assert not any(m.gone for m in isolated.table.members.values()), "its suspicions take three times as long"
    assert other.table.members["n0"].record.state is State.DEAD
    world.heal()
    assert world.until_right(5) <= 3.0


def test_a_one_way_cut_between_two_relays_gets_neither_declared_dead() -> None:
    world = converged(12, 6)
    world.cut.add(("n0", "n1"))
    world.run(world.now + 20 * S)
    assert not world.falsely_dead() and not world.wrong()


def test_relays_that_restart_without_state_rejoin_under_their_names() -> None:
    world = converged(20, 7)
    world.kill(world.names[:14])
    world.run(world.now + S // 2)
    for name in world.names[:14]:  # before any other relay could detect the kill
        world.start(name)
    assert world.until_right(5) <= 3.0
    world.kill(world.names[:14])
    assert world.until_right(10) < 10
    for name in world.names[:14]:
        world.start(name)
    assert world.until_right(5) <= 3.0
    assert any(world.relays[n].swim.counts["name_taken_over"] for n in world.names[:14]), (
        "restarted relays must override their earlier records"
    )


def test_of_two_processes_with_the_same_name_one_yields_and_a_restart_is_not_mistaken_for_that() -> None:
    world = converged(8, 8)
    first = world.relays["n2"]
    second = world.start("n2", twin=True)
    world.run(world.now + 5 * S)
    assert first.swim.yielded is not second.swim.yielded
    assert first.swim.counts["name_held_twice"] + second.swim.counts["name_held_twice"] >= 1
    # Repeated restarts must not be taken for a second process of the same name.
    for _ in range(5):
        world.kill("n4")
        world.start("n4")
        world.run(world.now + S)
        assert not world.relays["n4"].swim.yielded
    assert world.until_right(5) < 5


def test_a_planned_leave_is_announced_and_raises_no_suspicion() -> None:
    world = converged(12, 9)
    earlier = len(world.history)
    world.leave("n5")
    world.run(world.now + S)
    changes = world.history[earlier:]
    assert {observer for _, observer, member, _, state in changes if (member, state) == ("n5", State.LEFT)} == {
        r.name for r in world.running()
    }
    assert not any(state in (State.SUSPECT, State.DEAD) for *_, state in changes)


def test_keys_rotate_without_false_deaths_and_a_relay_with_an_unknown_key_cannot_join() -> None:
    world = converged(8, 10)
    for relay in world.running():
        relay.sealer.keys[2] = b"n" * 32
    for relay in world.running():  # one after another, so that both keys are in use meanwhile
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


def test_a_newcomer_that_knows_one_relay_learns_of_all_others() -> None:
    world = converged(12, 12)
    newcomer = world.start("n12")
    for name in world.names[1:]:
        del newcomer.swim.table.members[name]
    world.names.append("n12")
    assert world.until_right(5) <= 3.0
    assert len(newcomer.swim.table.members) == 12


def swim_with_two_peers(now_us: int = 0) -> Swim:
    swim = Swim(Record("me", "h:1", State.ALIVE, 1, 5), {}, 200_000, Random(1), now_us)
    for name in "ab":
        swim.table.merge(Record(name, "h:1", State.ALIVE, 1, 7), now_us, direct=True)
    return swim


def test_after_a_pause_of_its_own_a_relay_neither_fails_probes_nor_expires_suspicions() -> None:
    swim, now = swim_with_two_peers(), 0
    while not swim.probes:
        now += 50_000
        swim.tick(now)
    swim.table.merge(Record("b", "h:1", State.SUSPECT, 1, 7), now)
    now += 5_000_000  # paused while a probe and a suspicion were pending
    swim.tick(now)
    assert {n: m.record.state for n, m in swim.table.members.items()} == {"a": State.ALIVE, "b": State.SUSPECT}
    assert swim.counts["held_up"] == 1 and not swim.counts["missed"]


def test_a_refuted_suspicion_is_not_raised_again_on_older_evidence() -> None:
    swim, now = swim_with_two_peers(), 0
    while not swim.probes:
        now += 50_000
        swim.tick(now)
    (probe,) = swim.probes.values()
    swim.table.merge(
        Record(probe.target, "h:1", State.ALIVE, 2, 7), now + 100_000
    )  # it refuted another relay's suspicion
    for _ in range(12):
        now += 50_000
        swim.tick(now)
    assert swim.counts["missed"] >= 1 and swim.table.members[probe.target].record.state is State.ALIVE


def test_the_bytes_that_a_relay_sends_do_not_grow_with_the_fleet() -> None:
    rates = []
    for relays in (5, 40):
        world = converged(relays, 11)
        world.sent.clear()
        world.run(world.now + 5 * S)
        rates.append(max(world.sent.values()) / 5)
    assert rates[1] < 2_000 and rates[1] < 1.5 * rates[0], rates
