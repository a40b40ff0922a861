"""Runs the program's `serve` command in a child process, for tests and benchmarks.

Owns one child process, its files and its log. Ends only the process that it started; the child ends
with its parent.
"""

import json
import os
import signal
import subprocess
import sys
from typing import Any

from corkgauge.testkit.fleet.parent_process import kill_with_parent


class GatewayProcess:
    """Runs `serve` in a child process, with its files in a folder.

    Args:
        folder: The folder for the configuration, the operator file and the log.
        configuration: The configuration, written as JSON at each start.
        operator: The text of the operator file; without one the program runs without it.
        start: The arguments of the Python interpreter that start the program.
        log_form: The format of the log, "plain" or "json".
        tree: A checkout to run the program from, if not the current folder.
    """

    def __init__(
        self,
        folder: str,
        configuration: dict[str, Any],
        operator: str = "",
        start: tuple[str, ...] = ("-m", "corkgauge"),
        log_form: str = "plain",
        tree: str | None = None,
    ) -> None:
        self.folder, self.configuration, self.python_arguments, self.tree = (
            folder,
            configuration,
            start,
            tree,
        )
        self.config, self.log_path = (os.path.join(folder, name) for name in ("config.json", "log"))
        self.arguments = ["serve", "--log", log_form]
        if operator:
            path = os.path.join(folder, "operator.xml")
            with open(path, "w", encoding="utf-8") as file:
                file.write(operator)
            self.arguments += ["--operator", path]
        self.process: subprocess.Popen | None = None
        self.kills: list[int] = []  # when the process was killed, in ticks of the event loop

    def start(self) -> None:
        """Write the configuration and start the process; its output is appended to the log."""
        with open(self.config, "w", encoding="utf-8") as file:
            json.dump(self.configuration, file)
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *self.python_arguments, *self.arguments],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                cwd=self.tree,
                preexec_fn=kill_with_parent(os.getpid()),
                env={
                    **os.environ,
                    "EDGE_CONFIG": self.config,
                    "EDGE_LISTEN": "",
                    "PYTHONDONTWRITEBYTECODE": "1",
                },
            )

    def send_signal(self, signal_number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal_number)

    def is_running(self) -> bool:
        """Return whether the process was started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def end(self, patience: float = 8.0) -> int:
        """Send SIGTERM, and SIGKILL after `patience` seconds; return the exit code."""
        self.send_signal(signal.SIGTERM)
        try:
            return self.process.wait(patience)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait()

    def memory(self) -> int:
        """Return the resident memory in bytes, 0 if the process has ended."""
        try:
            with open(f"/proc/{self.process.pid}/statm", "rb") as file:
                return int(file.read().split()[1]) * 4096
        except (OSError, IndexError):
            return 0

    def processor_time(self) -> float:
        """Return the seconds of processor time used so far, 0 if the process has ended."""
        try:
            with open(f"/proc/{self.process.pid}/stat", "rb") as file:
                fields = file.read().rsplit(b")", 1)[1].split()
            return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
        except (OSError, IndexError):
            return 0.0

    def log(self) -> list[str]:
        """Return the lines of the log."""
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            return file.read().splitlines()
