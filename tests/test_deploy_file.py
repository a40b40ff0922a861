"""The deploy file names what is there: every policy file, and packages that serve."""

import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


def test_every_policy_file_is_listed():
    files = {str(path.relative_to(ROOT)) for path in (ROOT / "corkgauge" / "policy").glob("*.py")}
    assert sorted(DEPLOY["policy"]) == sorted(files)


@pytest.mark.parametrize("place", DEPLOY["node"])
def test_what_the_deploy_file_names_is_there(place):
    assert (ROOT / place).exists()


def test_no_serving_package_is_left_out():
    tested_only = {"model", "policy", "simulator", "testkit"}
    packages = {path.parent.name for path in (ROOT / "corkgauge").glob("*/__init__.py")}
    named = {Path(place).name for place in DEPLOY["node"]}
    assert packages - tested_only <= named
