"""Signatures of the states of the lease model checker, to recognize equivalent states."""

from typing import Any

from corkgauge.leases.candidate import LeaseCandidate
from corkgauge.leases.voter import Voter
from corkgauge.model.lease_world import HAS_PROMISES, World

NO_VALUE = -1  # the candidate has no such value of the voter


def signature_of(world: World) -> tuple[Any, ...]:
    """Return a signature that is equal for states which no voter or candidate can distinguish.

    Serials are relative to the current serial of the candidate, and times relative to the current
    time. Voters are interchangeable: the signature groups all values by voter and sorts the groups.
    """
    candidates = tuple(
        _candidate_signature(world, name, candidate)
        for name, candidate in sorted(world.candidates.items())
    )
    datagrams = _datagram_signatures(world)
    voters = sorted(
        _voter_signature(world, name, voter, datagrams[name])
        for name, voter in world.voters.items()
    )
    return candidates, tuple(voters), world.restarts, max(world.fencing_tokens, default=0)


def _candidate_signature(world: World, name: str, candidate: LeaseCandidate) -> tuple[Any, ...]:
    now = world.now
    requesting_for = 0
    if candidate.state in HAS_PROMISES:
        requesting_for = now - candidate.requesting_since
    requests = tuple(
        (serial - candidate.serial, now - sent_at)
        for serial, sent_at in candidate.grants.sent_at.items()
    )
    return (
        candidate.state,
        candidate.fencing_token,
        max(candidate.held_until - now, 0),
        candidate.highest_ballot,
        candidate.ballot,
        requesting_for,
        candidate.pacing.failed_rounds,
        world.timers[name].due_at - now,
        requests,
    )


def _datagram_signatures(world: World) -> dict[str, list[tuple[Any, ...]]]:
    """Return the datagrams to and from each voter, by the name of the voter."""
    by_voter: dict[str, list[tuple[Any, ...]]] = {name: [] for name in world.voters}
    for datagram in world.datagrams:
        is_from_voter = datagram.sender in world.voters
        voter, candidate = datagram.recipient, datagram.sender
        if is_from_voter:
            voter, candidate = datagram.sender, datagram.recipient
        body = datagram.body
        serial = body[4] - world.candidates[candidate].serial
        by_voter[voter].append(
            (
                candidate,
                is_from_voter,
                body[0],
                serial,
                body[5:],
                datagram.sender_incarnation,
                datagram.recipient_incarnation,
            )
        )
    return by_voter


def _voter_signature(
    world: World, name: str, voter: Voter, datagrams: list[tuple[Any, ...]]
) -> tuple[Any, ...]:
    votes = tuple(
        (
            vote.promised_ballot,
            vote.granted_ballot,
            vote.holder,
            max(vote.granted_until - world.now, 0),
        )
        for vote in voter.votes.values()
    )
    replies = tuple(
        _reply_signature(world, name, candidate)
        for _, candidate in sorted(world.candidates.items())
    )
    return (
        max(voter.silent_until - world.now, 0),
        world.incarnations[name],
        votes,
        replies,
        tuple(sorted(datagrams)),
    )


def _reply_signature(world: World, voter: str, candidate: LeaseCandidate) -> tuple[int, int, int]:
    """Return what a candidate learned from the replies of one voter."""
    granted_for = NO_VALUE
    if voter in candidate.grants.granted_at:
        granted_for = world.now - candidate.grants.granted_at[voter]
    return (
        candidate.tally.accepted.get(voter, NO_VALUE),
        candidate.tally.blocked_ticks.get(voter, NO_VALUE),
        granted_for,
    )
