"""No process of a rig outlives the one that started it, however that ends."""

import os
import shutil
import signal
import subprocess
import sys
import time

# A rig as the scenes' tests have it: a pool's worker, in it a fleet whose gateways keep votes on
# disk; one of them stands still, one shares its processor with a burner.
RIG = """
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
    """By process id: its parent's, when it started, how it stands; those that only wait to be reaped are no more."""
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
    """Process id, start and state of each that descends from this one."""
    found, known, left = [], processes(), [root]
    while left:
        parent = left.pop()
        for pid, (above, start, state) in known.items():
            if above == parent:
                left.append(pid)
                found.append((pid, start, state))
    return found


def test_a_rig_that_is_killed_outright_leaves_no_process_behind(tmp_path):
    script = tmp_path / "rig.py"
    script.write_text(RIG)
    with subprocess.Popen(
        [sys.executable, str(script)],
        stdout=subprocess.PIPE,
        text=True,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
    ) as rig:
        try:
            folder = rig.stdout.readline().strip()
            assert os.path.isdir(folder)
            # The worker, two gateways, a burner, and what writes each gateway's votes.
            begun = descendants(rig.pid)
            assert len(begun) >= 6 and b"T" in [state for *_, state in begun]
            rig.send_signal(signal.SIGKILL)
            until, left = time.monotonic() + 10, begun
            while left and time.monotonic() < until:
                time.sleep(0.02)
                now = processes()
                left = [pid for pid, start, _ in begun if pid in now and now[pid][1] == start]
            stayed = [*left]
            for pid in left:  # a red test leaves nothing either
                os.kill(pid, signal.SIGKILL)
            assert stayed == []
            shutil.rmtree(folder)
        finally:
            rig.kill()
