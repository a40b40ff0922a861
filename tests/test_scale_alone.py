"""The stand-ins for one workload manager alone: the same by seed, whole at size, gone with their starter."""

import os
import signal
import subprocess
import sys
import time

import pytest

from corkgauge.eventloop.loop import SECOND
from corkgauge.testkit.fleet.hollow_gateway import SocketPairFrontEnd, StandaloneGatewayHost
from corkgauge.testkit.fleet.profile_sampler import read_samples

HERE = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def test_a_load_on_the_module_alone_is_the_same_by_seed_and_all_of_it_is_served():
    ends = []
    for _ in range(2):
        alone = StandaloneGatewayHost(60)
        where = []
        send_attempt = alone.send_attempt
        alone.send_attempt = lambda attempt, allow: (
            where.append(attempt.engine.host_reference),
            send_attempt(attempt, allow),
        )
        alone.play(alone.draw_requests(400))
        alone.advance_to(alone.now + 20 * SECOND)
        ends.append((where, alone.now))
        assert (alone.served, alone.refused, alone.open) == (400, 0, 0)
    assert ends[0] == ends[1] and len({*ends[0][0]}) > 30


def test_open_requests_before_the_host_are_open_there_and_at_its_links():
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
    "arguments, said",
    [
        (["--engines", "90000000"], "scale: 18000200 MB,"),
        (["--rows", "alone.nothing"], "no 'alone.nothing'"),
        (["--rows", "alone.turn.descriptors", "--quick"], "descriptors,"),
    ],
)
def test_what_is_too_large_or_unknown_ends_with_2_and_says_which(arguments, said):
    code = (
        f"import resource, runpy, sys; resource.setrlimit(resource.RLIMIT_NOFILE, (512, 512)); sys.argv = "
        f"['scale.py', 'alone', *{arguments!r}]; runpy.run_path('benchmarks/scale.py', run_name='__main__')"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=HERE)
    assert (
        done.returncode == 2
        and said in done.stderr.splitlines()[-1]
        and "Traceback" not in done.stderr
    )


def test_the_program_under_measurement_ends_with_a_starter_that_is_killed():
    code = (
        "from corkgauge.testkit.fleet.hollow_serve import HollowServeProcess; import time; s = HollowServeProcess(20); s.start_and_wait(); "
        "print(s.program.process.pid, s.folder, flush=True); time.sleep(60)"
    )
    starter = subprocess.Popen(
        [sys.executable, "-c", code], stdout=subprocess.PIPE, text=True, cwd=HERE
    )
    child, folder = starter.stdout.readline().split()
    assert os.path.exists(f"/proc/{child}")
    starter.send_signal(signal.SIGKILL)
    starter.wait()
    until = time.monotonic() + 20
    while time.monotonic() < until and running(child):
        time.sleep(0.01)
    assert not running(child)
    subprocess.run(["rm", "-r", folder], check=True)


def running(process):
    try:
        with open(f"/proc/{process}/stat") as file:
            return file.read().rsplit(")", 1)[1].split()[0] not in "ZX"
    except OSError:
        return False


def test_a_sampled_stack_counts_once_on_top_and_once_anywhere(tmp_path):
    path, ours = tmp_path / "stacks", f"{HERE}/corkgauge/policy/gateway.py"
    stack = (
        f'Current thread 0x0 (most recent call first):\n  File "{ours}", line 1 in _slow\n'
        f'  File "{ours}", line 2 in _slow\n  File "/lib/heapq.py", line 3 in merge\n'
    )
    path.write_text(2 * stack)
    looks, own, within = read_samples(str(path))
    assert looks == 2 and own == {"policy/gateway.py:_slow": 2}
    assert within == {"policy/gateway.py:_slow": 2, "library:heapq.py": 2}
