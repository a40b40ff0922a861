"""Every order of events of the leases, to a depth: what must never be is looked for in each state.

Must reach each state that differs in anything that a machine could notice, and no state twice:
times are compared as seen from now. Breadth first, so what is found is shortest.
"""

from collections import deque
from typing import NamedTuple

from corkgauge.leases.candidate import CandidateState
from corkgauge.model.lease_signature import signature_of
from corkgauge.model.lease_world import World


class Path(NamedTuple):
    """The steps to a state, the last one first."""

    before: "Path | None"
    step: str


class Exploration:
    """What an exploration came to: states by depth, and the shortest way to what must never be."""

    def __init__(self) -> None:
        self.by_depth: list[int] = []
        self.states_with_holder = 0  # states in which somebody holds the lease
        self.counterexample: list[str] = []

    @property
    def state_count(self) -> int:
        """How many were reached."""
        return sum(self.by_depth)


def explore(
    depth: int,
    restarts: int = 1,
    disabled: str = "",
    start_with_holder: bool = False,
    max_states: int = 10**9,
) -> Exploration:
    """Breadth first; stops at what must never be, or past so many states.

    `held`: from the state in which the first candidate has come to hold the lease, all its
    datagrams arrived. Nothing is drawn by chance.
    """
    exploration = Exploration()
    first = World(restarts, disabled)
    if start_with_holder:
        first = _first_holder(first)
    seen = {hash(signature_of(first))}
    edge: list[tuple[World, Path | None]] = [(first, None)]
    for _ in range(depth + 1):
        exploration.by_depth.append(len(edge))
        edge = _explore_edge(exploration, deque(edge), seen, max_states)
        if exploration.counterexample or len(seen) > max_states:
            break
    return exploration


def _first_holder(world: World) -> World:
    while not world.fencing_tokens:
        steps = (new for step, new in world.steps() if "c0" in step)
        world = next(steps, None) or world.time_step()[1]
    return world


def _explore_edge(
    exploration: Exploration,
    edge: deque[tuple[World, Path | None]],
    seen: set[int],
    max_states: int,
) -> list[tuple[World, Path | None]]:
    """Take one step from each state of the edge: the states reached first."""
    reached: list[tuple[World, Path | None]] = []
    while edge:
        world, path = edge.popleft()  # a world that is done with is let go: they are large
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
                exploration.counterexample = [*_steps_of(path), step, violation]
                return reached
            reached.append((new, Path(path, step)))
            if len(seen) > max_states:
                return reached
    return reached


def _steps_of(path: Path | None) -> list[str]:
    steps = []
    while path is not None:
        steps.append(path.step)
        path = path.before
    return steps[::-1]
