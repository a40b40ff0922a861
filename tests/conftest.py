"""Marks that say how long tests take, set by module."""

import pytest

# Modules that play scenes of several processes in real time; all others take seconds together.
SCENE_MODULES = frozenset(
    {
        "test_day",
        "test_fleet",
        "test_hollow",
        "test_maintenance_fleet",
        "test_shared_fleet",
        "test_subset_fleet",
    }
)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests of the scene modules, so that `-m "not scene"` leaves what takes seconds."""
    for item in items:
        if item.path.stem in SCENE_MODULES:
            item.add_marker(pytest.mark.scene)
