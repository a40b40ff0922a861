"""The program's start and end: listening, signals, logging, the way out.

Owns the signals. Must never touch a submission itself.
"""

import gc
import os
import resource
import select
import signal
import socket
import sys
from collections.abc import Callable, Mapping
from typing import Any

from loguru import logger

from corkgauge.config import platform as configuration
from corkgauge.config.platform import ConfigurationError, PlatformConfig
from corkgauge.eventloop import logging as log
from corkgauge.eventloop.connection import NEVER
from corkgauge.eventloop.loop import READ, SECOND, EventLoop
from corkgauge.net.acceptor import Acceptor
from corkgauge.net.discovery import DiscoveryWatch
from corkgauge.net.host import SocketHost, UnstartedHost, stated_of
from corkgauge.net.platform_frontend import PlatformFrontEnd

KEPT: list[socket.socket] = []  # the end that signals write to
MOST_MEMORY = 0.75  # of its limit, before garbage is collected


def memory_held() -> int:
    with open("/proc/self/statm", "rb") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


def write_line(line: str) -> None:
    """Danger: a reader that stalls fills the pipe, and a write would block all; the line is lost instead."""
    poll = select.poll()
    poll.register(2, select.POLLOUT)
    if poll.poll(0):
        try:
            os.write(2, line.encode()[:4096])
        except OSError:
            pass


class Troubles:
    """Logs what was stopped at a connection or a timer: one a second, the others are counted."""

    def __init__(self, event_loop: EventLoop) -> None:
        self.event_loop, self.next, self.untold = event_loop, 0, 0

    def __call__(self) -> None:
        self.untold += 1
        if self.event_loop.now >= self.next:
            logger.opt(exception=True).error(f"{self.untold} exceptions stopped, the last")
            self.next, self.untold = self.event_loop.now + SECOND, 0


class Source:
    """What SIGHUP reads again: where the control feed is, and the operator file."""

    def __init__(
        self,
        socket_host: SocketHost,
        platform_config: PlatformConfig,
        beside: "Beside | None" = None,
    ) -> None:
        self.socket_host, self.platform_config, self.feed = (
            socket_host,
            platform_config,
            DiscoveryWatch(socket_host, platform_config.discovery_address),
        )
        self.beside = beside
        socket_host.event_loop.spawn(self.feed.run)

    def reload(self, environment: Mapping[str, str]) -> None:
        """Read the configuration again. Danger: a faulty one must change nothing at all, and a good one must
        disturb nothing that is open; so only the feed moves, and what else has changed is named."""
        try:
            new = configuration.read(environment)
            stated_of(new, UnstartedHost())
        except ConfigurationError as problem:
            return self.socket_host.log(f"configuration not taken: {problem}")
        if self.beside is not None:
            self.beside.reload()
        if changed := self.platform_config.keys_needing_restart(new):
            self.socket_host.log(
                f"configuration: {', '.join(changed)} changed, in force after a restart"
            )
        if new.discovery_address != self.platform_config.discovery_address:
            self.socket_host.log(
                "feed moves to %s:%d at " % new.discovery_address + str(self.socket_host.last_event)
            )
            self.platform_config.discovery_address = new.discovery_address
            self.feed.leave()
            self.feed = DiscoveryWatch(self.socket_host, new.discovery_address)
            self.socket_host.event_loop.spawn(self.feed.run)


# A subsystem is one entry: its element of the operator file, and what starts it from that, given those that
# run already. What is started has `reload(said)`, which takes a new element or raises Faulty and changes nothing,
# and `end()`; it may have `leave()`, called at SIGTERM while all that is open still ends, and `waiting()`, while which
# nobody is let in yet.


def _figures(
    socket_host: SocketHost, platform_config: PlatformConfig, said: Any, running: dict[str, Any]
) -> Any:
    from corkgauge.accounting.service import AccountingService

    return AccountingService(socket_host, platform_config.name, platform_config.seed, said)


