"""Tests of the stand-ins that the benchmark of one workload manager uses.

The load is reproducible by seed and served completely, and the measured program ends with its
parent process.
"""

import os
import signal
import subprocess
import sys
import time

import pytest

from corkgauge.eventloop.loop import SECOND
from corkgauge.testkit.fleet.hollow_gateway import SocketPairFrontEnd, StandaloneGatewayHost
from corkgauge.testkit.fleet.profile_sampler import read_samples

REPOSITORY_ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def test_generated_load_is_reproducible_by_seed_and_served_completely():
    results = []
    for _ in range(2):
        alone = StandaloneGatewayHost(60)
        engine_ids = []
        send_attempt = alone.send_attempt
        alone.send_attempt = lambda attempt, allow: (
            engine_ids.append(attempt.engine.host_reference),
            send_attempt(attempt, allow),
        )
        alone.play(alone.draw_requests(400))
        alone.advance_to(alone.now + 20 * SECOND)
        results.append((engine_ids, alone.now))
        assert (alone.served, alone.refused, alone.open) == (400, 0, 0)
    assert results[0] == results[1] and len({*results[0][0]}) > 30


def test_open_requests_of_the_socket_host_are_in_flight_on_its_links():
    front = SocketPairFrontEnd(10, 2_000)
    try:
        for n in range(60):
            front.add_engine_connection(n % 10)
        clients = [front.client() for _ in range(10)]
        front.turn()
        for n in range(200):
            front.send_request(clients[n % 10], 1 + n // 10)
        front.turn(8)
        assert (
            len(front.socket_host.open_requests) == len(front.socket_host.in_flight_attempts) == 200
        )
        front.apply_list_event(front.next_restart_event(3))
        assert front.socket_host.engine_pools["db3"].engine.incarnation > 0
    finally:
        front.close()


@pytest.mark.parametrize(
    "arguments, expected_text",
    [
        (["--engines", "90000000"], "scale: 18000200 MB,"),
        (["--rows", "alone.nothing"], "no 'alone.nothing'"),
        (["--rows", "alone.turn.descriptors", "--quick"], "descriptors,"),
    ],
)
def test_too_large_or_unknown_trial_exits_with_2_and_names_the_cause(arguments, expected_text):
    code = (
        "import resource, runpy, sys; resource.setrlimit(resource.RLIMIT_NOFILE, (512, 512)); "
        f"sys.argv = ['scale.py', 'alone', *{arguments!r}]; "
        "runpy.run_path('benchmarks/scale.py', run_name='__main__')"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, cwd=REPOSITORY_ROOT
    )
    assert (
        result.returncode == 2
        and expected_text in result.stderr.splitlines()[-1]
        and "Traceback" not in result.stderr
    )


def test_measured_program_ends_when_its_parent_is_killed():
    code = (
        "from corkgauge.testkit.fleet.hollow_serve import HollowServeProcess; "
        "import time; s = HollowServeProcess(20); s.start_and_wait(); "
        "print(s.program.process.pid, s.folder, flush=True); time.sleep(60)"
    )
    parent = subprocess.Popen(
        [sys.executable, "-c", code], stdout=subprocess.PIPE, text=True, cwd=REPOSITORY_ROOT
    )
    child_pid, folder = parent.stdout.readline().split()
    assert os.path.exists(f"/proc/{child_pid}")
    parent.send_signal(signal.SIGKILL)
    parent.wait()
    deadline = time.monotonic() + 20
    while time.monotonic() < deadline and is_running(child_pid):
        time.sleep(0.01)
    assert not is_running(child_pid)
    subprocess.run(["rm", "-r", folder], check=True)


def is_running(pid):
    try:
        with open(f"/proc/{pid}/stat") as file:
            return file.read().rsplit(")", 1)[1].split()[0] not in "ZX"
    except OSError:
        return False


def test_sampled_stack_counts_a_function_once_as_innermost_and_once_inclusive(tmp_path):
    path, gateway_file = tmp_path / "stacks", f"{REPOSITORY_ROOT}/corkgauge/policy/gateway.py"
    stack = (
        f'Current thread 0x0 (most recent call first):\n  File "{gateway_file}", line 1 in _slow\n'
        f'  File "{gateway_file}", line 2 in _slow\n  File "/lib/heapq.py", line 3 in merge\n'
    )
    path.write_text(2 * stack)
    sample_count, innermost_counts, inclusive_counts = read_samples(str(path))
    assert sample_count == 2 and innermost_counts == {"policy/gateway.py:_slow": 2}
    assert inclusive_counts == {"policy/gateway.py:_slow": 2, "library:heapq.py": 2}
