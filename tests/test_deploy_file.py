"""Tests that the deploy file lists existing paths, all policy files and all serving packages."""

import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


def test_every_policy_file_is_listed():
    files = {str(file.relative_to(ROOT)) for file in (ROOT / "corkgauge" / "policy").glob("*.py")}
    assert sorted(DEPLOY["policy"]) == sorted(files)


@pytest.mark.parametrize("path", DEPLOY["node"])
def test_every_path_in_the_deploy_file_exists(path):
    assert (ROOT / path).exists()


def test_every_serving_package_is_listed():
    test_packages = {"model", "policy", "simulator", "testkit"}
    packages = {init_file.parent.name for init_file in (ROOT / "corkgauge").glob("*/__init__.py")}
    listed = {Path(path).name for path in DEPLOY["node"]}
    assert packages - test_packages <= listed
