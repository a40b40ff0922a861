"""All processes of a fleet end when the process that started the fleet is killed."""

import os
import shutil
import signal
import subprocess
import sys
import time

# As in the fleet tests, a worker of a pool runs a fleet whose gateways keep votes on disk. One
# gateway is suspended, and one shares its processor with a busy loop.
FLEET_SCRIPT = """
import os, signal, sys, time
from concurrent.futures import ProcessPoolExecutor
from corkgauge.testkit.fleet.processes import Fault, Fleet
from corkgauge.testkit.fleet.parent_process import kill_with_parent

def worked():
    fleet = Fleet(gateways=2, lease=0.8, disk=True)
    fleet.start()
    assert fleet.until(20, lambda: sum("serving as" in line for line in fleet.logs()) < 2), fleet.logs()
    fleet.apply_fault(Fault(0, 600_000, "busy", ("n1",)))
    fleet.apply_fault(Fault(0, 600_000, "stop", ("n2",)))
    assert fleet.until(10, lambda: fleet.find_suspended_gateways() != ["n2"])
    print(fleet.folder, flush=True)
    time.sleep(600)

if __name__ == "__main__":
    with ProcessPoolExecutor(1, initializer=kill_with_parent(os.getpid())) as pool:
        pool.submit(worked).result()
"""


def processes():
    """Return the parent, start time and state of each process by id, without zombies."""
    found = {}
    for pid in filter(str.isdigit, os.listdir("/proc")):
        try:
            with open(f"/proc/{pid}/stat", "rb") as file:
                fields = file.read().rsplit(b")", 1)[1].split()
        except OSError:
            continue
        if fields[0] not in (b"Z", b"X"):
            found[int(pid)] = int(fields[1]), int(fields[19]), fields[0]
    return found


def descendants(root):
    """Return process id, start time and state of each descendant of a process."""
    found, known, pending = [], processes(), [root]
    while pending:
        parent = pending.pop()
        for pid, (parent_pid, start, state) in known.items():
            if parent_pid == parent:
                pending.append(pid)
                found.append((pid, start, state))
    return found


def test_a_killed_starter_of_a_fleet_leaves_no_process_behind(tmp_path):
    script = tmp_path / "rig.py"
    script.write_text(FLEET_SCRIPT)
    with subprocess.Popen(
        [sys.executable, str(script)],
        stdout=subprocess.PIPE,
        text=True,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
    ) as starter:
        try:
            folder = starter.stdout.readline().strip()
            assert os.path.isdir(folder)
            # The worker, two gateways, the busy loop, and the writer of each gateway's votes.
            started = descendants(starter.pid)
            assert len(started) >= 6 and b"T" in [state for *_, state in started]
            starter.send_signal(signal.SIGKILL)
            deadline, remaining = time.monotonic() + 10, started
            while remaining and time.monotonic() < deadline:
                time.sleep(0.02)
                running = processes()
                remaining = [
                    pid for pid, start, _ in started if pid in running and running[pid][1] == start
                ]
            survivors = [*remaining]
            for pid in remaining:  # a failed test leaves no process either
                os.kill(pid, signal.SIGKILL)
            assert survivors == []
            shutil.rmtree(folder)
        finally:
            starter.kill()
