"""The serving process: start, reaction to signals, and shutdown.

Requests are handled in other modules.
"""

import os
import select
import signal
import socket
import sys
from collections.abc import Callable
from contextlib import suppress

from loguru import logger

from corkgauge.config.platform import ConfigurationError, PlatformConfig
from corkgauge.daemon.configuration_reload import ConfigurationReloader
from corkgauge.daemon.exception_log import ExceptionLog
from corkgauge.daemon.memory import GarbageCollection, resident_bytes
from corkgauge.daemon.signals import catch_signals, dispatch_signals
from corkgauge.daemon.subsystems import Subsystems
from corkgauge.eventloop import logging
from corkgauge.eventloop.connection import NEVER
from corkgauge.eventloop.loop import SECOND, EventLoop
from corkgauge.net.acceptor import Acceptor
from corkgauge.net.platform_frontend import PlatformFrontEnd

__all__ = ["catch_signals", "check", "serve"]

STANDARD_ERROR_FD = 2
MAX_LINE_BYTES = 4096  # a pipe accepts a write of up to this size as a whole (PIPE_BUF)


def write_line(line: str) -> None:
    """Write a line of the log, truncated to MAX_LINE_BYTES.

    If the reader has stalled and the write would block, the line is dropped.
    """
    poll = select.poll()
    poll.register(STANDARD_ERROR_FD, select.POLLOUT)
    if poll.poll(0):
        with suppress(OSError):
            os.write(STANDARD_ERROR_FD, line.encode()[:MAX_LINE_BYTES])


def check(platform_config: PlatformConfig, operator_file: str = "") -> int:
    """Read and validate all files that serving would read, and print a summary; return 0."""
    if operator_file:
        from corkgauge.config import operator_file as operator

        operator.read(operator_file)
    front_end = PlatformFrontEnd(
        EventLoop(), platform_config, lambda line: print(f"corkgauge: {line}", file=sys.stderr)
    )
    print(
        f"{platform_config.name}: {len(front_end.engine_pools)} engines, "
        f"{len(front_end.request_classes)} offerings, "
        f"{len(front_end.tenants)} tenants, list {front_end.last_event}"
    )
    return 0


def serve(
    platform_config: PlatformConfig,
    signal_socket: socket.socket,
    operator_file: str = "",
    log_form: str = "plain",
) -> int:
    """Serve until a signal ends the process; return the exit status.

    `signal_socket` is the socket that `catch_signals` returned; `log_form` is "plain" or "json".

    Raises:
        ConfigurationError: The process cannot start with this configuration.
    """
    _configure_log(log_form)
    process = ServingProcess(platform_config, operator_file)
    process.run(signal_socket)
    return 0


def _configure_log(log_form: str) -> None:
    sink: Callable[..., None] = write_line
    if log_form == "json":
        sink = logging.as_json(write_line)
    logger.remove()
    logger.add(sink, format=logging.PLAIN_FORMAT, level="INFO", backtrace=False, diagnose=False)


class ServingProcess:
    """Creates, runs and ends the parts of the serving process."""

    def __init__(self, platform_config: PlatformConfig, operator_file: str) -> None:
        self.platform_config = platform_config
        self.event_loop = EventLoop()
        self.event_loop.on_exception = ExceptionLog(self.event_loop)
        self.front_end = PlatformFrontEnd(
            self.event_loop, platform_config, logger.info, resident_bytes()
        )
        self.subsystems: Subsystems | None = None
        self.acceptor = self._listen()
        self.front_end.acceptor = self.acceptor
        if operator_file:
            self.subsystems = Subsystems(self.front_end, platform_config, operator_file)
        self.reloader = ConfigurationReloader(self.front_end, platform_config, self.subsystems)

    def _listen(self) -> Acceptor:
        host, port = self.platform_config.listen
        try:
            return Acceptor(self.event_loop, self.front_end, (host, port), self._must_hold_clients)
        except OSError as problem:
            raise ConfigurationError(
                "listen: expected an address that this process can bind, "
                f"found {host}:{port}: {problem.strerror}"
            ) from None

    def _must_hold_clients(self) -> bool:
        """Return whether no client may be accepted yet because a subsystem is not ready."""
        return self.subsystems is not None and self.subsystems.must_hold_clients()

    def run(self, signal_socket: socket.socket) -> None:
        """Serve until the event loop stops, then end the subsystems."""
        self.event_loop.spawn(self.acceptor.run)
        self.event_loop.spawn(dispatch_signals, self.event_loop, signal_socket, self._on_signal)
        GarbageCollection(self.event_loop, self.platform_config.memory_bytes).start()
        self.event_loop.call_later(SECOND, self.front_end.audit)
        logger.info(
            f"serving as {self.platform_config.name}, {len(self.front_end.engine_pools)} engines, "
            f"list {self.front_end.last_event}"
        )
        self.event_loop.run()
        self.front_end.auditor.run_whole_pass()
        if self.subsystems is not None:
            self.subsystems.end()
        logger.info(f"ended; {self._counters()}")

    def _counters(self) -> str:
        ledger_line = self.front_end.ledger.get_log_totals()
        return (
            f"counters {self.front_end.counters.line(ledger_line)} {self.event_loop.worst_delays()}"
        )

    def _on_signal(self, number: int) -> None:
        """Log counters and memory (SIGUSR1), reload the configuration (SIGHUP), or shut down."""
        if number == signal.SIGUSR1:
            logger.info(self._counters())
            logger.info(f"memory {self.front_end.memory_line()}")
        elif number == signal.SIGHUP:
            # Run by a timer, as an exception of the reload would end the task that reads signals.
            self.event_loop.call_later(0, self.reloader.reload, os.environ)
        else:
            self._begin_shutdown()

    def _begin_shutdown(self) -> None:
        # A second shutdown would move the deadline for the last answer.
        if self.front_end.shutdown_deadline != NEVER:
            return
        self.event_loop.call_later(0, self.front_end.start_shutdown)
        if self.subsystems is not None:
            self.event_loop.call_later(0, self.subsystems.leave)