def _recall(
    socket_host: SocketHost, platform_config: PlatformConfig, said: Any, running: dict[str, Any]
) -> Any:
    from corkgauge.recovery.service import RecoveryService

    return RecoveryService(socket_host, platform_config.name, platform_config.settings_checksum, said)


def _flows(
    socket_host: SocketHost, platform_config: PlatformConfig, said: Any, running: dict[str, Any]
) -> Any:
    from corkgauge.flow_export.exporter import Exporter

    return Exporter(socket_host, platform_config.name, platform_config.seed, said)


def _fellows(
    socket_host: SocketHost, platform_config: PlatformConfig, said: Any, running: dict[str, Any]
) -> Any:
    from corkgauge.membership.service import MembershipService

    return MembershipService(socket_host, platform_config, said)


def _duties(
    socket_host: SocketHost, platform_config: PlatformConfig, said: Any, running: dict[str, Any]
) -> Any:
    from corkgauge.leases.service import LeaseService

    return LeaseService(socket_host, platform_config, said, running["fellows"])


def _works(
    socket_host: SocketHost, platform_config: PlatformConfig, said: Any, running: dict[str, Any]
) -> Any:
    from corkgauge.maintenance.service import MaintenanceService

    return MaintenanceService(
        socket_host, platform_config, said, running["fellows"], running["duties"]
    )


def _shared(
    socket_host: SocketHost, platform_config: PlatformConfig, said: Any, running: dict[str, Any]
) -> Any:
    from corkgauge.peer_health.service import PeerHealthService

    return PeerHealthService(socket_host, platform_config, said, running["fellows"])


SUBSYSTEMS: dict[str, Callable[[SocketHost, PlatformConfig, Any, dict[str, Any]], Any]] = {
    "figures": _figures,
    "recall": _recall,
    "flows": _flows,
    "fellows": _fellows,
    "duties": _duties,
    "works": _works,
    "shared": _shared,
}


# Attribute of the operator's configuration, by the element of its file.
ATTRIBUTES = {
    "figures": "accounting",
    "recall": "recovery",
    "flows": "flow_export",
    "fellows": "membership",
    "duties": "leases",
    "works": "maintenance",
    "shared": "peer_health",
}


class Beside:
    """What an operator file switches on. Without one nothing of it is imported."""

    def __init__(self, socket_host: SocketHost, platform_config: PlatformConfig, path: str) -> None:
        from corkgauge.config import operator_file as operator

        self.socket_host, self.path = socket_host, path
        self.said = operator.read(path)
        self.running: dict[str, Any] = {}
        for name, start in SUBSYSTEMS.items():
            if (element := getattr(self.said, ATTRIBUTES[name])) is not None:
                self.running[name] = start(socket_host, platform_config, element, self.running)

    def reload(self) -> None:
        """Read it again, whole or not at all."""
        from corkgauge.config import operator_file as operator

        try:
            said = operator.read(self.path)
        except ConfigurationError as problem:
            return self.socket_host.log(f"operator file not taken: {problem}")
        taken = []
        for name in SUBSYSTEMS:
            element, running = getattr(said, ATTRIBUTES[name]), self.running.get(name)
            if (element is None) != (running is None):
                self.socket_host.log(f"operator file: {name} switched, in force after a restart")
            elif running is not None:
                try:
                    running.reload(element)
                    taken.append((running, getattr(self.said, ATTRIBUTES[name])))
                except ConfigurationError as problem:
                    # Danger: half of a file in force is neither the old nor the new one.
                    for other, before in taken:
                        other.reload(before)
                    return self.socket_host.log(f"operator file not taken: {problem}")
        self.said = said

    def waiting(self) -> bool:
        """Does one of them have to hear something before anybody is served?"""
        return any(
            running.waiting() for running in self.running.values() if hasattr(running, "waiting")
        )

    def leave(self) -> None:
        """The program is told to end, and goes on for a while."""
        for running in self.running.values():
            if hasattr(running, "leave"):
                running.leave()

    def end(self) -> None:
        """In the reverse order: what stands on another ends before it."""
        for running in reversed(self.running.values()):
            running.end()


