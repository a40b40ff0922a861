"""Model checker of the leases: explores all orders of events up to a depth.

Checks the invariants in every state. Must visit every state that a voter or candidate can
distinguish from the others, and none twice, for which signatures hold times relative to the current
time. The search is breadth first, so that a counterexample is as short as possible.
"""

from collections import deque
from typing import NamedTuple

from corkgauge.leases.candidate import CandidateState
from corkgauge.model.lease_signature import signature_of
from corkgauge.model.lease_world import World


class Path(NamedTuple):
    """The steps that lead to a state, as a linked list from the last step to the first."""

    previous: "Path | None"
    step: str


class Exploration:
    """Results of an exploration: the number of states by depth, and the shortest counterexample.

    `counterexample` lists the steps that lead to a violation, and the violation as its last line.
    """

    def __init__(self) -> None:
        self.by_depth: list[int] = []
        self.states_with_holder = 0  # explored states in which a candidate holds the lease
        self.counterexample: list[str] = []

    @property
    def state_count(self) -> int:
        """The number of states that were reached."""
        return sum(self.by_depth)


def explore(
    depth: int,
    restarts: int = 1,
    disabled: str = "",
    start_with_holder: bool = False,
    max_states: int = 10**9,
) -> Exploration:
    """Explore all states up to a depth, and stop at a violation or above `max_states` states.

    With `start_with_holder`, the first state is one in which the first candidate holds the lease
    and all its datagrams have arrived. The exploration is deterministic.
    """
    exploration = Exploration()
    first = World(restarts, disabled)
    if start_with_holder:
        first = _first_holder(first)
    seen = {hash(signature_of(first))}
    frontier: list[tuple[World, Path | None]] = [(first, None)]
    for _ in range(depth + 1):
        exploration.by_depth.append(len(frontier))
        frontier = _explore_frontier(exploration, deque(frontier), seen, max_states)
        if exploration.counterexample or len(seen) > max_states:
            break
    return exploration


def _first_holder(world: World) -> World:
    while not world.fencing_tokens:
        steps = (new for step, new in world.steps() if "c0" in step)
        world = next(steps, None) or world.time_step()[1]
    return world


def _explore_frontier(
    exploration: Exploration,
    frontier: deque[tuple[World, Path | None]],
    seen: set[int],
    max_states: int,
) -> list[tuple[World, Path | None]]:
    """Return the new states that are one step away from the states of the frontier."""
    reached: list[tuple[World, Path | None]] = []
    while frontier:
        world, path = frontier.popleft()  # explored worlds are large and must not stay in memory
        world.enter()
        exploration.states_with_holder += any(
            candidate.state is CandidateState.HOLDING for candidate in world.candidates.values()
        )
        for step, new in world.steps():
            new.drop_irrelevant_datagrams()
            signature = hash(signature_of(new))
            if signature in seen:
                continue
            seen.add(signature)
            violation = new.find_violation()
            if violation:
                exploration.counterexample = [*_list_steps(path), step, violation]
                return reached
            reached.append((new, Path(path, step)))
            if len(seen) > max_states:
                return reached
    return reached


def _list_steps(path: Path | None) -> list[str]:
    steps = []
    while path is not None:
        steps.append(path.step)
        path = path.previous
    return steps[::-1]
