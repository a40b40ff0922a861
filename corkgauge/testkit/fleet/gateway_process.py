"""The real program, started for the stand-ins to play with.

Owns one child process, its files and its log. Ends only what it started; the child ends with
whoever started it.
"""

import json
import os
import signal
import subprocess
import sys
from typing import Any

from corkgauge.testkit.fleet.parent_process import kill_with_parent


class GatewayProcess:
    """`serve` in a process of its own, in a folder of its own. `start` is what is run in place of
    `-m corkgauge`; `tree` another checkout to run it in.
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
        self.kills: list[int] = []

    def start(self) -> None:
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

    def send_signal(self, sign: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(sign)

    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def end(self, patience: float = 8.0) -> int:
        """SIGTERM, and SIGKILL after `patience` seconds: its exit code."""
        self.send_signal(signal.SIGTERM)
        try:
            return self.process.wait(patience)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait()

    def memory(self) -> int:
        """Bytes resident."""
        try:
            with open(f"/proc/{self.process.pid}/statm", "rb") as file:
                return int(file.read().split()[1]) * 4096
        except (OSError, IndexError):
            return 0

    def processor_time(self) -> float:
        """Seconds of processor time so far."""
        try:
            with open(f"/proc/{self.process.pid}/stat", "rb") as file:
                fields = file.read().rsplit(b")", 1)[1].split()
            return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
        except (OSError, IndexError):
            return 0.0

    def log(self) -> list[str]:
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            return file.read().splitlines()
