"""Marks tests that run for long, by module."""

import pytest

# Modules whose tests run several processes in real time; all other tests take seconds together.
SCENE_MODULES = frozenset(
    {
        "test_day",
        "test_fleet",
        "test_hollow",
        "test_maintenance_fleet",
        "test_peer_health_fleet",
        "test_subset_fleet",
    }
)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests of the scene modules, so that `-m "not scene"` deselects the slow tests."""
    for item in items:
        if item.path.stem in SCENE_MODULES:
            item.add_marker(pytest.mark.scene)