def check(platform_config: PlatformConfig, operator_file: str = "") -> int:
    """Everything that serving would read, and no more."""
    if operator_file:
        from corkgauge.config import operator_file as operator

        operator.read(operator_file)
    socket_host = PlatformFrontEnd(
        EventLoop(), platform_config, lambda line: print(f"corkgauge: {line}", file=sys.stderr)
    )
    print(
        f"{platform_config.name}: {len(socket_host.engine_pools)} engines, {len(socket_host.request_classes)} offerings, "
        f"{len(socket_host.tenants)} tenants, list {socket_host.last_event}"
    )
    return 0


def heed() -> socket.socket:
    """From now on signals are bytes at this socket, to be read when there is somebody to read them. Danger: one that
    comes while the program starts would end it, and a configuration that changed just then would be missed; so this
    comes before the configuration is read."""
    woken, waker = socket.socketpair()
    for end in woken, waker:
        end.setblocking(False)
    signal.set_wakeup_fd(waker.fileno(), warn_on_full_buffer=False)
    KEPT.append(waker)
    for sign in signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP:
        signal.signal(sign, lambda *_: None)
    return woken


def serve(
    platform_config: PlatformConfig,
    woken: socket.socket,
    operator_file: str = "",
    log_form: str = "plain",
) -> int:
    """Serve until told to end, by signals that come at `woken` (see `heed`); `log_form` is plain or json."""
    logger.remove()
    logger.add(
        log.as_json(write_line) if log_form == "json" else write_line,
        format=log.PLAIN,
        level="INFO",
        backtrace=False,
        diagnose=False,
    )
    event_loop = EventLoop()
    event_loop.troubled = Troubles(event_loop)
    socket_host = PlatformFrontEnd(event_loop, platform_config, logger.info, memory_held())
    try:
        door = socket_host.door = Acceptor(
            event_loop,
            socket_host,
            platform_config.listen,
            lambda: beside is not None and beside.waiting(),
        )
    except OSError as problem:
        raise ConfigurationError(
            f"listen: {platform_config.listen[0]}:{platform_config.listen[1]}: {problem.strerror}"
        ) from None

    def signals() -> None:
        while True:
            event_loop.wait(woken.fileno(), READ)
            for sign in woken.recv(64):
                if sign == signal.SIGUSR1:
                    logger.info(
                        f"counters {socket_host.counters.line(socket_host.ledger.line())} {event_loop.worst()}"
                    )
                elif (
                    sign == signal.SIGHUP
                ):  # as a timer: Danger: what it raises must not end this task
                    event_loop.call_later(0, feed.reload, os.environ)
                elif (
                    socket_host.end == NEVER
                ):  # Danger: what is told to end twice would leave twice
                    event_loop.call_later(0, socket_host.leave)
                    if beside is not None:
                        event_loop.call_later(0, beside.leave)

    def collect() -> None:
        """Danger: a collection stops all for 100 ms; it waits until memory is short, and then for a while."""
        short = memory_held() > MOST_MEMORY * platform_config.memory_bytes
        if short:
            logger.warning(
                f"memory short, {memory_held() >> 20} MB; collected {gc.collect()} objects"
            )
        event_loop.call_later((30 if short else 1) * SECOND, collect)

    beside = Beside(socket_host, platform_config, operator_file) if operator_file else None
    feed = Source(socket_host, platform_config, beside)
    for task in door.run, signals:
        event_loop.spawn(task)
    gc.collect()
    gc.freeze()
    gc.disable()
    event_loop.call_later(SECOND, collect)
    event_loop.call_later(SECOND, socket_host.audit)
    logger.info(
        f"serving as {platform_config.name}, {len(socket_host.engine_pools)} engines, list {socket_host.last_event}"
    )
    event_loop.run()
    socket_host.auditor.pass_whole()
    if beside is not None:
        beside.end()
    logger.info(
        f"ended; counters {socket_host.counters.line(socket_host.ledger.line())} {event_loop.worst()}"
    )
    return 0
